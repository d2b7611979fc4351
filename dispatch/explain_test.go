package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against an explanation that differs from what happens to the request, sends something, counts
// anything, or takes part in the decisions on later requests.
func TestExplainedPlacementsHappen(t *testing.T) {
	s := &urgencySender{}
	d := scriptedDispatcher(s)
	d.Catalogs = fixedCatalog{catalog.New(catalog.Spec{Version: 7, Routes: []catalog.Route{{
		Name: "stream", Host: "h", Prefix: "/", NoAPIKey: true, Streaming: true, Urgency: 2, MaxAttempts: 1, Timeout: time.Minute,
		Objective: 2 * time.Second, AssumedCallerTimeout: 8 * time.Second, Shares: []catalog.Share{{Service: scriptService, Weight: 1}},
	}}})}
	setEngines(d, map[lagoonhead.EndpointID]lagoonhead.Role{"p": lagoonhead.RolePrefill, "a": lagoonhead.RoleDecode})
	clock := d.Timer.(*timer.Manual)
	refused, overloaded := 0, 0
	for i, tokens := range []int{0, 0, 2_000_000, 2_000_000, 2_000_000, 2_000_000, 0} {
		c := longPrompt(t)
		c.Body = []byte{byte(i)}
		d.WithBoard(func(b *steer.Board) {
			b.SetPeerWork(clock.Now(), "peer", true, []steer.Work{{Endpoint: "p", PrefillTokens: tokens}, {Endpoint: "a", PrefillTokens: tokens}})
		})
		before, prefills := d.Vars().String(), s.prefills
		q := PlacementQuery{Route: "stream", Tokens: c.Prompt.Tokens, SharedParts: c.Prompt.Parts[:1]}
		var p *Placement
		for range 20 {
			var err error
			p, err = d.ExplainPlacement(q)
			require.NoError(t, err)
		}
		require.Equal(t, before, d.Vars().String())
		require.Equal(t, prefills, s.prefills)
		require.EqualValues(t, 7, p.ConfigVersion)
		if p.Overloaded {
			overloaded++
		}
		err := d.Serve(t.Context(), c, &recordingSink{})
		if p.Refusal != nil {
			refused++
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
			require.Equal(t, p.Refusal.Error(), err.Error())
			require.Positive(t, RetryAfter(p.Refusal))
			continue
		}
		require.NoError(t, err)
		require.Equal(t, s.run, p.RunUrgency)
		if s.prefills == prefills { // the engine that runs the request has the shared part
			require.EqualValues(t, "a", p.Prefill.Endpoint.ID())
			require.Nil(t, p.Run)
			continue
		}
		require.EqualValues(t, "p", p.Prefill.Endpoint.ID())
		require.EqualValues(t, "a", p.Run.Endpoint.ID())
		require.Equal(t, s.prefill, p.Decision.Urgency)
	}
	require.Positive(t, refused)
	require.Positive(t, overloaded)
}

// Guards against explanations that do not say what is wrong with a query or why nothing is chosen.
func TestPlacementsThatCannotBeExplained(t *testing.T) {
	d := scriptedDispatcher(&scriptedSender{t: t})
	d.Catalogs = fixedCatalog{catalog.New(catalog.Spec{
		Version: 1, Services: []catalog.Service{{Name: scriptService}, {Name: "unused"}}, Workspaces: []catalog.Workspace{{ID: "w"}},
		Routes: []catalog.Route{{Name: "plain", Shares: []catalog.Share{{Service: scriptService, Weight: 3}, {Service: "empty", Weight: 1}}, Timeout: time.Minute}},
	})}
	for _, c := range []struct {
		query PlacementQuery
		want  lagoonhead.Kind
	}{
		{PlacementQuery{}, lagoonhead.KindInvalid},
		{PlacementQuery{Route: "other"}, lagoonhead.KindNotFound},
		{PlacementQuery{Service: "other"}, lagoonhead.KindNotFound},
		{PlacementQuery{Service: "unused"}, lagoonhead.KindNotFound},
		{PlacementQuery{Route: "plain", Service: "unused"}, lagoonhead.KindNotFound},
		{PlacementQuery{Route: "plain", Workspace: "other"}, lagoonhead.KindNotFound},
		{PlacementQuery{Route: "plain", Tokens: 5, SharedParts: []steer.Part{{ID: "a", Tokens: 6}}}, lagoonhead.KindInvalid},
	} {
		_, err := d.ExplainPlacement(c.query)
		require.True(t, lagoonhead.IsKind(err, c.want), "%+v: %v", c.query, err)
	}
	p, err := d.ExplainPlacement(PlacementQuery{Service: scriptService, Workspace: "w", Tokens: 5, Retryable: true, HasRetryable: true})
	require.NoError(t, err)
	require.Nil(t, p.Prefill, "a request with a single answer has no prefill of its own")
	require.True(t, p.Run.Chosen)
	require.True(t, p.Retryable)
	require.NoError(t, p.Refusal)
	p, err = d.ExplainPlacement(PlacementQuery{Route: "plain", Service: "empty"})
	require.NoError(t, err)
	require.Error(t, p.Refusal)
	require.GreaterOrEqual(t, RetryAfter(p.Refusal), busyRetryAfter)
	d.Catalogs = fixedCatalog{}
	_, err = d.ExplainPlacement(PlacementQuery{Route: "plain"})
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
}
