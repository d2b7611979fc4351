package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/prefix"
)

const now = 100 * time.Second

func engine(i int) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(lagoonhead.EndpointID(fmt.Sprintf("e%d", i)),
		lagoonhead.EndpointKindEngine, "m", "http://x", "a").WithSlots(8)
}

func table(n int) *Table {
	t := NewTable(DefaultReportLag, DefaultPrefillRate)
	for i := range n {
		t.Put(engine(i))
	}
	return t
}

func report(i, number, queued, running int) lagoonhead.LoadReport {
	return lagoonhead.LoadReport{Endpoint: engine(i).ID(), Incarnation: "1", Number: int64(number),
		QueuedPrefillTokens: queued, Running: running}
}

func request(prompt int) *lagoonhead.RouteRequest {
	r := lagoonhead.NewRequest("r", "w", "m", now)
	r.SetTokens(prompt, 100)
	return &lagoonhead.RouteRequest{Request: r}
}

func policy(t testing.TB, name string) lagoonhead.RoutePolicy {
	p, err := New(name, 1)
	require.NoError(t, err)
	return p
}

// Guards against a misspelled policy name in the settings that silently selects a
// default.
func TestNewRefusesUnknownName(t *testing.T) {
	_, err := New("fastest", 1)
	require.Equal(t, lagoonhead.KindInvalid, lagoonhead.KindOf(err))
	for _, n := range Names() {
		require.Equal(t, n, policy(t, n).Name())
	}
}

// Guards, for each policy, against requests to endpoints that must not get any.
func TestPoliciesRespectBars(t *testing.T) {
	cases := map[string]struct {
		change func(*Table, *lagoonhead.RouteRequest)
		usable bool
	}{
		"leaving":       {func(b *Table, _ *lagoonhead.RouteRequest) { b.SetLeaving(0) }, false},
		"avoided":       {func(_ *Table, r *lagoonhead.RouteRequest) { r.Avoid = []lagoonhead.EndpointID{"e0"} }, false},
		"too expensive": {func(b *Table, r *lagoonhead.RouteRequest) { b.Put(engine(0).WithPrice(3)); r.CostCeiling = 2 }, false},
		"full":          {func(b *Table, _ *lagoonhead.RouteRequest) { b.Report(now, report(0, 1, 0, 8)) }, true},
		"suspect beside suspect": {func(b *Table, r *lagoonhead.RouteRequest) {
			r.Suspect = true
			b.Dispatch(now, r, lagoonhead.Choice{Engine: 0})
		}, true},
		"crashed": {func(b *Table, r *lagoonhead.RouteRequest) {
			k := b.Dispatch(now, r, lagoonhead.Choice{Engine: 0})
			b.Done(now, &k, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindCrashed})
		}, true},
		"deferrable, engine busy": {func(b *Table, r *lagoonhead.RouteRequest) {
			r.Request.SetPriority(lagoonhead.PriorityDeferrable)
			b.Report(now, report(0, 1, 0, 6))
		}, true},
	}
	for name, c := range cases {
		for _, n := range Names() {
			t.Run(name+"/"+n, func(t *testing.T) {
				b, r, p := table(1), request(5000), policy(t, n)
				require.Equal(t, 0, p.Pick(now, r, b.States()).Engine)
				c.change(b, r)
				choice := p.Pick(now, r, b.States())
				require.Equal(t, -1, choice.Engine)
				require.Equal(t, c.usable, choice.Usable)
				require.NotEmpty(t, p.Reason(now, r, b.States(), choice))
			})
		}
	}
}

// Guards against a prediction that ignores queue, cache or own dispatches.
func TestPredictedWeighsQueueCacheAndOwnDispatches(t *testing.T) {
	b, p := table(3), policy(t, Predicted)
	x := prefix.New(64, 64)
	blocks := []uint64{1}
	x.AddPrompt(2, blocks)
	r := request(3000)
	r.Request.SetBlocks(blocks)
	r.Prefix = x
	for i := range 3 {
		b.Report(now, report(i, 1, 0, 0))
	}
	c := p.Pick(now, r, b.States())
	require.Equal(t, 2, c.Engine, "the engine with the cached prefix")
	require.Equal(t, 1000, c.Uncached)
	b.Report(now, report(2, 2, 5000, 0))
	require.NotEqual(t, 2, p.Pick(now, r, b.States()).Engine, "its queue outweighs the cache")

	first := p.Pick(now, r, b.States())
	k := b.Dispatch(now, r, first)
	second := p.Pick(now, r, b.States())
	require.Equal(t, 1-first.Engine, second.Engine, "own dispatch counts before it is reported")
	b.Report(now+DefaultReportLag/2, report(first.Engine, 2, 0, 0))
	require.Equal(t, second.Engine, p.Pick(now, r, b.States()).Engine, "a report may be older than the dispatch")
	b.FirstToken(now+DefaultReportLag/2, &k)
	require.Zero(t, b.States()[first.Engine].SentTokens)
	b.Done(now+DefaultReportLag/2, &k, lagoonhead.Outcome{})
	require.Zero(t, b.States()[first.Engine].SentRequests)
}

// Guards against counts that do not return to zero when reports, first tokens and ends
// of requests interleave.
func TestCountsReturnToZero(t *testing.T) {
	b, r := table(1), request(1000)
	ks := make([]Ticket, 0, 40)
	for i := range 40 {
		at := now + time.Duration(i)*20*time.Millisecond
		ks = append(ks, b.Dispatch(at, r, lagoonhead.Choice{Engine: 0, Uncached: 1000}))
		if i%7 == 0 {
			b.Report(at, report(0, i+1, 0, 0))
		}
		if i%3 == 0 {
			b.FirstToken(at, &ks[i/2])
		}
	}
	for i := range ks {
		b.Done(now+time.Second, &ks[i], lagoonhead.Outcome{})
	}
	s := b.States()[0]
	require.Equal(t, []int{0, 0, 0}, []int{s.SentTokens, s.SentRequests, s.InFlight})
}

// Guards against a failing endpoint that gets many requests at once, or is never
// retried.
func TestBackOffAndHalfOpenProbe(t *testing.T) {
	b, r, p := table(1), request(10), policy(t, Predicted)
	pick := func(at time.Duration) lagoonhead.Choice { return p.Pick(at, r, b.States()) }
	crash := lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindCrashed}
	one := b.Dispatch(now, r, pick(now))
	two := b.Dispatch(now, r, pick(now))
	b.Done(now, &one, crash)
	b.Done(now, &two, crash)
	require.Equal(t, -1, pick(now+initialBackOff-1).Engine)
	probe := pick(now + initialBackOff)
	require.Equal(t, 0, probe.Engine, "two requests lost in one crash count once")
	k := b.Dispatch(now+initialBackOff, r, probe)
	require.Equal(t, -1, pick(now+initialBackOff).Engine, "one probe at a time")
	b.Done(now+initialBackOff, &k, crash)
	at := now + 2*initialBackOff
	require.Equal(t, -1, pick(at).Engine, "the back-off doubles")
	at += initialBackOff
	k = b.Dispatch(at, r, pick(at))
	b.Done(at, &k, lagoonhead.Outcome{})
	require.Equal(t, 0, pick(at).Engine)
	require.Equal(t, maxBackOff, backOff(99))
}

// Guards against an engine at a tenth of its speed that keeps getting requests, or is
// never retried.
func TestSlowEngineIsAvoidedAndTriedAgain(t *testing.T) {
	b, r, p := table(2), request(4000), policy(t, Predicted)
	c := p.Pick(now, r, b.States())
	for range 3 {
		k := b.Dispatch(now, r, c)
		b.Overdue(now+10*c.BaseTTFT, &k)
		b.FirstToken(now+10*c.BaseTTFT, &k)
		b.Done(now+10*c.BaseTTFT, &k, lagoonhead.Outcome{})
	}
	at := now + 10*c.BaseTTFT
	for range 20 {
		require.Equal(t, 1-c.Engine, p.Pick(at, r, b.States()).Engine)
	}
	require.InDelta(t, 1, slowdown(at+10*slowdownHalfLife, &b.States()[c.Engine]), 0.01)
}

// Guards against avoiding engines as slow when all engines have slowed equally.
func TestSlowdownIsRelative(t *testing.T) {
	b, r := table(4), request(4000)
	for n := range 400 {
		at := now + time.Duration(n)*time.Second
		c := lagoonhead.Choice{Engine: n % 4, Decode: n % 4, BaseTTFT: time.Second}
		k := b.Dispatch(at, r, c)
		b.FirstToken(at+3*time.Second, &k)
		b.Done(at+3*time.Second, &k, lagoonhead.Outcome{})
	}
	for i := range b.States() {
		require.InDelta(t, 1, b.States()[i].Slowdown, 0.2)
	}
}

// Guards against deferrable requests on firm engines while reclaimable ones have
// capacity.
func TestDeferrableGoesToReclaimableFirst(t *testing.T) {
	b, r, p := table(2), request(4000), policy(t, Predicted)
	b.Put(engine(1).WithSupply(lagoonhead.SupplyReclaimable))
	b.Report(now, report(1, 1, 1500, 6))
	require.Equal(t, 0, p.Pick(now, r, b.States()).Engine)
	r.Request.SetPriority(lagoonhead.PriorityDeferrable)
	require.Equal(t, 1, p.Pick(now, r, b.States()).Engine)
	b.Report(now, report(1, 2, 9000, 6))
	require.Equal(t, 0, p.Pick(now, r, b.States()).Engine, "the queue of the reclaimable engine is too long")
}

// Guards against old reports that overwrite new ones, and against a new process
// that inherits the back-off of the previous one.
func TestReportsAreOrdered(t *testing.T) {
	b := table(1)
	require.True(t, b.Report(now, report(0, 5, 100, 1)))
	require.False(t, b.Report(now, report(0, 4, 900, 1)))
	require.False(t, b.Report(now, report(9, 6, 0, 0)), "unknown endpoint")
	b.states[0].Failures, b.states[0].RetryAt = 9, now+time.Hour
	next := report(0, 1, 0, 0)
	next.Incarnation = "2"
	require.True(t, b.Report(now, next))
	require.Equal(t, now, b.States()[0].RetryAt)
}

// Guards against requests that queue up at saturated engines, where fair queueing
// does not apply.
func TestRequestsWaitWhileTheFleetIsSaturated(t *testing.T) {
	b, r, p := table(2), request(4000), policy(t, Predicted)
	b.Report(now, report(0, 1, 0, 0))
	b.Report(now, report(1, 1, 20000, 0))
	c := p.Pick(now, r, b.States())
	require.Equal(t, -1, c.Engine, "the mean queue decides")
	require.True(t, c.Usable)
	require.Contains(t, p.Reason(now, r, b.States(), c), "saturated")
	b.Report(now, report(1, 2, 5000, 0))
	require.Equal(t, 0, p.Pick(now, r, b.States()).Engine)
	b.Report(now, report(1, 3, 1<<30, 0))
	b.Report(now+staleAfter, report(0, 2, 0, 0))
	require.Equal(t, 0, p.Pick(now+staleAfter, r, b.States()).Engine, "an engine with a stale report is left out of the mean queue")
}

// Guards against a split request that is counted on the wrong engine or twice, and
// against strict roles that are ignored.
func TestSplitCountsBothEngines(t *testing.T) {
	_, err := NewSplit(RoundRobin, 1)
	require.Equal(t, lagoonhead.KindInvalid, lagoonhead.KindOf(err))
	for _, name := range []string{Predicted, StaticRoles} {
		p, err := NewSplit(name, 1)
		require.NoError(t, err)
		b, r := table(2), request(4000)
		b.Put(engine(0).WithRole(lagoonhead.RolePrefill))
		b.Put(engine(1).WithRole(lagoonhead.RoleDecode))
		b.Report(now, report(1, 1, 0, 4))
		c := p.Pick(now, r, b.States())
		require.Equal(t, []int{0, 1}, []int{c.Engine, c.Decode}, name)
		flight := func() []int { return []int{b.States()[0].InFlight, b.States()[1].InFlight} }
		for _, early := range []bool{true, false} {
			k := b.Dispatch(now, r, c)
			require.Equal(t, []int{1, 1}, flight())
			if early {
				b.FirstToken(now, &k)
				require.Equal(t, []int{0, 1}, flight())
			}
			b.Done(now, &k, lagoonhead.Outcome{})
			require.Equal(t, []int{0, 0}, flight())
			require.Zero(t, b.States()[0].SentRequests)
		}
	}
}

// Guards against a daemon with little traffic that takes its only dispatch as a sign that
// all daemons dispatch at once, and therefore sees the fleet as saturated.
func TestOwnDispatchDoesNotSaturateQuietDaemon(t *testing.T) {
	b, r, p := table(12), request(8000), policy(t, Predicted)
	for i := range 12 {
		b.Report(now, report(i, 1, 0, 4))
	}
	for range 3 {
		c := p.Pick(now, r, b.States())
		require.GreaterOrEqual(t, c.Engine, 0)
		b.Dispatch(now, r, c)
	}
}

// Guards against a single own dispatch that is multiplied by the number of daemons and
// makes a large fleet look saturated.
func TestOneDispatchDoesNotSaturateALargeFleet(t *testing.T) {
	b, r, p := table(2500), request(4000), policy(t, Predicted)
	x := prefix.New(64, 64)
	r.Request.SetBlocks([]uint64{1})
	r.Prefix = x
	for i := range 2500 {
		b.Report(now, report(i, 1, 0, 4))
	}
	for range 500 {
		c := p.Pick(now, r, b.States())
		require.GreaterOrEqual(t, c.Engine, 0)
		if b.States()[c.Engine].InFlight == 0 && x.BlockCount(c.Engine) == 0 {
			b.Dispatch(now, r, c)
			x.AddPrompt(c.Engine, r.Request.Blocks())
		}
	}
}

// Guards against daemons that all choose the engine with the shortest queue in the same
// outdated reports.
func TestLevelCountsWhatOtherDaemonsSend(t *testing.T) {
	for _, c := range []struct{ tokens, want float64 }{{0, 0}, {900, 900}, {1000, 1000}, {3000, 2000}, {9000, 4000}} {
		require.InDelta(t, c.want, waterFill([]float64{5000, 1000, 0, 3000, 3000}, c.tokens), 1e-6)
	}
	b := table(4)
	for i := range 4 {
		b.Report(now, report(i, 1, 9000+i*2000, 1))
	}
	p, r := policy(t, Predicted).(*predicted), request(4000)
	k := b.Dispatch(now, r, lagoonhead.Choice{Engine: 0, BaseTTFT: time.Second})
	b.FirstToken(now, &k)
	seen := map[int]bool{}
	for range 50 {
		p.sendRate = tokenRate{}
		p.sendRate.add(now, 20000)
		seen[p.Pick(now+2*time.Second, r, b.States()).Engine] = true
	}
	require.Len(t, seen, 4, "three others send as much as this daemon")
}

// bench measures Pick on n engines with prompts of 100 blocks that share prefixes.
func bench(b *testing.B, n int, name string) {
	t, x := table(n), prefix.New(512, 16384)
	prompts := make([][]uint64, 64)
	for i := range prompts {
		for j := range 100 {
			h := uint64(j + 1)
			if j >= 10 {
				h = uint64(i*1000 + j)
			}
			prompts[i] = append(prompts[i], h*0x9e3779b97f4a7c15)
		}
	}
	for i := range n {
		t.Report(now, report(i, 1, i*37%4000, i%7))
		for k := range 4 {
			x.AddPrompt(i, prompts[(i+k*17)%len(prompts)])
		}
	}
	p, r := policy(b, name), request(200000)
	r.Prefix = x
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Request.SetBlocks(prompts[i%len(prompts)])
		if p.Pick(now, r, t.States()).Engine < 0 {
			b.Fatal("no choice")
		}
		i++
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 500, 2500} {
		for _, name := range []string{Predicted, LeastOutstanding} {
			b.Run(fmt.Sprintf("%s/engines=%d", name, n), func(b *testing.B) { bench(b, n, name) })
		}
	}
}

// Guards against allocations in Pick, which runs for every request.
func TestPickDoesNotAllocate(t *testing.T) {
	b, x := table(2500), prefix.New(64, 64)
	r := request(4000)
	r.Request.SetBlocks([]uint64{1, 2})
	r.Prefix = x
	x.AddPrompt(7, r.Request.Blocks())
	for _, n := range Names() {
		p := policy(t, n)
		require.Zero(t, testing.AllocsPerRun(100, func() { p.Pick(now, r, b.States()) }), n)
	}
}
