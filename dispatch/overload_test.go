package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// urgencySender prefills and runs every prompt and records the urgency values.
type urgencySender struct {
	prefillingSender
	prefill, run int
}

func (s *urgencySender) Prefill(ctx context.Context, a *lagoonhead.Attempt) (lagoonhead.KVHandle, error) {
	s.prefill = a.Urgency
	return s.prefillingSender.Prefill(ctx, a)
}

func (s *urgencySender) Send(ctx context.Context, a *lagoonhead.Attempt) (*lagoonhead.Answer, error) {
	s.run = a.Urgency
	return s.prefillingSender.Send(ctx, a)
}

// Guards against prompts of a service that meets its objective and are sent with another urgency,
// late prompts that go ahead of others, and refused callers that are asked to wait longer than
// they would or come back as often as they like.
func TestPromptsOfAnOverloadedService(t *testing.T) {
	s := &urgencySender{}
	d := scriptedDispatcher(s)
	d.Catalogs = fixedCatalog{catalog.New(catalog.Spec{Version: 1, Routes: []catalog.Route{{
		Name: "stream", Host: "h", Prefix: "/", NoAPIKey: true, Streaming: true, Urgency: 2, MaxAttempts: 1, Timeout: time.Minute,
		Objective: 2 * time.Second, AssumedCallerTimeout: 8 * time.Second, Shares: []catalog.Share{{Service: scriptService, Weight: 1}},
	}}})}
	setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{"p": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode})
	clock := d.Timer.(*timer.Manual)
	backlog := func(tokens int) {
		d.WithBoard(func(b *steer.Board) {
			b.SetPeerWork(clock.Now(), "peer", true, []steer.Work{{Endpoint: "p", PrefillTokens: tokens}, {Endpoint: "a", PrefillTokens: tokens}})
		})
	}
	serve := func() error {
		c := longPrompt(t)
		c.Body = []byte{byte(s.prefills)} // another request, unless the last one was refused
		return d.Serve(t.Context(), c, &recordingSink{})
	}
	require.NoError(t, serve())
	require.Equal(t, []int{4, 2}, []int{s.prefill, s.run}, "as before: the class of its length is 2")

	backlog(80_000)
	for range 2 {
		require.NoError(t, serve())
	}
	require.Equal(t, []int{6, 1}, []int{s.prefill, s.run}, "behind, and the run with its prefill ahead")

	backlog(2_000_000)
	err := serve()
	require.True(t, NotRun(err), "%v", err)
	after := RetryAfter(err)
	require.Positive(t, after)
	require.LessOrEqual(t, after, 8*time.Second/3, "callers do not wait longer")
	prefills := s.prefills
	clock.Advance(after)
	backlog(80_000)
	require.NoError(t, serve())
	require.Equal(t, prefills+1, s.prefills)
	require.Equal(t, "1", d.vars.overloadedRefused.Get("late").String())
	require.Equal(t, "1", d.vars.overloaded.Get("returned").String())
}
