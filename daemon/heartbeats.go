package daemon

import (
	"maps"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/place"
	"github.com/lagoonhead/lagoonhead/suspect"
)

// maxLoadsPerHeartbeat bounds the loads in one heartbeat; the rest go with the next
// ones. 16 loads of about 45 bytes to 5 peers 4 times a second are what today's
// fleet needs.
const maxLoadsPerHeartbeat = 16

// countAge is how long the counts of a VM that answers no more are kept. In the
// largest fleet a daemon asks each of the others about every 20 s.
const countAge = 2 * time.Minute

// heartbeats builds this daemon's heartbeat and takes those of the peers.
type heartbeats struct {
	config   *config.Runner
	admit    *admit.Runner
	placer   *place.Placer
	suspects *suspect.Table
	poller   *enginePoller
	source   lagoonhead.DirectorySource
	ready    func() bool
	inFlight func(lagoonhead.EndpointID) int
	classes  *classCounter

	mu     sync.Mutex
	counts map[lagoonhead.VMID]peerCounts
	// leavingIDs are the engines that are leaving in the directory leavingOf.
	leavingOf  lagoonhead.Directory
	leavingIDs []lagoonhead.EndpointID
	next       int
}

// peerCounts is what a peer has said of the endpoints that are leaving.
type peerCounts struct {
	asked    time.Duration
	inFlight map[lagoonhead.EndpointID]int
	classes  classCounts
}

var _ peer.HeartbeatSource = (*heartbeats)(nil)

// Local returns this daemon's heartbeat. The revision is written before the counts
// of requests in flight, so that the counts are at least as new as the revision.
func (b *heartbeats) Local() *peer.Heartbeat {
	h := &peer.Heartbeat{
		Ready: b.ready(), SlotsRevision: b.admit.SlotsRevision(), Suspects: b.suspects.Notices(), Loads: b.loads(),
	}
	own := b.classes.counts()
	h.EngineRequests = int32(own.all)
	h.DeferrableRequests = int32(own.deferrable)
	b.config.Fill(h)
	h.LeavingInFlight = b.leaving()
	for _, s := range b.admit.HeldSlots() {
		h.Slots = append(h.Slots, int32(s))
	}
	return h
}

// Told takes a heartbeat that came as a request. Its ages are not trusted, because
// it may have been delayed for any time.
func (b *heartbeats) Told(h *peer.Heartbeat) {
	b.admit.HeardSlotsRevision(h.GetSlotsRevision())
	b.config.Told(h)
	b.news(h)
}

// Answered takes a heartbeat that answers one sent at since.
func (b *heartbeats) Answered(h *peer.Heartbeat, since time.Duration) {
	// The slot table must be known before the heartbeat can make this daemon fresh.
	b.admit.HeardSlotsRevision(h.GetSlotsRevision())
	b.count(h, since)
	b.config.Answered(h, since)
	b.news(h)
}

// news takes what does not depend on ages.
func (b *heartbeats) news(h *peer.Heartbeat) {
	b.suspects.Merge(h.GetSuspects())
	for _, l := range h.GetLoads() {
		b.placer.Report(lagoonhead.LoadReport{
			Endpoint: lagoonhead.EndpointID(l.GetEndpoint()), Incarnation: lagoonhead.Incarnation(l.GetIncarnation()),
			Number: l.GetNumber(), Running: int(l.GetRunning()), QueuedPrefillTokens: int(l.GetQueuedPrefillTokens()),
			Role: lagoonhead.Role(l.GetRole()), FreeCacheBlocks: int(l.GetFreeCacheBlocks()),
		})
	}
}

// loads returns the next reports of engines that this daemon polls.
func (b *heartbeats) loads() []*peer.LoadDelta {
	reports := b.poller.reports()
	if len(reports) == 0 {
		return nil
	}
	b.mu.Lock()
	first := b.next % len(reports)
	b.next = first + maxLoadsPerHeartbeat
	b.mu.Unlock()
	var list []*peer.LoadDelta
	for i := range min(len(reports), maxLoadsPerHeartbeat) {
		r := reports[(first+i)%len(reports)]
		list = append(list, &peer.LoadDelta{
			Endpoint: string(r.Endpoint), Incarnation: string(r.Incarnation), Number: r.Number,
			Running: int32(r.Running), QueuedPrefillTokens: int32(r.QueuedPrefillTokens),
			Role: string(r.Role), FreeCacheBlocks: int32(r.FreeCacheBlocks),
		})
	}
	return list
}

// leaving returns the requests in flight on endpoints that are leaving.
func (b *heartbeats) leaving() []*peer.EndpointCount {
	var list []*peer.EndpointCount
	for _, id := range b.leavingEngines() {
		if n := b.inFlight(id); n > 0 {
			list = append(list, &peer.EndpointCount{Endpoint: string(id), InFlight: int32(n)})
		}
	}
	return list
}

// leavingEngines returns the engines that are leaving. It looks through them once for
// each configuration: with 2,500 engines that takes 0.3 ms.
func (b *heartbeats) leavingEngines() []lagoonhead.EndpointID {
	d := b.source.Directory()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d == b.leavingOf {
		return b.leavingIDs
	}
	b.leavingOf = d
	b.leavingIDs = nil
	for _, e := range engines(b.source) {
		if e.Leaving() {
			b.leavingIDs = append(b.leavingIDs, e.ID())
		}
	}
	return b.leavingIDs
}

func (b *heartbeats) count(h *peer.Heartbeat, asked time.Duration) {
	c := peerCounts{
		asked: asked, inFlight: make(map[lagoonhead.EndpointID]int),
		classes: classCounts{all: int(h.GetEngineRequests()), deferrable: int(h.GetDeferrableRequests())},
	}
	for _, e := range h.GetLeavingInFlight() {
		c.inFlight[lagoonhead.EndpointID(e.GetEndpoint())] = int(e.GetInFlight())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		b.counts = make(map[lagoonhead.VMID]peerCounts)
	}
	maps.DeleteFunc(b.counts, func(_ lagoonhead.VMID, c peerCounts) bool { return c.asked < asked-countAge })
	vm := lagoonhead.VMID(h.GetVm())
	if b.counts[vm].asked <= asked {
		b.counts[vm] = c
	}
}

// total returns the requests in flight on an endpoint over this daemon and the
// listed VMs. known is false while a VM has not answered since the given time.
func (b *heartbeats) total(id lagoonhead.EndpointID, vms []lagoonhead.VM, self lagoonhead.VMID, since time.Duration) (n int, known bool) {
	n = b.inFlight(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range vms {
		if v.ID() == self {
			continue
		}
		c, ok := b.counts[v.ID()]
		if !ok || c.asked < since {
			return n, false
		}
		n += c.inFlight[id]
	}
	return n, true
}

// deferrableShare returns the share of the engine requests of all daemons that may
// wait, or 0 when there are none.
func (b *heartbeats) deferrableShare() float64 {
	sum := b.classes.counts()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.counts {
		sum.all += c.classes.all
		sum.deferrable += c.classes.deferrable
	}
	if sum.all == 0 {
		return 0
	}
	return float64(sum.deferrable) / float64(sum.all)
}

// engines returns all engines of the configuration in force.
func engines(s lagoonhead.DirectorySource) []lagoonhead.Endpoint {
	d := s.Directory()
	if d == nil {
		return nil
	}
	var list []lagoonhead.Endpoint
	for _, m := range d.Models() {
		list = append(list, d.Endpoints(lagoonhead.KindEngine, m)...)
	}
	return list
}
