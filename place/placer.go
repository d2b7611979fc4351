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
	// tickInterval is how often requests that wait are tried again without an event;
	// back-offs end by time alone.
	tickInterval = 50 * time.Millisecond
	// defaultMaxWaiting bounds the queue of one model when MaxWaiting is 0.
	defaultMaxWaiting = 10000
	// explained is how many recent placements Explain knows.
	explained = 1024
)

// Placer chooses endpoints and counts what runs on them. The exported fields are
// set before Run; the methods are safe for concurrent use.
type Placer struct {
	// Source gives the endpoints.
	Source lagoonhead.DirectorySource
	Timer  timer.Timer
	// Policy is the name of the routing policy for engines; empty means predicted.
	Policy string
	// Seed makes the random choices of this daemon differ from those of others.
	Seed uint64
	// ReportLag is how old the state in a load report is when it arrives; 0 means
	// route.ReportLag.
	ReportLag time.Duration
	// PrefillRate is the speed, in prompt tokens per second, of an engine whose speed
	// the directory does not know; 0 means route.DefaultPrefillRate. Too low a rate makes
	// requests wait without need.
	PrefillRate float64
	// Order is the order of the requests that wait; the zero value is the fair one.
	Order fair.Policy
	// MaxWaiting bounds the queue of one model; 0 means 10,000.
	MaxWaiting int
	// Suspects tells which requests have crashed an endpoint; it may be nil. Placer
	// only asks it, since the caller of Place knows whether an attempt was made.
	Suspects lagoonhead.SuspectWatch

	mu       sync.Mutex
	revision int64
	groups   map[groupKey]*group
	recent   *ring.Last[placed]
	metrics  metrics
}

// metrics counts what the placer did.
type metrics struct {
	placed, waited, timeouts, unavailable, refused, crashed, doubleDone, oldReports expvar.Int
}

var _ lagoonhead.Placer = (*Placer)(nil)

// Vars returns the metrics.
func (p *Placer) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("placed", &p.metrics.placed)
	m.Set("waited", &p.metrics.waited)
	m.Set("timeouts", &p.metrics.timeouts)
	m.Set("unavailable", &p.metrics.unavailable)
	m.Set("queueFull", &p.metrics.refused)
	m.Set("crashed", &p.metrics.crashed)
	m.Set("doubleDone", &p.metrics.doubleDone)
	m.Set("oldReports", &p.metrics.oldReports)
	return m
}

// Run tries waiting requests again as back-offs end and follows the directory. It
// returns nil when ctx ends, or an error when the settings are wrong.
func (p *Placer) Run(ctx context.Context) error {
	if _, err := p.newPolicy(lagoonhead.KindEngine); err != nil {
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
	p.follow(now)
	for _, g := range p.groups {
		g.overdue(now)
		p.serve(now, g)
	}
}

// follow takes a newer revision of the directory and returns it, or nil before the
// first one.
func (p *Placer) follow(now time.Duration) lagoonhead.Directory {
	d := p.Source.Directory()
	if d == nil {
		return nil
	}
	if p.groups == nil {
		p.groups = make(map[groupKey]*group)
		p.recent = ring.NewLast[placed](explained)
	}
	if d.Revision() == p.revision {
		return d
	}
	p.revision = d.Revision()
	for _, m := range d.Models() {
		p.group(d, groupKey{lagoonhead.KindEngine, m})
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
		// Run refuses a wrong name; a Place before Run gets the default policy.
		policy, _ = route.New(route.Predicted, p.Seed)
	}
	g := &group{
		key: k, table: route.NewTable(p.reportLag(), p.prefillRate()), policy: policy, queue: NewQueue(p.Order, p.maxWaiting()),
		waiting: make(map[*lagoonhead.Request]*waiter), running: make(map[*placement]struct{}),
	}
	if k.kind == lagoonhead.KindEngine {
		g.prefix = prefix.New(blocksPerEngine, blocksPerModel)
	}
	g.update(d)
	p.groups[k] = g
	return g
}

func (p *Placer) newPolicy(k lagoonhead.EndpointKind) (lagoonhead.RoutePolicy, error) {
	name := p.Policy
	switch {
	case k == lagoonhead.KindService:
		name = route.LeastOutstanding
	case name == "":
		name = route.Predicted
	}
	return route.New(name, p.Seed)
}

func (p *Placer) reportLag() time.Duration {
	if p.ReportLag == 0 {
		return route.ReportLag
	}
	return p.ReportLag
}

// Place chooses an endpoint that is not in avoid and waits for room until ctx
// ends. The kinds of its errors are NotFound (no endpoint is known), Unavailable
// (none can serve the request), Timeout (no room until ctx ended), Exhausted (too
// many requests wait), Conflict (the same request waits already) and Forbidden
// (the request has crashed two endpoints).
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
	g, err := p.enter(w)
	if err != nil {
		return nil, err
	}
	select {
	case v := <-w.ready:
		return v.answer()
	default:
	}
	p.metrics.waited.Add(1)
	select {
	case v := <-w.ready:
		return v.answer()
	case <-ctx.Done():
		return p.giveUp(ctx, g, w)
	}
}

func (v result) answer() (lagoonhead.Placement, error) {
	if v.err != nil {
		return nil, v.err
	}
	return v.placement, nil
}

// enter puts the request into the queue of its model or service.
func (p *Placer) enter(w *waiter) (*group, error) {
	now := p.Timer.Now()
	r := w.request.Request
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.follow(now)
	if d == nil {
		p.metrics.unavailable.Add(1)
		return nil, fault(lagoonhead.KindUnavailable, errors.New("no configuration yet"))
	}
	g := p.group(d, groupKey{lagoonhead.KindEngine, r.Serves()})
	if g == nil {
		g = p.group(d, groupKey{lagoonhead.KindService, r.Serves()})
	}
	if g == nil {
		return nil, fault(lagoonhead.KindNotFound, errors.Newf("no endpoint serves %q", r.Serves()))
	}
	if g.waiting[r] != nil {
		return nil, fault(lagoonhead.KindConflict, errors.Newf("request %q waits already", r.ID()))
	}
	w.request.CostCeiling = d.Rule(r.Workspace(), r.Serves()).CostCeiling
	if !g.queue.Push(r, weight(d, r.Workspace())) {
		p.metrics.refused.Add(1)
		return nil, fault(lagoonhead.KindExhausted, errors.Newf("%d requests wait for %q", g.queue.Len(), r.Serves()))
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

// weight returns the share of a workspace in the fair order: its rate.
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

// giveUp ends a wait whose ctx has ended. A placement made in the meantime stands.
func (p *Placer) giveUp(ctx context.Context, g *group, w *waiter) (lagoonhead.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case v := <-w.ready:
		return v.answer()
	default:
	}
	g.queue.Remove(w.request.Request)
	delete(g.waiting, w.request.Request)
	p.metrics.timeouts.Add(1)
	return nil, fault(lagoonhead.KindTimeout, errors.Wrap(ctx.Err(), "no endpoint had room"))
}

// serve places requests of the group, in the order of its queue, until none fits.
func (p *Placer) serve(now time.Duration, g *group) {
	for g.queue.Len() > 0 {
		r := g.queue.Take(now, func(r *lagoonhead.Request) bool { return p.try(now, g, g.waiting[r]) })
		if r == nil {
			return
		}
		delete(g.waiting, r)
	}
}

// try places the request or fails it for good. It returns false when the request
// must wait.
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

// dispatch counts the request on its endpoint.
func (p *Placer) dispatch(now time.Duration, g *group, w *waiter, c lagoonhead.Choice) *placement {
	p.metrics.placed.Add(1)
	p.recent.Add(newPlaced(now, g, w, c))
	m := &placement{
		placer: p, group: g, base: c.Base,
		endpoint: g.table.States()[c.Engine].Endpoint,
		ticket:   g.table.Dispatch(now, &w.request, c),
	}
	g.running[m] = struct{}{}
	if g.prefix != nil {
		g.prefix.Learn(c.Engine, w.request.Request.Blocks())
	}
	return m
}
