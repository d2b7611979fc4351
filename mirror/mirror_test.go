package mirror

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/timer"
)

// copyOf is a Follower that keeps the entries.
type copyOf struct {
	mu       sync.Mutex
	entries  map[string]string
	contacts int
	losses   int
}

func (c *copyOf) Put(e lagoonhead.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[e.Key] = string(e.Value)
}

func (c *copyOf) Removed(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, key)
}

func (c *copyOf) Contact(time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contacts++
}

func (c *copyOf) Lost(time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses++
}

func (c *copyOf) has(want map[string]string) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.entries) != len(want) {
			return false
		}
		for k, v := range want {
			if c.entries[k] != v {
				return false
			}
		}
		return true
	}
}

// gapStore loses the history of watches when it is told to.
type gapStore struct {
	*fakeplatform.KV
	mu   sync.Mutex
	gaps int
	deaf bool
}

func (s *gapStore) Watch(ctx context.Context, prefix string, after int64) ([]lagoonhead.Event, int64, error) {
	s.mu.Lock()
	gap, deaf := s.gaps > 0, s.deaf
	if gap {
		s.gaps--
	}
	s.mu.Unlock()
	if gap {
		return nil, after, &Error{lagoonhead.Fault{Op: "watch", Kind: lagoonhead.KindStale}}
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if deaf {
		<-ctx.Done()
		return nil, after, nil
	}
	events, next, err := s.KV.Watch(ctx, prefix, after)
	if lagoonhead.IsKind(err, lagoonhead.KindTimeout) {
		return nil, after, nil
	}
	return events, next, err
}

// Error is the error of a store whose history is gone.
type Error struct{ lagoonhead.Fault }

func follow(t *testing.T) (*gapStore, *copyOf) {
	t.Helper()
	s := &gapStore{KV: fakeplatform.NewKV(&timer.Service{})}
	c := &copyOf{entries: make(map[string]string)}
	m := &Mirror{Store: s, Timer: &timer.Service{}, Prefix: "p/", Follower: c}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx) // it never fails
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s, c
}

func put(t *testing.T, s *gapStore, key, value string) {
	t.Helper()
	_, err := s.Put(t.Context(), lagoonhead.PutRequest{Key: key, Value: []byte(value), IfRevision: lagoonhead.AnyRevision})
	require.NoError(t, err)
}

const (
	patience = 10 * time.Second
	look     = 5 * time.Millisecond
)

// Guards against changes that a daemon does not hear of, and against entries of other
// prefixes.
func TestFollowsChanges(t *testing.T) {
	s, c := follow(t)
	put(t, s, "p/a", "1")
	put(t, s, "q/a", "x")
	require.Eventually(t, c.has(map[string]string{"p/a": "1"}), patience, look)
	put(t, s, "p/a", "2")
	put(t, s, "p/b", "3")
	require.Eventually(t, c.has(map[string]string{"p/a": "2", "p/b": "3"}), patience, look)
	require.NoError(t, s.Delete(t.Context(), "p/a", lagoonhead.AnyRevision))
	require.Eventually(t, c.has(map[string]string{"p/b": "3"}), patience, look)
}

// Guards against changes that are lost with the history of the store: a key that was
// removed in the gap must go, and one that was written must come.
func TestListsAgainAfterAGap(t *testing.T) {
	s, c := follow(t)
	put(t, s, "p/a", "1")
	require.Eventually(t, c.has(map[string]string{"p/a": "1"}), patience, look)
	s.mu.Lock()
	s.deaf = true
	s.mu.Unlock()
	put(t, s, "p/b", "2")
	require.NoError(t, s.Delete(t.Context(), "p/a", lagoonhead.AnyRevision))
	s.mu.Lock()
	s.deaf, s.gaps = false, 1
	s.mu.Unlock()
	require.Eventually(t, c.has(map[string]string{"p/b": "2"}), patience, look)
}

// Guards against a copy that is emptied, or not kept up, by an outage.
func TestKeepsTheCopyDuringAnOutage(t *testing.T) {
	s, c := follow(t)
	put(t, s, "p/a", "1")
	require.Eventually(t, c.has(map[string]string{"p/a": "1"}), patience, look)
	s.Faults.SetOutage(true)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.losses > 0 }, patience, look)
	require.True(t, c.has(map[string]string{"p/a": "1"})())
	s.Faults.SetOutage(false)
	put(t, s, "p/a", "2")
	require.Eventually(t, c.has(map[string]string{"p/a": "2"}), patience, look)
}

// Guards against an entry that goes to the wrong follower.
func TestSplit(t *testing.T) {
	a, b := &copyOf{entries: make(map[string]string)}, &copyOf{entries: make(map[string]string)}
	s := Split{"a/": a, "b/": b}
	s.Put(lagoonhead.Entry{Key: "a/1", Value: []byte("x")})
	s.Put(lagoonhead.Entry{Key: "c/1", Value: []byte("x")})
	s.Contact(0)
	s.Lost(0, nil)
	require.Len(t, a.entries, 1)
	require.Empty(t, b.entries)
	require.Equal(t, 1, b.contacts)
	require.Equal(t, 1, b.losses)
	s.Removed("a/1")
	require.Empty(t, a.entries)
}
