package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against endpoint orders for only a third of the demand: the demand must include
// the engines that other daemons poll, but no old reports of engines that no longer
// respond.
func TestDemandCountsEveryEngine(t *testing.T) {
	inv, err := inventory.Parse("demand.yaml", []byte(`
failureDomains: [{id: a, region: r}]
models: [{id: m}, {id: other}]
engines: [{id: e1, model: m, address: "http://127.0.0.1:1", failureDomain: a, slots: 10, price: 1/h, prefillRate: 1ktok/s}]
`))
	require.NoError(t, err)
	d := inventory.Compile(inv, 1)
	now := time.Hour
	state := func(id lagoonhead.EndpointID, model string, age time.Duration, running, queued int) lagoonhead.EngineState {
		return lagoonhead.EngineState{
			Endpoint: lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, model, "", "a").WithSlots(10),
			Report:   lagoonhead.LoadReport{Number: 1, Running: running, QueuedPrefillTokens: queued},
			ReportAt: now - age,
		}
	}
	got := demandOf(now, d, "m", []lagoonhead.EngineState{
		state("e1", "m", time.Second, 5, 500),
		state("polledElsewhere", "m", 4*time.Second, 10, 20_000),
		state("silent", "m", time.Minute, 10, 10_000),
		state("foreign", "other", time.Second, 10, 10_000),
	})
	require.Equal(t, plan.Work{Prefill: 0.5 + 2, Decode: 0.5 + 1}, got)
}

// Guards against reports that are sent to peers for ever after this daemon has stopped
// polling the engine.
func TestOldReportsAreNotPassedOn(t *testing.T) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	p := &enginePoller{timer: clock, latest: map[lagoonhead.EndpointID]polledReport{
		"e1": {report: lagoonhead.LoadReport{Endpoint: "e1"}, requestedAt: time.Hour},
	}}
	require.Len(t, p.reports(), 1)
	clock.Advance(maxReportAge + time.Millisecond)
	require.Empty(t, p.reports())
	_, ok := p.newest("e1")
	require.False(t, ok)
}

// Guards against counts of VMs that no longer exist, which would be included for ever.
func TestCountsOfGoneVMsAreDropped(t *testing.T) {
	b := &heartbeats{classes: &classCounter{}}
	b.recordCounts(&peer.Heartbeat{Vm: "gone", EngineRequests: 10, DeferrableRequests: 10}, time.Hour)
	b.recordCounts(&peer.Heartbeat{Vm: "here", EngineRequests: 10}, time.Hour)
	require.InDelta(t, 0.5, b.deferrableShare(), 1e-9)
	b.recordCounts(&peer.Heartbeat{Vm: "here", EngineRequests: 10}, time.Hour+maxCountAge+time.Millisecond)
	require.Zero(t, b.deferrableShare())
	require.Len(t, b.counts, 1)
}
