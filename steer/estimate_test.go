package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// estimatedBoard returns a board of an engine that only prefills, at 48 tokens per millisecond,
// with a report of a hub.
func estimatedBoard(w Work) (*Board, *target) {
	b := newBoard(fleet(1, 1))
	b.Spread = true
	w.Endpoint = "p0"
	b.SetPeerWork(now, "hub", true, []Work{w})
	return b, b.targets["p0"]
}

// Guards against a queue that counts as it was reported although the engine has worked on it since,
// against the loss of what peers go on sending, and against an estimate that outlives its report.
func TestQueuesAreEstimatedFromOldReports(t *testing.T) {
	b, p := estimatedBoard(Work{PrefillTokens: 48_000})
	b.BeginPrefill(PrefillChoice{Endpoint: p.endpoint, PrefillOnly: true, Tokens: 5000})
	require.Equal(t, 53_000, b.queued(now, p))
	require.InDelta(t, 29_000, b.queued(now+500*time.Millisecond, p), 100, "half of the work of peers is done")
	require.Equal(t, 5000, b.queued(now+1500*time.Millisecond, p), "not below what this daemon waits for")
	require.Equal(t, 5000, b.queued(now+b.reportTTL(), p))

	b, p = estimatedBoard(Work{PrefillTokens: 48_000, Age: 500 * time.Millisecond})
	require.InDelta(t, 24_000, b.queued(now, p), 100, "the figure was old when the hub told it")

	b, p = estimatedBoard(Work{PrefillTotal: 1})
	for i := range 20 {
		at := now + time.Duration(i+1)*500*time.Millisecond
		b.SetPeerWork(at, "hub", true, []Work{{Endpoint: "p0", PrefillTotal: 1 + int64(i+1)*20_000}})
	}
	at := now + 10*time.Second
	require.Greater(t, b.queued(at+500*time.Millisecond, p), 2000, "peers send 40 tokens per millisecond")
	require.Zero(t, b.queued(at+time.Minute, p), "peers that are silent are not assumed to go on")

	b.Spread = false
	b.SetPeerWork(at, "hub", true, []Work{{Endpoint: "p0", PrefillTokens: 48_000}})
	require.Equal(t, 48_000, b.queued(at+time.Second, p), "reports are fresh")
}

// Guards against an engine that gets as much as others although it takes several times as long, and
// against one that is avoided for long after it was slow for some hundred milliseconds.
func TestForecastErrorsOfPeers(t *testing.T) {
	rate := func(b *Board, p *target, at time.Duration) float64 { b.estimateOf(at, p); return b.rate(p) }
	b, p := estimatedBoard(Work{Forecast: time.Second, Took: time.Second})
	require.InDelta(t, 48, rate(b, p, now), 0.1, "the mean rate of the service")
	at := now + 500*time.Millisecond
	b.SetPeerWork(at, "hub", true, []Work{{Endpoint: "p0", Forecast: 11 * time.Second, Took: 11 * time.Second}})
	require.Less(t, rate(b, p, at), 25.0, "10 s of prefills at 20 tokens per millisecond")
	require.InDelta(t, 48, rate(b, p, at+3*time.Minute), 1)

	// An engine of known speed is slow for a short time.
	b, p = estimatedBoard(Work{Forecast: time.Second, Took: time.Second})
	for i := range 40 {
		b.SetPeerWork(now+time.Duration(i)*250*time.Millisecond, "hub", true, []Work{{Endpoint: "p0", Forecast: time.Duration(i) * time.Second, Took: time.Duration(i) * time.Second / 2}})
	}
	at = now + 10*time.Second
	require.InDelta(t, 40, rate(b, p, at), 3)
	b.SetPeerWork(at, "hub", true, []Work{{Endpoint: "p0", Forecast: 41 * time.Second, Took: 25 * time.Second}})
	require.Less(t, rate(b, p, at), 33.0)
	require.Greater(t, rate(b, p, at+4*time.Second), 30.0, "soon back to three quarters of its speed")
	at += 4 * time.Second
	// A daemon that restarts counts from 0, and one of an earlier release does not count.
	before := rate(b, p, at)
	b.SetPeerWork(at, "hub", true, []Work{{Endpoint: "p0", PrefillTokens: 1}})
	require.InDelta(t, before, rate(b, p, at), 0.01)
}

// Guards against forecasts that are passed on twice or change fleets whose reports are fresh.
func TestForecastErrorsAreReported(t *testing.T) {
	b, p := estimatedBoard(Work{Forecast: time.Second, Took: time.Second})
	b.SetPeerWork(now, "hub", true, []Work{{Endpoint: "p0", Forecast: 2 * time.Second, Took: 3 * time.Second}})
	v := pick(t, b, long("a"))
	require.Equal(t, p.endpoint.ID(), v.Endpoint.ID())
	b.BeginPrefill(v)
	b.EndPrefill(now, v, long("a"), handOverCost+2*v.Estimate.forecast)
	require.Contains(t, v.Estimate.String(), "0 reported 0s ago")
	require.Equal(t, "1", b.Vars().Get("forecasts").String())
	w := b.reportOf(now, p, Recipient{VM: "other"})
	require.Equal(t, time.Second+v.Estimate.forecast, w.Forecast)
	require.Equal(t, 2*time.Second+2*v.Estimate.forecast, w.Took)
	w = b.reportOf(now, p, Recipient{VM: "hub", Hub: true})
	require.Equal(t, [2]time.Duration{v.Estimate.forecast, 2 * v.Estimate.forecast}, [2]time.Duration{w.Forecast, w.Took}, "its own only")

	b = newBoard(fleet(1, 1))
	v = pick(t, b, long("a"))
	b.BeginPrefill(v)
	b.EndPrefill(now, v, long("a"), time.Second)
	require.Zero(t, b.reportOf(now, b.targets[v.Endpoint.ID()], Recipient{VM: "hub", Hub: true}).Forecast)
	require.Empty(t, v.Estimate.String())
}

// Guards against an engine that refuses the requests of one VM after the other, since none hears of
// the refusals of others, and against one that is shunned after it has stopped.
func TestRefusalsOfPeers(t *testing.T) {
	b := newBoard(fleet(0, 2))
	b.Spread = true
	report := func(at time.Duration, refused int64) {
		b.SetPeerWork(at, "hub", true, []Work{{Endpoint: "d0", Good: 1, Refused: refused}, {Endpoint: "d1", Good: 1}})
	}
	report(now, 5)
	require.Zero(t, b.refusalRisk(now, b.targets["d0"]), "the first report of a peer may be old")
	report(now+250*time.Millisecond, 12)
	at := now + 250*time.Millisecond
	for range 20 {
		v, ok := b.PickPrefill(at, prefillRequest(short()))
		require.True(t, ok)
		require.Equal(t, lagoonhead.EndpointID("d1"), v.Endpoint.ID())
	}
	require.Less(t, b.refusalRisk(at+5*time.Second, b.targets["d0"]), time.Duration(crossDomainCost*float64(fullBatchCost)))
	b.RecordResult(at, b.targets["d1"].endpoint, Refused)
	require.EqualValues(t, 1, b.reportOf(at, b.targets["d1"], Recipient{VM: "hub", Hub: true}).Refused)
	b.Spread = false
	require.Zero(t, b.refusalRisk(at, b.targets["d0"]))
}

// Guards against runs that are spread evenly over engines of different speeds, and against an engine
// that gets none because it is slow.
func TestSlowRunEnginesGetFewerRuns(t *testing.T) {
	share := func(spread bool) float64 {
		b := newBoard(fleet(0, 2))
		b.Spread = spread
		for i := range int64(2) {
			b.SetPeerWork(now, "hub", true, []Work{
				{Endpoint: "d0", Good: 1, Forecast: time.Duration(1+i*10) * time.Second, Took: time.Duration(1+i*17) * time.Second},
				{Endpoint: "d1", Good: 1, Forecast: time.Duration(1+i*10) * time.Second, Took: time.Duration(1+i*10) * time.Second},
			})
		}
		n := 0.0
		for range 2000 {
			e, ok := b.PickRun(now, RunRequest{Service: model, Near: "x"})
			require.True(t, ok)
			if e.ID() == "d0" {
				n++
			}
		}
		return n / 2000
	}
	require.InDelta(t, 0.37, share(true), 0.06, "runs in proportion to speeds of 0.6 and 1")
	require.Equal(t, 0.5, share(false), "equal engines in turn")
}
