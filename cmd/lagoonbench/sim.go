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
	// tick is the step of virtual time.
	tick           = 10 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	// pollInterval is how often daemons look for late first tokens, callers that gave
	// up and requests that can be dispatched.
	pollInterval = 50 * time.Millisecond
	// connectFailTime is how long a connection to an engine that is down takes to fail.
	connectFailTime = time.Second
	// maxWaiting bounds the queue of a daemon, in requests.
	maxWaiting = 10000
	// patienceFactor is the time for which a caller waits for its first token, as a
	// multiple of the deadline.
	patienceFactor = 4
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
)

// scenario describes the load, the fleet and the policies of a run.
type scenario struct {
	// length is the time in which calls arrive. Those that arrive in the first warmUp
	// do not count in the metrics.
	length  time.Duration
	warmUp  time.Duration
	classes []class
	daemons int
	engines []lagoonhead.Endpoint
	// reportLag is the delay of load reports, eventLag that of cache events, and
	// eventLoss the share of lost cache events.
	reportLag, eventLag time.Duration
	eventLoss           float64
	// policy is the name of the routing policy.
	policy     string
	queueOrder fair.Policy
	// split lets the policy move requests to another engine after their prefill.
	split bool
	// hideHealth hides the health of engines from the policy.
	hideHealth bool
	// changeRoles lets the planner change the roles of engines.
	changeRoles bool
	// prepare, if not nil, schedules faults of engines or the orders for them.
	prepare func(s *sim)
}

// sim is the simulation of one scenario with one seed.
type sim struct {
	scenario
	random  *rand.Rand
	now     time.Duration
	engines []*engine
	daemons []*daemon
	calls   []*call
	events  eventQueue
	// scheduled is the number of events so far. It keeps those of equal times in order.
	scheduled int64
	// demand is what arrived since the planner last ran.
	demand demand
	// supply is nil unless a variant orders engines.
	supply      *supply
	roleChanges int
	// failedAttempts counts attempts whose engine was down or crashed.
	failedAttempts int
}

// daemon holds the decision code and the requests of one daemon.
type daemon struct {
	sim     *sim
	table   *route.Table
	index   *prefix.Index
	policy  lagoonhead.RoutePolicy
	queue   *place.Queue
	waiting map[*lagoonhead.Request]*call
	running map[*call]*job
	// dispatched holds the jobs in the order of their dispatch. Those that have ended
	// or got their first token are removed every pollInterval.
	dispatched []*job
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
		if c.hideHealth {
			p = &healthHider{RoutePolicy: p}
		}
		d := &daemon{sim: s, table: route.NewTable(c.reportLag, prefillRate), index: prefix.New(128, 8192), policy: p,
			waiting: make(map[*lagoonhead.Request]*call), running: make(map[*call]*job)}
		d.queue = place.NewQueue(c.queueOrder, maxWaiting)
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

// newPolicy returns the routing policy of one daemon. It panics if the scenario's
// policy is unknown, which is a bug of this command.
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

// run simulates the scenario and 20 s more, in which open calls may end, and returns
// the calls that arrived after the warm-up.
func (s *sim) run() []*call {
	next := 0
	for i := range s.engines {
		s.after(time.Duration(i)*reportInterval/time.Duration(len(s.engines)), func() { s.sendReport(s.engines[i]) })
	}
	s.after(pollInterval, s.pollDaemons)
	end := s.length + 20*time.Second
	for ; s.now < end; s.now += tick {
		for len(s.events) > 0 && s.events[0].at <= s.now {
			heap.Pop(&s.events).(event).run()
		}
		for next < len(s.calls) && s.calls[next].request.Arrived() <= s.now {
			c := s.calls[next]
			s.demand.addArrived(c)
			s.daemons[c.daemon].enqueue(c)
			next++
		}
		for _, e := range s.engines {
			prefilled, finished := e.step(tick.Seconds())
			for _, j := range prefilled {
				s.prefilled(e, j)
			}
			for _, j := range finished {
				s.finish(j, lagoonhead.Outcome{OutputTokens: j.call.output})
			}
		}
	}
	var counted []*call
	for _, c := range s.calls {
		if c.request.Arrived() >= s.warmUp {
			counted = append(counted, c)
		}
	}
	return counted
}

// sendReport sends the load and the cache events of an engine to all daemons, now and
// every reportInterval.
func (s *sim) sendReport(e *engine) {
	s.after(reportInterval, func() { s.sendReport(e) })
	vs := e.cache.takeEvents()
	if e.down || e.reportsStopped {
		return
	}
	r := e.report()
	for _, d := range s.daemons {
		s.after(s.reportLag, func() { d.applyReport(r) })
		kept := make([]lagoonhead.CacheEvent, 0, len(vs))
		for _, v := range vs {
			if s.random.Float64() >= s.eventLoss {
				kept = append(kept, v)
			}
		}
		s.after(s.eventLag, func() { d.applyCacheEvents(e.endpoint.ID(), kept) })
	}
}

// pollDaemons has each daemon check its requests, every pollInterval.
func (s *sim) pollDaemons() {
	s.after(pollInterval, s.pollDaemons)
	for _, d := range s.daemons {
		d.reportOverdue()
		d.dropAbandoned()
		d.dispatchWaiting()
	}
}

// prefilled records the first token of the answer and passes the sequence to the
// engine that decodes it, after a KV cache transfer if that is another one.
func (s *sim) prefilled(e *engine, j *job) {
	if j.call.firstToken == 0 {
		j.call.firstToken = s.now
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

// finish ends an attempt. After a failed one the call is retried on another engine, up
// to maxAttempts attempts.
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
	s.failedAttempts++
	j.call.avoid = append(j.call.avoid, s.engines[j.choice.Engine].endpoint.ID())
	if len(j.call.avoid) >= maxAttempts {
		j.call.failed = true
		return
	}
	d.enqueue(j.call)
}

// crash stops an engine's process, which is up again after the given time.
func (s *sim) crash(e *engine, downtime time.Duration) {
	s.kill(e)
	s.after(downtime, func() { e.down = false })
}

// kill stops an engine's process and fails all attempts on it.
func (s *sim) kill(e *engine) {
	for _, j := range e.crash() {
		s.finish(j, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindCrashed})
	}
}

// enqueue adds a call to the queue, or fails it if the queue is full.
func (d *daemon) enqueue(c *call) {
	if !d.queue.Push(c.request, 1) {
		c.failed = true
		return
	}
	d.waiting[c.request] = c
	d.dispatchWaiting()
}

// dispatchWaiting dispatches the waiting requests for which the policy finds an
// engine, in the order of the queue.
func (d *daemon) dispatchWaiting() {
	for d.queue.Len() > 0 {
		r := d.queue.Pop(d.sim.now, func(r *lagoonhead.Request) bool { return d.dispatch(d.waiting[r]) })
		if r == nil {
			return
		}
		delete(d.waiting, r)
	}
}

// dispatch sends the call to the engine that the policy picks and reports whether it
// picked one.
func (d *daemon) dispatch(c *call) bool {
	s := d.sim
	rr := lagoonhead.RouteRequest{Request: c.request, Avoid: c.avoid, Prefix: d.index}
	choice := d.policy.Pick(s.now, &rr, d.table.States())
	if choice.Engine < 0 {
		return false
	}
	j := &job{call: c, daemon: d, choice: choice}
	s.demand.addDispatched(c, choice)
	j.ticket = d.table.Dispatch(s.now, &rr, choice)
	d.index.AddPrompt(choice.Engine, c.request.Blocks())
	d.running[c] = j
	d.dispatched = append(d.dispatched, j)
	e := s.engines[choice.Engine]
	if e.down {
		s.after(connectFailTime, func() {
			s.finish(j, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindUnavailable})
		})
		return true
	}
	e.enqueue(j)
	return true
}

// done records the end of an attempt and dispatches to the freed slot.
func (d *daemon) done(j *job, o lagoonhead.Outcome) {
	d.table.Done(d.sim.now, &j.ticket, o)
	d.dispatchWaiting()
}

func (d *daemon) applyReport(r lagoonhead.LoadReport) {
	if d.table.Report(d.sim.now, r) {
		d.dispatchWaiting()
	}
}

func (d *daemon) applyCacheEvents(id lagoonhead.EndpointID, vs []lagoonhead.CacheEvent) {
	i, _ := d.table.Index(id)
	for _, v := range vs {
		d.index.ApplyEvent(i, v)
	}
}

// reportOverdue tells the table of dispatches without a first token after four times
// the time predicted for a healthy engine and a second more.
func (d *daemon) reportOverdue() {
	kept := d.dispatched[:0]
	for _, j := range d.dispatched {
		if j.ended || !j.ticket.Waiting() {
			continue
		}
		kept = append(kept, j)
		if d.sim.now-j.ticket.At() > 4*j.choice.BaseTTFT+time.Second {
			d.table.Overdue(d.sim.now, &j.ticket)
		}
	}
	d.dispatched = kept
}

// abandoned reports whether the caller has given up waiting for the first token.
func (c *call) abandoned(now time.Duration) bool {
	return c.firstToken == 0 && c.class.deadline > 0 && now > c.request.Arrived()+patienceFactor*c.class.deadline
}

// dropAbandoned ends the calls whose callers have given up and removes them from the
// queue and from the engines.
func (d *daemon) dropAbandoned() {
	now := d.sim.now
	for r, c := range d.waiting {
		if c.abandoned(now) {
			c.failed = true
			d.queue.Remove(r)
			delete(d.waiting, r)
		}
	}
	for _, j := range d.dispatched {
		if !j.ended && j.call.abandoned(now) {
			j.ended, j.call.failed = true, true
			d.sim.engines[j.choice.Engine].remove(j)
			delete(d.running, j.call)
			d.table.Done(now, &j.ticket, lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindTimeout})
		}
	}
}

// after schedules f to run t from now.
func (s *sim) after(t time.Duration, f func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + t, number: s.scheduled, run: f})
}

// event is a function to run at a time; number keeps events of equal times in order.
type event struct {
	at     time.Duration
	number int64
	run    func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].number < t[j].number
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(event)) }
func (t *eventQueue) Pop() any {
	o := *t
	e := o[len(o)-1]
	*t = o[:len(o)-1]
	return e
}

// engineName returns the identifier of the i-th engine.
func engineName(i int) lagoonhead.EndpointID {
	return lagoonhead.EndpointID(fmt.Sprintf("e%02d", i))
}

// fleet returns n firm engines, spread evenly over the failure domains a, b, c and d.
func fleet(n int) []lagoonhead.Endpoint {
	es := make([]lagoonhead.Endpoint, 0, n)
	for i := range n {
		d := lagoonhead.FailureDomain(rune('a' + i%4))
		es = append(es, lagoonhead.NewEndpoint(engineName(i), lagoonhead.EndpointKindEngine, "m", "", d).WithSlots(slots))
	}
	return es
}
