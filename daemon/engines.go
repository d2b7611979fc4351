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
	// pollInterval is the time between two polls of an engine.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one poll of an engine.
	pollTimeout = 2 * time.Second
	// pollersPerEngine is the number of daemons that poll each engine. If every daemon
	// polled every engine, a fleet of the maximum size would make a million polls a
	// second.
	pollersPerEngine = 2
	// pollWorkers is the maximum number of concurrent polls.
	pollWorkers = 8
)

// enginePoller polls load reports and cache events of the engines that are assigned to
// this daemon.
type enginePoller struct {
	querier lagoonhead.EngineQuerier
	source  lagoonhead.DirectorySource
	placer  *place.Placer
	timer   timer.Timer
	self    lagoonhead.VMID
	vms     func() []lagoonhead.VM
	// pollAll returns true while this daemon holds the duty of engine orders, which
	// needs a report of every engine. Nil means never.
	pollAll func() bool

	mu sync.Mutex
	// after holds the number of the last cache event read from each engine.
	after map[lagoonhead.EndpointID]int64
	// latest holds the newest report of each engine.
	latest map[lagoonhead.EndpointID]polledReport
	vars   expvar.Map
}

// polledReport is the newest report of an engine and when it was requested.
type polledReport struct {
	report      lagoonhead.LoadReport
	requestedAt time.Duration
}

// Run polls the engines until ctx ends.
func (p *enginePoller) Run(ctx context.Context) error {
	timer.Every(ctx, p.timer, pollInterval, func(time.Duration) { p.step(ctx) })
	return nil
}

func (p *enginePoller) step(ctx context.Context) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	for _, e := range p.polled() {
		slots <- struct{}{}
		wait.Go(func() {
			p.poll(ctx, e)
			<-slots
		})
	}
	wait.Wait()
}

// polled returns the engines that this daemon polls.
func (p *enginePoller) polled() []lagoonhead.Endpoint {
	vms := p.vms()
	all := p.pollAll != nil && p.pollAll()
	var list []lagoonhead.Endpoint
	for _, e := range engines(p.source) {
		if all || isCandidate(vms, p.self, "poll/"+string(e.ID()), pollersPerEngine) {
			list = append(list, e)
		}
	}
	return list
}

// isCandidate reports whether the VM is among the n candidates for a name. When the list
// of VMs is empty, every VM is.
func isCandidate(vms []lagoonhead.VM, self lagoonhead.VMID, name string, n int) bool {
	return len(vms) == 0 || lease.IsCandidate(vms, self, name, n)
}

func (p *enginePoller) poll(ctx context.Context, e lagoonhead.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := p.timer.Now()
	r, err := p.querier.Load(ctx, e)
	if err != nil {
		p.vars.Add("failed", 1)
		return
	}
	p.vars.Add("loads", 1)
	r.Endpoint = e.ID()
	p.report(r, requestedAt)
	p.events(ctx, e)
}

// report stores a report, which was requested at the given time since boot, and passes it
// to the placer.
func (p *enginePoller) report(r lagoonhead.LoadReport, requestedAt time.Duration) {
	p.mu.Lock()
	if have := p.latest[r.Endpoint]; have.requestedAt <= requestedAt {
		p.latest[r.Endpoint] = polledReport{report: r, requestedAt: requestedAt}
	}
	p.mu.Unlock()
	p.placer.Report(r)
}

// newest returns the newest report of an engine. ok is false when there is none.
func (p *enginePoller) newest(id lagoonhead.EndpointID) (s polledReport, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok = p.latest[id]
	return s, ok
}

// reports returns the reports that are recent enough to send to peers, ordered by engine,
// and deletes the others: this daemon no longer polls those engines, or they do not
// respond.
func (p *enginePoller) reports() []lagoonhead.LoadReport {
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]lagoonhead.LoadReport, 0, len(p.latest))
	for id, s := range p.latest {
		if now-s.requestedAt > maxReportAge {
			delete(p.latest, id)
			continue
		}
		list = append(list, s.report)
	}
	slices.SortFunc(list, func(a, b lagoonhead.LoadReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// events reads the new cache events of an engine and passes them to the placer.
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
