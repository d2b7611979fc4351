package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/place"
	"github.com/lagoonhead/lagoonhead/prefix"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	step           = 10 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	serveInterval  = 50 * time.Millisecond
	// refusedAfter is how long a connection to a dead engine takes to fail.
	refusedAfter = time.Second
	// maxWaiting bounds the queue of a daemon.
	maxWaiting = 10000
	// patience is how many times its deadline a caller waits.
	patience = 4
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
)

// scenario is what one run is made of.
type scenario struct {
	length  time.Duration
	warmUp  time.Duration
	classes []class
	daemons int
	engines []lagoonhead.Endpoint
	// lag is the delay of load reports, eventLag that of cache events, and eventLoss
	// the share of lost cache events.
	lag, eventLag time.Duration
	eventLoss     float64
	policy        string
	order         fair.Policy
	// split lets the policy hand requests over after their prefill.
	split bool
	// blind hides the health of engines from the policy.
	blind bool
	// changeRoles lets the planner change the roles of engines.
	changeRoles bool
	// prepare schedules what happens to the engines.
	prepare func(s *sim)
}

// sim is one run.
type sim struct {
	scenario
	random  *rand.Rand
	now     time.Duration
	engines []*engine
	daemons []*daemon
	calls   []*call
	events  timeline
	// scheduled counts the events, to keep those of equal times in order.
	scheduled int64
	// demand is what arrived since the planner looked.
	demand demand
	// supply is nil unless endpoints are ordered.
	supply *supply
	// changes counts role changes.
	changes int
	// crashed counts attempts that were lost with their engine.
	crashed int
}

// daemon is the decision code of one daemon.
type daemon struct {
	sim     *sim
	table   *route.Table
	index   *prefix.Index
	policy  lagoonhead.RoutePolicy
	queue   *place.Queue
	waiting map[*lagoonhead.Request]*call
	running map[*call]*job
	order   []*job
}

// newSim prepares a run with the given seed.
func newSim(c scenario, seed uint64) *sim {
	s := &sim{scenario: c, random: rand.New(rand.NewPCG(seed, 1))}
	s.calls = arrivals(rand.New(rand.NewPCG(seed, 2)), c.classes, c.length, c.daemons)
	for _, e := range c.engines {
		s.engines = append(s.engines, newEngine(e))
	}
	for i := range c.daemons {
		p := c.newPolicy(seed*1000 + uint64(i))
		if c.blind {
			p = &blind{RoutePolicy: p}
		}
		d := &daemon{sim: s, table: route.NewTable(c.lag, prefillRate), index: prefix.New(128, 8192), policy: p,
			waiting: make(map[*lagoonhead.Request]*call), running: make(map[*call]*job)}
		d.queue = place.NewQueue(c.order, maxWaiting)
		for _, e := range c.engines {
			d.table.Put(e)
		}
		s.daemons = append(s.daemons, d)
	}
	if c.changeRoles {
		s.startRoles()
	}
	if c.prepare != nil {
		c.prepare(s)
	}
	return s
}

// newPolicy returns the policy of one daemon. The names are constants of this
// command, so an error is a fault of it.
func (c *scenario) newPolicy(seed uint64) lagoonhead.RoutePolicy {
	build := route.New
	if c.split {
		build = route.NewSplit
	}
	p, err := build(c.policy, seed)
	if err != nil {
		panic(err)
	}
	return p
}

// run plays the scenario and returns the calls that arrived after the warm-up and
// long enough before the end to be judged.
func (s *sim) run() []*call {
	next := 0
	for i := range s.engines {
		s.after(time.Duration(i)*reportInterval/time.Duration(len(s.engines)), func() { s.sendReport(s.engines[i]) })
	}
	s.after(serveInterval, s.serveAll)
	end := s.length + 20*time.Second
	for ; s.now < end; s.now += step {
		for len(s.events) > 0 && s.events[0].at <= s.now {
			heap.Pop(&s.events).(event).run()
		}
		for next < len(s.calls) && s.calls[next].request.Arrived() <= s.now {
			c := s.calls[next]
			s.demand.arrived(c)
			s.daemons[c.daemon].arrive(c)
			next++
		}
		for _, e := range s.engines {
			prefilled, finished := e.step(step.Seconds())
			for _, j := range prefilled {
				s.prefilled(e, j)
			}
			for _, j := range finished {
				s.finish(j, lagoonhead.Outcome{OutputTokens: j.call.output})
			}
		}
	}
	var judged []*call
	for _, c := range s.calls {
		if c.request.Arrived() >= s.warmUp {
			judged = append(judged, c)
		}
	}
	return judged
}

// sendReport sends the load and the cache events of an engine to all daemons.
func (s *sim) sendReport(e *engine) {
	s.after(reportInterval, func() { s.sendReport(e) })
	vs := e.cache.take()
	if e.down || e.mute {
		return
	}
	r := e.report()
	for _, d := range s.daemons {
		s.after(s.lag, func() { d.report(r) })
		kept := make([]lagoonhead.CacheEvent, 0, len(vs))
		for _, v := range vs {
			if s.random.Float64() >= s.eventLoss {
				kept = append(kept, v)
			}
		}
		s.after(s.eventLag, func() { d.cacheEvents(e.endpoint.ID(), kept) })
	}
}

func (s *sim) serveAll() {
	s.after(serveInterval, s.serveAll)
	for _, d := range s.daemons {
		d.overdue()
		d.giveUp()
		d.serve()
	}
}

// prefilled hands the answer's first token to the caller and the sequence to the
// engine that decodes it.
func (s *sim) prefilled(e *engine, j *job) {
	if j.call.first == 0 {
		j.call.first = s.now
	}
	j.daemon.table.FirstToken(s.now, &j.ticket)
	if j.choice.Decode == j.choice.Engine {
		e.decode = append(e.decode, j)
		return
	}
	blocks := float64(j.call.request.PromptTokens()) / route.BlockTokens
	s.after(seconds(blocks/transferRate), func() {
		if to := s.engines[j.choice.Decode]; !to.down && !j.ended {
			to.decode = append(to.decode, j)
			return
		}
		s.finish(j, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindCrashed})
	})
}

// finish ends an attempt. A failed one is tried again on another engine.
func (s *sim) finish(j *job, o lagoonhead.Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	d := j.daemon
	delete(d.running, j.call)
	d.done(j, o)
	if !o.Failed {
		j.call.ended = s.now
		j.call.supply = s.engines[j.choice.Decode].endpoint.Supply()
		return
	}
	s.crashed++
	j.call.avoid = append(j.call.avoid, s.engines[j.choice.Engine].endpoint.ID())
	if len(j.call.avoid) >= maxAttempts {
		j.call.refused = true
		return
	}
	d.arrive(j.call)
}

// crash ends an engine's process; it is back after the given time.
func (s *sim) crash(e *engine, away time.Duration) {
	s.lose(e)
	s.after(away, func() { e.down = false })
}

// lose ends an engine's process and all attempts that it runs.
func (s *sim) lose(e *engine) {
	for _, j := range e.crash() {
		s.finish(j, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindCrashed})
	}
}

func (d *daemon) arrive(c *call) {
	if !d.queue.Push(c.request, 1) {
		c.refused = true
		return
	}
	d.waiting[c.request] = c
	d.serve()
}

// serve places the requests that find room, in the order of the queue.
func (d *daemon) serve() {
	for d.queue.Len() > 0 {
		r := d.queue.Take(d.sim.now, func(r *lagoonhead.Request) bool { return d.try(d.waiting[r]) })
		if r == nil {
			return
		}
		delete(d.waiting, r)
	}
}

func (d *daemon) try(c *call) bool {
	s := d.sim
	rr := lagoonhead.RouteRequest{Request: c.request, Avoid: c.avoid, Prefix: d.index}
	choice := d.policy.Pick(s.now, &rr, d.table.States())
	if choice.Engine < 0 {
		return false
	}
	j := &job{call: c, daemon: d, choice: choice}
	s.demand.dispatched(c, choice)
	j.ticket = d.table.Dispatch(s.now, &rr, choice)
	d.index.Learn(choice.Engine, c.request.Blocks())
	d.running[c] = j
	d.order = append(d.order, j)
	e := s.engines[choice.Engine]
	if e.down {
		s.after(refusedAfter, func() {
			s.finish(j, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindUnavailable})
		})
		return true
	}
	e.enqueue(j)
	return true
}

func (d *daemon) done(j *job, o lagoonhead.Outcome) {
	d.table.Done(d.sim.now, &j.ticket, o)
	d.serve()
}

func (d *daemon) report(r lagoonhead.LoadReport) {
	if d.table.Report(d.sim.now, r) {
		d.serve()
	}
}

func (d *daemon) cacheEvents(id lagoonhead.EndpointID, vs []lagoonhead.CacheEvent) {
	i, _ := d.table.Place(id)
	for _, v := range vs {
		d.index.Event(i, v)
	}
}

// overdue tells the table of first tokens that are long due.
func (d *daemon) overdue() {
	kept := d.order[:0]
	for _, j := range d.order {
		if j.ended || !j.ticket.Waiting() {
			continue
		}
		kept = append(kept, j)
		if d.sim.now-j.ticket.At() > 4*j.choice.Base+time.Second {
			d.table.Overdue(d.sim.now, &j.ticket)
		}
	}
	d.order = kept
}

// impatient reports whether the caller has gone without a first token.
func (c *call) impatient(now time.Duration) bool {
	return c.first == 0 && c.class.deadline > 0 && now > c.request.Arrived()+patience*c.class.deadline
}

// giveUp drops the calls whose callers have gone and cancels them at the engine.
func (d *daemon) giveUp() {
	now := d.sim.now
	for r, c := range d.waiting {
		if c.impatient(now) {
			c.refused = true
			d.queue.Remove(r)
			delete(d.waiting, r)
		}
	}
	for _, j := range d.order {
		if !j.ended && j.call.impatient(now) {
			j.ended, j.call.refused = true, true
			d.sim.engines[j.choice.Engine].remove(j)
			delete(d.running, j.call)
			d.table.Done(now, &j.ticket, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindTimeout})
		}
	}
}

// after runs f when the time has moved by t.
func (s *sim) after(t time.Duration, f func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + t, number: s.scheduled, run: f})
}

// event is something that happens at a time; number keeps equal times in order.
type event struct {
	at     time.Duration
	number int64
	run    func()
}

type timeline []event

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].number < t[j].number
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	o := *t
	e := o[len(o)-1]
	*t = o[:len(o)-1]
	return e
}

// engineName returns the identifier of the i-th engine.
func engineName(i int) lagoonhead.EndpointID {
	return lagoonhead.EndpointID(fmt.Sprintf("e%02d", i))
}

// fleet returns n firm engines over the failure domains a, b, c and d.
func fleet(n int) []lagoonhead.Endpoint {
	es := make([]lagoonhead.Endpoint, 0, n)
	for i := range n {
		d := lagoonhead.FailureDomain(rune('a' + i%4))
		es = append(es, lagoonhead.NewEndpoint(engineName(i), lagoonhead.KindEngine, "m", "", d).WithSlots(slots))
	}
	return es
}
