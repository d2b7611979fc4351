package claim

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

func answerWith(body string) func(context.Context) (lagoonhead.RecordedAnswer, error) {
	return func(context.Context) (lagoonhead.RecordedAnswer, error) {
		return lagoonhead.RecordedAnswer{Status: 201, Body: []byte(body)}, nil
	}
}

// Guards against an answer that is too large for the store and thereby leaves its
// claim without an outcome.
func TestLargeAnswerIsOmittedFromTheClaim(t *testing.T) {
	k := newKeeper(newFakeStore(), "vm")
	long := string(make([]byte, 101))
	ans, err := k.Once(context.Background(), request("k", "b"), answerWith(long))
	require.NoError(t, err)
	require.Len(t, ans.Body, 101)
	ans, err = k.Once(context.Background(), request("k", "b"), answerWith("again"))
	require.NoError(t, err)
	require.True(t, ans.Repeated && ans.Omitted)
	require.Equal(t, 201, ans.Status)
	require.Empty(t, ans.Body)
}

// Guards against a record that cannot be read and is then overwritten or run.
func TestUnreadableRecordIsUnknown(t *testing.T) {
	s := newFakeStore()
	k := newKeeper(s, "vm")
	_, err := s.apply(lagoonhead.PutRequest{Key: storeKey(request("k", "b")), Value: []byte("{")})
	require.NoError(t, err)
	_, err = k.Once(context.Background(), request("k", "b"), answerWith("ran"))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnknown), "%v", err)
}

// Guards against a lookup that claims the key or hides an outcome.
func TestLookup(t *testing.T) {
	s := newFakeStore()
	k := newKeeper(s, "vm")
	ctx := context.Background()
	_, err := k.Lookup(ctx, request("k", "b"))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindNotFound), "%v", err)
	require.Empty(t, s.entries)
	_, err = k.Once(ctx, request("k", "b"), answerWith("ran"))
	require.NoError(t, err)
	ans, err := k.Lookup(ctx, request("k", "b"))
	require.NoError(t, err)
	require.Equal(t, "ran", string(ans.Body))
	_, err = k.Lookup(ctx, request("k", "other"))
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), "%v", err)
}

// Guards against a take-over that arrives after its late release was given up and
// then blocks the key. The fuzz test reaches this order too rarely.
func TestLateTakeOverIsReleased(t *testing.T) {
	w := newWorld(t)
	ctx := context.Background()
	first := w.arrive(w.keepers[0], "a", "x")
	w.step(first, fine) // the claim
	w.step(first, down) // the attempt, not sent
	w.step(first, fine) // the release
	second := w.arrive(w.keepers[0], "a", "x")
	for range 3 {
		w.step(second, fine) // a conflict with the released claim, and two reads of it
	}
	for len(w.open) > 0 {
		w.step(second, delayed) // the take-over
	}
	require.True(t, lagoonhead.IsKind(second.err, lagoonhead.KindUnavailable), "%v", second.err)
	require.NotEmpty(t, w.store.pending)
	w.keepers[0].writeLate(ctx)
	w.settle()
	w.reuse("a")
}
