package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

const model = "m"

// fleet returns engines p0, p1, ... for prefill and d0, d1, ... for decode.
func fleet(prefill, decode int) []lagoonhead.Endpoint {
	var list []lagoonhead.Endpoint
	for i := range prefill {
		list = append(list, engineAt(fmt.Sprintf("p%d", i), lagoonhead.RolePrefill))
	}
	for i := range decode {
		list = append(list, engineAt(fmt.Sprintf("d%d", i), lagoonhead.RoleDecode))
	}
	return list
}

func engineAt(id string, r lagoonhead.Role) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(lagoonhead.EndpointID(id), lagoonhead.EndpointKindEngine, model, id+":1", "x").WithRole(r).WithSlots(64)
}

func cacheCapacity(string) int { return 400_000 }

func newBoard(list []lagoonhead.Endpoint) *Board {
	b := &Board{Domain: "x"}
	b.SetEndpoints(list, cacheCapacity)
	// The measured prefill rate of engines, in tokens per millisecond.
	b.rates = map[string]float64{model: 48}
	return b
}

// long is a prompt with a long shared part; short is one whose shared part is too short to
// matter.
func long(part string) Prompt {
	return Prompt{Tokens: 17_000, MaxOutput: 100, Parts: []Part{{part, 13_000}, {part + "/own", 4_000}}}
}

func short() Prompt {
	return Prompt{Tokens: 380, MaxOutput: 40, Parts: []Part{{"s", 90}, {"s/own", 290}}}
}

func prefillRequest(p Prompt) PrefillRequest {
	return PrefillRequest{Service: model, Prompt: p, Due: time.Hour + 450*time.Millisecond, MaxPause: 300 * time.Millisecond}
}

const now = time.Hour

func pick(t *testing.T, b *Board, p Prompt) PrefillChoice {
	t.Helper()
	v, ok := b.PickPrefill(now, prefillRequest(p))
	require.True(t, ok)
	return v
}

// Guards against daemons that have the same shared part prefilled on different engines.
func TestDaemonsAgreeOnTheHomeOfAPart(t *testing.T) {
	list := fleet(9, 3)
	a := newBoard(list)
	reversed := make([]lagoonhead.Endpoint, len(list))
	for i, e := range list {
		reversed[len(list)-1-i] = e
	}
	b := newBoard(reversed)
	homes := make(map[lagoonhead.EndpointID]int)
	for i := range 100 {
		p := long(fmt.Sprint("part", i))
		v := pick(t, a, p)
		require.Equal(t, v.Endpoint.ID(), pick(t, b, p).Endpoint.ID())
		homes[v.Endpoint.ID()]++
	}
	require.Len(t, homes, 9, "parts are spread over all engines that prefill")
}

// Guards against a part that is prefilled again although an engine has it cached.
func TestCachedPartIsNotPrefilledAgain(t *testing.T) {
	b := newBoard(fleet(9, 3))
	v := pick(t, b, long("a"))
	require.Equal(t, 17_000, v.Tokens)
	b.BeginPrefill(v)
	b.EndPrefill(now, v, long("a"), 400*time.Millisecond)
	again := pick(t, b, long("a"))
	require.Equal(t, v.Endpoint.ID(), again.Endpoint.ID())
	require.Equal(t, 4_000, again.Tokens)
}

// Guards against a daemon that ignores the parts that its peers had an engine prefill.
func TestPeersReportPrefilledParts(t *testing.T) {
	list := fleet(9, 3)
	a, b := newBoard(list), newBoard(list)
	v := pick(t, a, long("a"))
	a.BeginPrefill(v)
	a.EndPrefill(now, v, long("a"), 400*time.Millisecond)
	b.SetPeerWork(now, "vm-a", true, a.Report(now, Recipient{Hub: true}))
	require.Equal(t, 4_000, pick(t, b, long("a")).Tokens)
}

// Guards against a prompt that is late at a busy engine while another could prefill it in
// time.
func TestAnIdleEngineGoesBeforeALateOne(t *testing.T) {
	b := newBoard(fleet(9, 3))
	home := pick(t, b, long("a"))
	b.BeginPrefill(home)
	b.EndPrefill(now, home, long("a"), 400*time.Millisecond)
	for range 3 {
		b.BeginPrefill(PrefillChoice{Endpoint: home.Endpoint, PrefillOnly: true, Tokens: 17_000})
	}
	v := pick(t, b, long("a"))
	require.NotEqual(t, home.Endpoint.ID(), v.Endpoint.ID())
	require.Less(t, v.Wait, 450*time.Millisecond)
}

// Guards against a KV cache transfer for a short prompt: it runs where it is prefilled.
func TestShortPromptsRunWhereTheyArePrefilled(t *testing.T) {
	b := newBoard(fleet(9, 3))
	require.False(t, pick(t, b, short()).PrefillOnly)
}

// Guards against the prefill of a long prompt that delays the streams of other callers.
func TestLongPromptsArePrefilledSeparately(t *testing.T) {
	b := newBoard(fleet(2, 10))
	for range 20 {
		v := pick(t, b, long("a"))
		require.True(t, v.PrefillOnly)
		b.BeginPrefill(v)
	}
}

// Guards against a long prompt that waits for busy prefill engines although a decode engine
// has its shared part cached.
func TestDecodeEnginePrefillsPromptWithCachedPart(t *testing.T) {
	b := newBoard(fleet(2, 10))
	p := Prompt{Tokens: 16_000, Parts: []Part{{"a", 13_000}, {"own", 3_000}}}
	b.AddCached(now, engineAt("d3", lagoonhead.RoleDecode), p)
	for _, e := range fleet(2, 0) {
		b.BeginPrefill(PrefillChoice{Endpoint: e, PrefillOnly: true, Tokens: 40_000})
	}
	v := pick(t, b, p)
	require.Equal(t, lagoonhead.EndpointID("d3"), v.Endpoint.ID())
	require.Equal(t, 3_000, v.Tokens)
}

// Guards against an engine that attracts all requests by refusing them quickly, as one does
// while it changes its role.
func TestRefusingEngineGetsNoMoreRequests(t *testing.T) {
	b := newBoard(fleet(2, 0))
	v := pick(t, b, long("a"))
	b.RecordResult(now, v.Endpoint, Refused)
	require.NotEqual(t, v.Endpoint.ID(), pick(t, b, long("a")).Endpoint.ID())
	w, ok := b.PickPrefill(now+time.Second, prefillRequest(long("a")))
	require.True(t, ok)
	require.Equal(t, v.Endpoint.ID(), w.Endpoint.ID(), "it is used again later")
}

// Guards against work for an engine that is about to change its role.
func TestAnEngineInChangeGetsNothing(t *testing.T) {
	list := fleet(2, 0)
	b := newBoard(list)
	v := pick(t, b, long("a"))
	b.SetChanging(v.Endpoint.ID(), now+time.Minute)
	require.NotEqual(t, v.Endpoint.ID(), pick(t, b, long("a")).Endpoint.ID())
	for i, e := range list {
		if e.ID() == v.Endpoint.ID() {
			list[i] = e.WithRole(lagoonhead.RoleDecode)
		}
	}
	b.SetEndpoints(list, cacheCapacity)
	e, ok := b.PickRun(now, RunRequest{Service: model, Near: "x"})
	require.True(t, ok, "the new role shows that the change is over")
	require.Equal(t, v.Endpoint.ID(), e.ID())
}

// Guards against state of an engine that is kept after its process has restarted.
func TestRestartLosesEngineState(t *testing.T) {
	list := fleet(1, 0)
	b := newBoard(list)
	v := pick(t, b, long("a"))
	b.BeginPrefill(v)
	b.EndPrefill(now, v, long("a"), 400*time.Millisecond)
	b.BeginPrefill(v)
	b.SetEndpoints([]lagoonhead.Endpoint{list[0].WithIncarnation("2")}, cacheCapacity)
	w := pick(t, b, long("a"))
	require.Equal(t, 17_000, w.Tokens)
	require.Less(t, w.Wait, 400*time.Millisecond, "its queue is empty")
	b.EndPrefill(now, v, long("a"), 0)
	require.Equal(t, w.Wait, pick(t, b, long("a")).Wait, "the end of work on the old process does not count")
}

// Guards against an old prefill that is reported repeatedly: peers would assume that the
// part is cached although it was evicted long ago.
func TestOldReadingsAreNotTold(t *testing.T) {
	b := newBoard(fleet(1, 1))
	v := pick(t, b, long("a"))
	b.BeginPrefill(v)
	b.EndPrefill(now, v, long("a"), 400*time.Millisecond)
	reportedParts := func(at time.Duration) []uint64 { return b.Report(at, Recipient{Hub: true})[0].RecentParts }
	require.Len(t, reportedParts(now+minReportTTL), 1)
	require.Empty(t, reportedParts(now+minReportTTL+1))
	b.PeerInterval = minReportTTL
	require.Len(t, reportedParts(now+ttlIntervals*b.PeerInterval), 1, "in a large fleet a peer may not have got an earlier report of it")
}

// Guards against an endpoint that keeps its work while it fails, and against one that never
// gets any again.
func TestHealth(t *testing.T) {
	b := newBoard(fleet(0, 2))
	b.IgnoreFailures = true // only exclusion is tested here
	bad := engineAt("d0", lagoonhead.RoleDecode)
	picks := func(at time.Duration) (n int) {
		for range 10 {
			e, ok := b.PickRun(at, RunRequest{Service: model, Near: "x"})
			require.True(t, ok)
			if e.ID() == bad.ID() {
				n++
			}
		}
		return n
	}
	require.Positive(t, picks(now))
	b.RecordResult(now, bad, Bad)
	b.RecordResult(now, bad, Bad)
	require.Zero(t, picks(now))
	require.Positive(t, picks(now+minBackOff))
	b.RecordResult(now+minBackOff, engineAt("d1", lagoonhead.RoleDecode), Unreachable)
	require.Equal(t, 10, picks(now+minBackOff), "an endpoint that accepts no connection is excluded at once")
	b.RecordResult(now, bad, Bad)
	_, ok := b.PickRun(now, RunRequest{Service: model, Near: "x"})
	require.True(t, ok, "if all are excluded, one is tried anyway")
}

// Guards against new work for endpoints that are leaving.
func TestLeavingEndpointsGetNothing(t *testing.T) {
	list := fleet(1, 1)
	list[0], list[1] = list[0].WithLeaving(true), list[1].WithLeaving(true)
	b := newBoard(list)
	_, ok := b.PickPrefill(now, prefillRequest(long("a")))
	require.False(t, ok)
	_, ok = b.PickRun(now, RunRequest{Service: model, Near: "x"})
	require.False(t, ok)
}

// Guards against reports of a peer that still count after it has gone silent.
func TestReportsOfSilentPeerExpire(t *testing.T) {
	b := newBoard(fleet(1, 0))
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "p0", PrefillTokens: 48_000}})
	require.Greater(t, pick(t, b, long("a")).Wait, time.Second)
	v, ok := b.PickPrefill(now+minReportTTL, PrefillRequest{Service: model, Prompt: long("a"), Due: 2 * now})
	require.True(t, ok)
	require.Less(t, v.Wait, 500*time.Millisecond)
}

// Guards against an engine that is known before the configuration and is taken for one
// without a cache from then on, and against parts of peers that never leave the estimate.
func TestCacheCapacityFollowsTheConfiguration(t *testing.T) {
	list := fleet(1, 0)
	var b Board
	b.SetEndpoints(list, func(string) int { return 0 })
	b.SetEndpoints(list, cacheCapacity)
	for _, id := range []string{"a", "b"} {
		b.AddCached(now, list[0], long(id))
	}
	part, _ := long("a").shared()
	cache := b.targets[list[0].ID()].cache
	require.True(t, cache.has(part), "the cache has room for both")
	for i := range uint64(1000) {
		b.SetPeerWork(now, "vm", true, []Work{{Endpoint: list[0].ID(), Running: 1, RecentParts: []uint64{i + 1}}})
	}
	require.False(t, cache.has(part))
	require.LessOrEqual(t, cache.order.Len(), cacheCapacity(model)/minSharedTokens)
	b.SetEndpoints(list, func(string) int { return minSharedTokens })
	require.LessOrEqual(t, cache.order.Len(), 1)
}

// Guards against work that a hub counts twice or does not pass on: a hub gets the work of
// the daemons attached to its peer but not that of other hubs, which report themselves, and
// an attached daemon gets all but its own.
func TestHubsPassWorkOn(t *testing.T) {
	list := fleet(1, 0)
	boards := make(map[lagoonhead.VMID]*Board)
	for _, id := range []lagoonhead.VMID{"a1", "a2", "hubA", "hubB", "b1"} {
		boards[id] = newBoard(list)
		if id != "hubA" && id != "hubB" {
			v := pick(t, boards[id], long("p"))
			boards[id].BeginPrefill(v)
		}
	}
	isHub := func(id lagoonhead.VMID) bool { return id == "hubA" || id == "hubB" }
	report := func(from, to lagoonhead.VMID) {
		boards[to].SetPeerWork(now, from, isHub(from), boards[from].Report(now, Recipient{VM: to, Hub: isHub(to)}))
	}
	for range 3 {
		for _, v := range [][2]lagoonhead.VMID{
			{"a1", "hubA"}, {"a2", "hubA"}, {"b1", "hubB"}, {"hubA", "hubB"}, {"hubB", "hubA"}, {"hubA", "a1"}, {"hubA", "a2"}, {"hubB", "b1"},
		} {
			report(v[0], v[1])
		}
	}
	for id, b := range boards {
		require.Equal(t, 3*17_000, b.Demand(now, model).Backlog, id)
	}
	before := boards["b1"].Demand(now, model).SentToPrefill
	v := pick(t, boards["a1"], long("q"))
	boards["a1"].BeginPrefill(v)
	for _, v := range [][2]lagoonhead.VMID{{"a1", "hubA"}, {"hubA", "hubB"}, {"hubB", "b1"}} {
		report(v[0], v[1])
	}
	require.EqualValues(t, 17_000, boards["b1"].Demand(now, model).SentToPrefill-before, "growth is passed on")
}

// Guards against a demand that includes what a peer sent before its first report, or that
// counts its restart as work.
func TestDemandCountsWhatWasSentSince(t *testing.T) {
	b := newBoard(fleet(1, 1))
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "p0", PrefillTotal: 1000}})
	require.Zero(t, b.Demand(now, model).SentToPrefill)
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "p0", PrefillTotal: 1500}})
	require.Equal(t, int64(500), b.Demand(now, model).SentToPrefill)
	b.SetPeerWork(now, "vm", true, []Work{{Endpoint: "p0", PrefillTotal: 100}})
	require.Equal(t, int64(500), b.Demand(now, model).SentToPrefill)
	v := pick(t, b, short())
	b.BeginPrefill(v)
	require.Equal(t, int64(380), b.Demand(now, model).SentToRun)
}

// Guards against refusals because of a rate estimate that rests on one prefill which waited
// for a queue of other daemons.
func TestOneSlowReadingIsNoSlowEngine(t *testing.T) {
	b := newBoard(fleet(1, 0))
	b.rates = nil
	v := pick(t, b, long("a"))
	b.BeginPrefill(v)
	b.EndPrefill(now, v, long("a"), 6*time.Second)
	require.Less(t, pick(t, b, long("b")).Wait, 1200*time.Millisecond)
	for range 60 {
		b.BeginPrefill(v)
		b.EndPrefill(now, v, long("a"), handOverCost+17_000*time.Millisecond/48)
	}
	require.InDelta(t, 48, b.rate(b.services[model][0]), 5, "many samples converge to the rate")
}

// Guards against work that goes round and grows while VMs have different views of which of them are
// hubs: each of three VMs takes the next one for its hub, and none takes itself for one.
func TestReportsDoNotGoRound(t *testing.T) {
	list := fleet(1, 1)
	boards := make([]*Board, 3)
	for i := range boards {
		boards[i] = newBoard(list)
	}
	name := func(i int) lagoonhead.VMID { return lagoonhead.VMID(fmt.Sprint("vm", i)) }
	boards[0].AddRunning(list[1], 5)
	for round := range 20 {
		at := now + time.Duration(round)*250*time.Millisecond
		for i, b := range boards {
			next := (i + 1) % len(boards)
			boards[next].SetPeerWork(at, name(i), false, b.Report(at, Recipient{VM: name(next), Hub: true, OwnOnly: true}))
		}
	}
	for i, b := range boards {
		require.LessOrEqual(t, b.running(now+5*time.Second, b.findTarget(list[1])), 5, "VM %d", i)
	}
}
