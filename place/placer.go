package place

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/prefix"
	"github.com/lagoonhead/lagoonhead/ring"
	"github.com/lagoonhead/lagoonhead/route"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// tickInterval is how often waiting requests are tried again when no event causes it:
	// the end of a back-off is no event.
	tickInterval = 50 * time.Millisecond
	// defaultMaxWaiting bounds the queue of one model when MaxWaiting is 0.
	defaultMaxWaiting = 10000
	// maxExplained is how many recent placements are recorded for Explain.
	maxExplained = 1024
)

// Placer chooses endpoints and counts the requests that run on them. The exported
// fields must be set before Run. The methods are safe for concurrent use.
type Placer struct {
	// Source provides the directory of endpoints.
	Source lagoonhead.DirectorySource
	Timer  timer.Timer
	// Policy is the name of the routing policy for engines; empty means predicted.
	Policy string
	// Seed seeds the random choices. It should differ between daemons, so that they make
	// different choices.
	Seed uint64
	// ReportLag is how old the state in a load report is when it arrives; 0 means
	// route.DefaultReportLag.
	ReportLag time.Duration
	// PrefillRate is the prefill rate, in prompt tokens per second, assumed for engines
	// whose rate the directory does not have; 0 means route.DefaultPrefillRate. With too
	// low a rate requests wait although engines have capacity.
	PrefillRate float64
	// Order is the order of waiting requests; the zero value is fair queueing.
	Order fair.Policy
	// MaxWaiting bounds the queue of one model; 0 means 10,000.
	MaxWaiting int
	// Suspects reports which requests have crashed an endpoint; it may be nil. Placer
	// only queries it and leaves recording crashes to the caller of Place, which knows
	// whether an attempt was made.
	Suspects lagoonhead.SuspectTracker

	mu       sync.Mutex
	revision int64
	groups   map[groupKey]*group
	recent   *ring.Buffer[placed]
	metrics  metrics
}

// metrics are the counters that Vars returns.
type metrics struct {
	placed, waited, timeouts, unavailable, queueFull, crashed, doubleDone, oldReports expvar.Int
}

var _ lagoonhead.Placer = (*Placer)(nil)

// Vars returns the metrics.
func (p *Placer) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("placed", &p.metrics.placed)
	m.Set("waited", &p.metrics.waited)
	m.Set("timeouts", &p.metrics.timeouts)
	m.Set("unavailable", &p.metrics.unavailable)
	m.Set("queueFull", &p.metrics.queueFull)
	m.Set("crashed", &p.metrics.crashed)
	m.Set("doubleDone", &p.metrics.doubleDone)
	m.Set("oldReports", &p.metrics.oldReports)
	return m
}

// Run periodically retries waiting requests and applies new revisions of the directory.
// It returns nil when ctx ends, or an error when the name of the policy is unknown.
func (p *Placer) Run(ctx context.Context) error {
	if _, err := p.newPolicy(lagoonhead.EndpointKindEngine); err != nil {
		return err
	}
	ticks := p.Timer.Subscribe(tickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks.C():
			p.tick(now)
		}
	}
}

func (p *Placer) tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	for _, g := range p.groups {
		g.markOverdue(now)
		p.serve(now, g)
	}
}

// refresh applies the current directory if its revision is new and returns it. It
// returns nil while there is no directory yet.
func (p *Placer) refresh(now time.Duration) lagoonhead.Directory {
	d := p.Source.Directory()
	if d == nil {
		return nil
	}
	if p.groups == nil {
		p.groups = make(map[groupKey]*group)
		p.recent = ring.NewBuffer[placed](maxExplained)
	}
	if d.Revision() == p.revision {
		return d
	}
	p.revision = d.Revision()
	for _, m := range d.Models() {
		p.group(d, groupKey{lagoonhead.EndpointKindEngine, m})
	}
	for _, g := range p.groups {
		g.update(d)
		p.serve(now, g)
	}
	return d
}

// group returns the group with the key, or nil when the directory has no endpoint
// for it.
func (p *Placer) group(d lagoonhead.Directory, k groupKey) *group {
	if g := p.groups[k]; g != nil {
		if len(g.listed) == 0 {
			return nil
		}
		return g
	}
	if len(d.Endpoints(k.kind, k.serves)) == 0 {
		return nil
	}
	policy, err := p.newPolicy(k.kind)
	if err != nil {
		// Run fails on an unknown name; a Place before Run uses the default policy.
		policy, _ = route.New(route.Predicted, p.Seed)
	}
	g := &group{
		key: k, table: route.NewTable(p.reportLag(), p.prefillRate()), policy: policy, queue: NewQueue(p.Order, p.maxWaiting()),
		waiting: make(map[*lagoonhead.Request]*waiter), running: make(map[*placement]struct{}),
	}
	if k.kind == lagoonhead.EndpointKindEngine {
		g.prefix = prefix.New(blocksPerEngine, blocksPerModel)
	}
	g.update(d)
	p.groups[k] = g
	return g
}

func (p *Placer) newPolicy(k lagoonhead.EndpointKind) (lagoonhead.RoutePolicy, error) {
	name := p.Policy
	switch {
	case k == lagoonhead.EndpointKindService:
		name = route.LeastOutstanding
	case name == "":
		name = route.Predicted
	}
	return route.New(name, p.Seed)
}

func (p *Placer) reportLag() time.Duration {
	if p.ReportLag == 0 {
		return route.DefaultReportLag
	}
	return p.ReportLag
}

// Place chooses an endpoint that is not in avoid, and waits until ctx ends for one that
// can take the request. The kinds of its errors are NotFound (no endpoint is known),
// Unavailable (no endpoint can ever take the request), Timeout (no endpoint could take
// it before ctx ended), Exhausted (too many requests are waiting), Conflict (the same
// request is already waiting) and Forbidden (the request has crashed two endpoints).
func (p *Placer) Place(ctx context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	w := &waiter{ready: make(chan result, 1)}
	w.request = lagoonhead.RouteRequest{Request: r, Avoid: avoid}
	if p.Suspects != nil && r.Fingerprint() != 0 {
		suspect, err := p.Suspects.Check(r.Fingerprint())
		if err != nil {
			return nil, err
		}
		w.request.Suspect = suspect
	}
	g, err := p.enqueue(w)
	if err != nil {
		return nil, err
	}
	select {
	case v := <-w.ready:
		return v.unpack()
	default:
	}
	p.metrics.waited.Add(1)
	select {
	case v := <-w.ready:
		return v.unpack()
	case <-ctx.Done():
		return p.giveUp(ctx, g, w)
	}
}

// unpack returns the result as return values of Place.
func (v result) unpack() (lagoonhead.Placement, error) {
	if v.err != nil {
		return nil, v.err
	}
	return v.placement, nil
}

// enqueue adds the request to the queue of its model or service and places requests
// from that queue.
func (p *Placer) enqueue(w *waiter) (*group, error) {
	now := p.Timer.Now()
	r := w.request.Request
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.refresh(now)
	if d == nil {
		p.metrics.unavailable.Add(1)
		return nil, fault(lagoonhead.KindUnavailable, errors.New("no configuration yet"))
	}
	g := p.group(d, groupKey{lagoonhead.EndpointKindEngine, r.Target()})
	if g == nil {
		g = p.group(d, groupKey{lagoonhead.EndpointKindService, r.Target()})
	}
	if g == nil {
		return nil, fault(lagoonhead.KindNotFound, errors.Newf("no endpoint serves %q", r.Target()))
	}
	if g.waiting[r] != nil {
		return nil, fault(lagoonhead.KindConflict, errors.Newf("request %q is already waiting", r.ID()))
	}
	w.request.CostCeiling = d.Rule(r.Workspace(), r.Target()).CostCeiling
	if !g.queue.Push(r, weight(d, r.Workspace())) {
		p.metrics.queueFull.Add(1)
		return nil, fault(lagoonhead.KindExhausted, errors.Newf("queue is full: %d requests are waiting for %q", g.queue.Len(), r.Target()))
	}
	g.waiting[r] = w
	p.serve(now, g)
	return g, nil
}

func (p *Placer) prefillRate() float64 {
	if p.PrefillRate == 0 {
		return route.DefaultPrefillRate
	}
	return p.PrefillRate
}

// weight returns the weight of a workspace in fair queueing: the rate of its quota, or
// 1 without one.
func weight(d lagoonhead.Directory, w lagoonhead.WorkspaceID) float64 {
	if q, ok := d.Quota(w); ok && q.Rate > 0 {
		return q.Rate
	}
	return 1
}

func (p *Placer) maxWaiting() int {
	if p.MaxWaiting == 0 {
		return defaultMaxWaiting
	}
	return p.MaxWaiting
}

// giveUp removes a request whose ctx has ended from the queue. If the request has been
// placed in the meantime, it returns that placement.
func (p *Placer) giveUp(ctx context.Context, g *group, w *waiter) (lagoonhead.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case v := <-w.ready:
		return v.unpack()
	default:
	}
	g.queue.Remove(w.request.Request)
	delete(g.waiting, w.request.Request)
	p.metrics.timeouts.Add(1)
	return nil, fault(lagoonhead.KindTimeout, errors.Wrap(ctx.Err(), "no endpoint had room"))
}

// serve places requests of the group, in the order of its queue, until no endpoint can
// take another one.
func (p *Placer) serve(now time.Duration, g *group) {
	for g.queue.Len() > 0 {
		r := g.queue.Pop(now, func(r *lagoonhead.Request) bool { return p.try(now, g, g.waiting[r]) })
		if r == nil {
			return
		}
		delete(g.waiting, r)
	}
}

// try places the request, or fails it when no endpoint can ever take it. It returns
// false when the request must wait.
func (p *Placer) try(now time.Duration, g *group, w *waiter) bool {
	c := g.pick(now, w)
	if c.Engine < 0 && c.Usable {
		return false
	}
	if c.Engine < 0 {
		p.metrics.unavailable.Add(1)
		reason := g.policy.Reason(now, &w.request, g.table.States(), c)
		w.ready <- result{err: fault(lagoonhead.KindUnavailable, errors.Newf("%s", reason))}
		return true
	}
	w.ready <- result{placement: p.dispatch(now, g, w, c)}
	return true
}

// dispatch counts the request on the chosen endpoint and returns its placement.
func (p *Placer) dispatch(now time.Duration, g *group, w *waiter, c lagoonhead.Choice) *placement {
	p.metrics.placed.Add(1)
	p.recent.Add(newPlaced(now, g, w, c))
	m := &placement{
		placer: p, group: g, base: c.BaseTTFT,
		endpoint: g.table.States()[c.Engine].Endpoint,
		ticket:   g.table.Dispatch(now, &w.request, c),
	}
	g.running[m] = struct{}{}
	if g.prefix != nil {
		g.prefix.AddPrompt(c.Engine, w.request.Request.Blocks())
	}
	return m
}
