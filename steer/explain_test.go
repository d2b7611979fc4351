package steer

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// explainedBoard returns a board with one endpoint for each reason by which one is excluded, besides
// the engines p, d and d2, which can get requests. The names of the others say what they are.
func explainedBoard(spread bool) *Board {
	engine := func(id, software string, r lagoonhead.Role) lagoonhead.Endpoint {
		return engineAt(id, r).WithSoftware(software).WithRegion("north")
	}
	away := lagoonhead.NewEndpoint("evacuated", lagoonhead.EndpointKindEngine, model, "evacuated:1", "z")
	list := []lagoonhead.Endpoint{
		engine("p", "1", lagoonhead.RolePrefill), engine("d", "1", lagoonhead.RoleDecode), engine("d2", "1", lagoonhead.RoleDecode),
		engine("leaving", "1", lagoonhead.RoleDecode).WithLeaving(true),
		away.WithRole(lagoonhead.RoleDecode).WithSoftware("1").WithRegion("north").WithLeaving(true),
		engine("otherVersion", "2", lagoonhead.RoleDecode), engine("noRun", "3", lagoonhead.RolePrefill),
		engine("otherRegion", "1", lagoonhead.RoleDecode).WithRegion("south"),
		engine("changing", "1", lagoonhead.RoleDecode), engine("failing", "1", lagoonhead.RoleDecode), engine("avoided", "1", lagoonhead.RoleDecode),
		engine("cold", "1", lagoonhead.RoleDecode).WithColdUntil(now + time.Minute), engine("limited", "1", lagoonhead.RoleDecode),
	}
	b := newBoard(list)
	b.Spread, b.Evacuated = spread, map[lagoonhead.FailureDomain]bool{"z": true}
	b.SetCold(now, list, true, coldTraitsOf(0, 19))
	b.SetChanging("changing", now+time.Second)
	for _, e := range list {
		switch e.ID() {
		case "failing":
			b.RecordResult(now, e, Unreachable)
		case "limited":
			b.SetLimit(now, e, 5)
		}
	}
	b.SetPeerWork(now, "peer", true, []Work{{Endpoint: "p", PrefillTokens: 9_000}, {Endpoint: "d", Running: 32, PrefillTokens: 500, Good: 3}})
	return b
}

func explainRequest(p Prompt, v lagoonhead.VersionPin) ExplainRequest {
	q := prefillRequest(p)
	q.Avoid, q.Version, q.Regions = []lagoonhead.EndpointID{"avoided"}, v, lagoonhead.LimitRegions([]string{"north"})
	return ExplainRequest{Prefill: &q, Run: func(source *lagoonhead.Endpoint) RunRequest {
		r := RunRequest{Service: model, Near: "x", Avoid: q.Avoid, Version: v, Regions: q.Regions}
		if source != nil {
			r.Near, r.Transfer, r.Version = source.FailureDomain(), true, lagoonhead.PinVersion(source.Software())
		}
		return r
	}}
}

// Guards against an explanation that names the wrong reason, none, or no end of an exclusion.
func TestExclusionsAreExplained(t *testing.T) {
	b := explainedBoard(false)
	e := b.Explain(now, explainRequest(long("part"), lagoonhead.VersionPin{}))
	pinned := b.Explain(now, explainRequest(long("part"), lagoonhead.PinVersion("1")))
	require.Equal(t, lagoonhead.EndpointID("p"), e.Prefill.Endpoint.ID())
	require.NotNil(t, e.Run)
	for _, c := range []struct {
		stage *Stage
		id    lagoonhead.EndpointID
		want  Exclusion
		until time.Duration
	}{
		{e.Prefill, "p", Included, 0},
		{e.Prefill, "d", DelaysRuns, 0},
		{e.Prefill, "leaving", Leaving, 0},
		{e.Prefill, "evacuated", Evacuated, 0},
		{pinned.Prefill, "otherVersion", OtherVersion, 0},
		{e.Prefill, "noRun", NoRun, 0},
		{e.Prefill, "otherRegion", OtherRegion, 0},
		{e.Prefill, "changing", ChangingRole, now + time.Second},
		{e.Prefill, "failing", Failing, now + minBackOff},
		{e.Prefill, "avoided", Avoided, 0},
		{e.Prefill, "cold", ColdShareUsed, now + time.Second/19},
		{e.Prefill, "limited", LimitUsed, now + time.Second/5},
		{e.Run, "d", Included, 0},
		{e.Run, "p", OtherRole, 0},
		{e.Run, "otherVersion", OtherVersion, 0},
	} {
		i := slices.IndexFunc(c.stage.Candidates, func(v Candidate) bool { return v.Endpoint.ID() == c.id })
		require.GreaterOrEqual(t, i, 0, c.id)
		v := c.stage.Candidates[i]
		require.Equal(t, c.want, v.Excluded, c.id)
		require.InDelta(t, c.until.Seconds(), v.Until.Seconds(), 1e-6, c.id)
		require.Equal(t, c.want == Included, v.Excluded.String() == "", c.id)
	}
}

// Guards against an explanation of another choice than the one that follows, and against one whose costs
// do not lead to it.
func TestTheExplainedChoiceIsMade(t *testing.T) {
	for _, p := range []Prompt{long("part"), short()} {
		b := explainedBoard(false)
		r := explainRequest(p, lagoonhead.VersionPin{})
		e := b.Explain(now, r)
		v, ok := b.PickPrefill(now, *r.Prefill)
		require.Equal(t, e.Prefill.Chosen, ok)
		require.Equal(t, e.PrefillChoice, v)
		SortCandidates(e.Prefill.Candidates)
		require.Equal(t, v.Endpoint.ID(), e.Prefill.Candidates[0].Endpoint.ID())
		q, stage := r.Run(nil), e.Run
		if v.PrefillOnly {
			q = r.Run(&v.Endpoint)
		} else {
			require.Nil(t, stage)
			stage = b.Explain(now, ExplainRequest{Run: r.Run}).Run
		}
		run, ok := b.PickRun(now, q)
		require.Equal(t, stage.Chosen, ok)
		require.Equal(t, stage.Endpoint, run)
	}
}

// Guards against random choices that are shown as comparisons, and wrong probabilities of runs.
func TestDrawsAreExplained(t *testing.T) {
	b := explainedBoard(true)
	r := explainRequest(short(), lagoonhead.VersionPin{})
	e := b.Explain(now, r)
	require.Equal(t, DrawnShort, e.Prefill.Method)
	drawn := 0
	for _, c := range e.Prefill.Candidates {
		if c.Drawn {
			drawn++
		}
	}
	require.Equal(t, 2, drawn)
	require.Equal(t, DrawnSome, b.Explain(now, explainRequest(long("part"), lagoonhead.VersionPin{})).Prefill.Method)

	const n = 20_000
	got := make(map[lagoonhead.EndpointID]float64)
	for range n {
		run, ok := b.PickRun(now, r.Run(nil))
		require.True(t, ok)
		got[run.ID()] += 1.0 / n
	}
	for _, c := range b.Explain(now, ExplainRequest{Run: r.Run}).Run.Candidates {
		require.InDelta(t, c.Probability, got[c.Endpoint.ID()], 0.02, c.Endpoint.ID()) // five standard deviations
	}
}

// Guards against an explanation that takes from a limit or a cold share, counts, or changes an estimate.
// Of two boards with the same history, only one explains.
func TestExplanationsChangeNothing(t *testing.T) {
	for _, spread := range []bool{false, true} {
		b, other := explainedBoard(spread), explainedBoard(spread)
		for i := range 100 {
			at := now + time.Duration(i)*20*time.Millisecond
			for _, p := range []Prompt{long("part"), short()} {
				b.Explain(at, explainRequest(p, lagoonhead.VersionPin{}))
				b.Explain(at, ExplainRequest{Run: explainRequest(p, lagoonhead.PinVersion("1")).Run})
			}
		}
		require.Equal(t, other, b)
	}
}

// Guards against a field of Board that the copy for an explanation lacks.
func TestSnapshotHasAllFields(t *testing.T) {
	b := explainedBoard(true)
	b.IgnoreFailures, b.unchanged, b.failuresInTwoDraws, b.PeerInterval, b.runSearchStart = true, true, true, time.Second, 7
	b.rateSamples = map[string]int{model: 1}
	b.LimitShare = func(lagoonhead.EndpointID, float64) float64 { return 1 }
	b.ColdShare = func(lagoonhead.EndpointID, float64) ColdShare { return ColdShare{1, 1} }
	b.TransferPerToken = func(string) time.Duration { return time.Microsecond }
	b.addFetch(now, model, time.Second)
	b.addSent(model, 1, 1)
	b.addRunRatio(now, b.targets["d"], 1, 1)
	b.coldCounts.Sent++
	notCopied := map[string]bool{"vars": true, "trace": true, "Random": true} // a copy draws from a source of its own
	v, c := reflect.ValueOf(b).Elem(), reflect.ValueOf(b.snapshot(model)).Elem()
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; !notCopied[name] && !v.Field(i).IsZero() {
			require.False(t, c.Field(i).IsZero(), name)
		} else if !notCopied[name] {
			require.Fail(t, "the test does not set the field", name)
		}
	}
}
