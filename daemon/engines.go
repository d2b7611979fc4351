package daemon

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/place"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// pollInterval is the time between two looks at an engine.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one look.
	pollTimeout = 2 * time.Second
	// pollersPerEngine is the number of daemons that poll each engine. All daemons
	// polling all engines would be a million probes a second at the size that the
	// system is designed for.
	pollersPerEngine = 2
	// pollWorkers bounds the looks at the same time.
	pollWorkers = 8
)

// enginePoller reads load reports and cache events of the engines that fall to
// this daemon.
type enginePoller struct {
	querier lagoonhead.EngineQuerier
	source  lagoonhead.DirectorySource
	placer  *place.Placer
	timer   timer.Timer
	self    lagoonhead.VMID
	vms     func() []lagoonhead.VM
	// all is true while this daemon holds the duty of engine orders, which needs a
	// report of every engine. It may be nil.
	all func() bool

	mu    sync.Mutex
	after map[lagoonhead.EndpointID]int64
	fresh map[lagoonhead.EndpointID]seenReport
	vars  expvar.Map
}

// seenReport is the newest report of an engine and when it was asked for.
type seenReport struct {
	report lagoonhead.LoadReport
	asked  time.Duration
}

// Run polls until ctx ends.
func (p *enginePoller) Run(ctx context.Context) error {
	timer.Every(ctx, p.timer, pollInterval, func(time.Duration) { p.step(ctx) })
	return nil
}

func (p *enginePoller) step(ctx context.Context) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	for _, e := range p.mine() {
		slots <- struct{}{}
		wait.Go(func() {
			p.poll(ctx, e)
			<-slots
		})
	}
	wait.Wait()
}

// mine returns the engines that this daemon polls.
func (p *enginePoller) mine() []lagoonhead.Endpoint {
	vms := p.vms()
	all := p.all != nil && p.all()
	var list []lagoonhead.Endpoint
	for _, e := range engines(p.source) {
		if all || falls(vms, p.self, "poll/"+string(e.ID()), pollersPerEngine) {
			list = append(list, e)
		}
	}
	return list
}

// falls reports whether the VM is among the n candidates for a name. With an empty
// list every VM is.
func falls(vms []lagoonhead.VM, self lagoonhead.VMID, name string, n int) bool {
	return len(vms) == 0 || lease.IsCandidate(vms, self, name, n)
}

func (p *enginePoller) poll(ctx context.Context, e lagoonhead.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := p.timer.Now()
	r, err := p.querier.Load(ctx, e)
	if err != nil {
		p.vars.Add("failed", 1)
		return
	}
	p.vars.Add("loads", 1)
	r.Endpoint = e.ID()
	p.report(r, asked)
	p.events(ctx, e)
}

// report takes a report that was asked for at a time since boot.
func (p *enginePoller) report(r lagoonhead.LoadReport, asked time.Duration) {
	p.mu.Lock()
	if have := p.fresh[r.Endpoint]; have.asked <= asked {
		p.fresh[r.Endpoint] = seenReport{report: r, asked: asked}
	}
	p.mu.Unlock()
	p.placer.Report(r)
}

// last returns the newest report of an engine. ok is false when there was none.
func (p *enginePoller) last(id lagoonhead.EndpointID) (s seenReport, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok = p.fresh[id]
	return s, ok
}

// reports returns the reports that are new enough to pass on, ordered by engine, and
// forgets the others: this daemon polls those engines no longer, or they do not
// answer.
func (p *enginePoller) reports() []lagoonhead.LoadReport {
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]lagoonhead.LoadReport, 0, len(p.fresh))
	for id, s := range p.fresh {
		if now-s.asked > reportAge {
			delete(p.fresh, id)
			continue
		}
		list = append(list, s.report)
	}
	slices.SortFunc(list, func(a, b lagoonhead.LoadReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (p *enginePoller) events(ctx context.Context, e lagoonhead.Endpoint) {
	p.mu.Lock()
	after := p.after[e.ID()]
	p.mu.Unlock()
	events, err := p.querier.CacheEvents(ctx, e, after)
	if err != nil {
		p.vars.Add("failed", 1)
		return
	}
	if len(events) == 0 {
		return
	}
	p.mu.Lock()
	p.after[e.ID()] = events[len(events)-1].Number
	p.mu.Unlock()
	p.placer.CacheEvents(e.ID(), events)
}
