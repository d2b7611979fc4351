package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/control"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/ordering"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// demandInterval is the time between two samples of the demand.
	demandInterval = time.Second
	// roleChangeTime is how long a role change is expected to take an engine out,
	// drain included.
	roleChangeTime = 20 * time.Second
	// weightLoadTime is how long a new endpoint is expected to load its weights.
	weightLoadTime = 3 * time.Minute
	// mostLoading bounds the endpoints that load weights at the same time, since the
	// weight store is limited in rate.
	mostLoading = 4
	// defaultPrefillRate is used for engines whose rate the inventory does not state,
	// in tokens per second.
	defaultPrefillRate = 10_000
	// listTimeout bounds a read of the platform's endpoints.
	listTimeout = 2 * time.Second
)

// demandAge is the oldest load report that counts. Reports of engines that other
// daemons poll come with heartbeats.
const demandAge = 10 * time.Second

// demand estimates the work on a model, in engines, from the newest load reports of
// all daemons: an engine with a second of prompts in its queue is busy with prefill,
// one with a full batch is busy with decode.
func (b *builder) demand(d *inventory.Directory, model string) plan.Work {
	return demandOf(b.timer.Now(), d, model, b.placer.States())
}

func demandOf(now time.Duration, d *inventory.Directory, model string, states []lagoonhead.EngineState) plan.Work {
	var w plan.Work
	for _, s := range states {
		e := s.Endpoint
		if e.Serves() != model || s.Report.Number == 0 || now-s.ReportAt > demandAge {
			continue
		}
		rate, _ := d.TokenRates(e.ID())
		if rate <= 0 {
			rate = defaultPrefillRate
		}
		w.Prefill += float64(s.Report.QueuedPrefillTokens) / rate
		w.Decode += float64(s.Report.Running) / float64(max(1, e.Slots()))
	}
	return w
}

// rolePlanner plans role changes while this daemon holds the duty of engine orders.
type rolePlanner struct {
	b      *builder
	models map[string]*plan.Roles
	next   time.Duration
}

// Run samples the demand and commits planned roles until ctx ends.
func (p *rolePlanner) Run(ctx context.Context) error {
	p.models = make(map[string]*plan.Roles)
	timer.Every(ctx, p.b.timer, demandInterval, func(now time.Duration) { p.step(ctx, now) })
	return nil
}

func (p *rolePlanner) step(ctx context.Context, now time.Duration) {
	d := p.b.config.Compiled()
	if d == nil {
		return
	}
	settings := d.Planner()
	due := settings.OrderRoles && now >= p.next
	for _, m := range d.Models() {
		r := p.models[m]
		if r == nil {
			r = &plan.Roles{OutFor: roleChangeTime}
			p.models[m] = r
		}
		r.Observe(now, p.b.demand(d, m))
		if due {
			p.commit(ctx, r.Plan(now, planEngines(d, m)))
		}
	}
	if due {
		p.next = now + time.Duration(settings.Interval)
	}
}

func planEngines(d *inventory.Directory, model string) []plan.Engine {
	var list []plan.Engine
	for _, e := range d.Endpoints(lagoonhead.KindEngine, model) {
		changing := d.Changing(e.ID())
		list = append(list, plan.Engine{
			ID: e.ID(), FailureDomain: e.FailureDomain(), Role: e.Role(), Changing: changing,
			// An engine without fencing takes one order in its life; that one is left to
			// operators. One that leaves is not worth a change.
			Fixed: !e.Fenced() || (e.Leaving() && !changing),
		})
	}
	return list
}

func (p *rolePlanner) commit(ctx context.Context, changes []plan.RoleChange) {
	for _, c := range changes {
		err := p.b.editor().Edit(ctx, "engine "+string(c.Engine)+" to role "+string(c.To), func(inv *inventory.Inventory) error {
			return inv.SetWantedRole(c.Engine, c.To)
		})
		result := "role " + string(c.To) + " is wanted"
		if err != nil {
			result = "role change was not committed"
		}
		p.b.decisions.RecordDecision(lagoonhead.Decision{
			At: p.b.timer.Now(), Topic: "role", Subject: string(c.Engine), Result: result, Reason: c.Reason,
		})
	}
}

// supplyPlanner plans the totals of endpoints while this daemon holds the duty of
// endpoint orders, and keeps the inventory in line with what the platform runs.
type supplyPlanner struct {
	b      *builder
	lister lagoonhead.EndpointLister

	mu     sync.Mutex
	models map[string]*plan.Supplies
}

var _ control.Planner = (*supplyPlanner)(nil)

// Totals returns the wanted totals within the bounds of the inventory. It returns
// none while the platform does not tell what it runs.
func (p *supplyPlanner) Totals() []control.PlannedTotal {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	d := p.b.config.Compiled()
	if d == nil || !d.Planner().OrderEndpoints {
		return nil
	}
	list, err := p.lister.Endpoints(ctx)
	if err != nil {
		return nil
	}
	p.sync(ctx, list)
	now := p.b.timer.Now()
	share := p.b.beats.deferrableShare()
	var out []control.PlannedTotal
	for _, m := range d.Models() {
		w := p.b.demand(d, m)
		all := w.Prefill + w.Decode
		need := plan.Need{Urgent: all * (1 - share), Deferrable: all * share}
		pools := poolsOf(d, m, list)
		if len(pools) == 0 {
			continue
		}
		for i, t := range p.supplies(m).Plan(now, need, pools) {
			low := lowest(d.Planner().Bounds, m, pools[i])
			out = append(out, control.PlannedTotal{Reason: t.Reason, Order: lagoonhead.TotalOrder{
				FailureDomain: t.FailureDomain, Serves: m, Supply: t.Supply, Total: max(t.Total, low),
			}})
		}
	}
	return out
}

func (p *supplyPlanner) supplies(model string) *plan.Supplies {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.models[model]
	if s == nil {
		s = &plan.Supplies{LoadFor: weightLoadTime, MostLoading: mostLoading}
		p.models[model] = s
	}
	return s
}

// Exhausted tells that a failure domain has fewer than the total to give.
func (p *supplyPlanner) Exhausted(o lagoonhead.TotalOrder) {
	p.supplies(o.Serves).Exhausted(p.b.timer.Now(), o.FailureDomain, o.Supply)
}

func (p *supplyPlanner) sync(ctx context.Context, list []lagoonhead.PlatformEndpoint) {
	inv, _ := p.b.config.Inventory()
	if _, changes := control.Sync(inv, list); len(changes) == 0 {
		return
	}
	var done []string
	err := p.b.editor().Edit(ctx, "follow the platform", func(inv *inventory.Inventory) error {
		next, changes := control.Sync(inv, list)
		if next != nil {
			*inv = *next
		}
		done = changes
		return nil
	})
	if err == nil {
		p.b.decisions.RecordDecision(lagoonhead.Decision{
			At: p.b.timer.Now(), Topic: "ordering", Subject: "inventory", Result: "followed the platform",
			Reason: strings.Join(done, "; "),
		})
	}
}

// poolsOf returns the pools that the bounds allow for a model, with what runs there.
func poolsOf(d *inventory.Directory, model string, list []lagoonhead.PlatformEndpoint) []plan.Pool {
	var pools []plan.Pool
	for _, bound := range d.Planner().Bounds {
		if bound.Serves != model {
			continue
		}
		q := plan.Pool{
			FailureDomain: bound.FailureDomain, Supply: bound.Supply, Most: bound.Max,
			Price: priceOf(d, model, bound.Supply),
		}
		for _, e := range list {
			if e.Serves != model || e.FailureDomain != bound.FailureDomain || e.Supply != bound.Supply || e.Leaving {
				continue
			}
			if e.Ready {
				q.Ready++
			} else {
				q.Starting++
			}
		}
		pools = append(pools, q)
	}
	return pools
}

func priceOf(d *inventory.Directory, model string, s lagoonhead.Supply) float64 {
	for _, e := range d.Endpoints(lagoonhead.KindEngine, model) {
		if e.Supply() == s {
			return e.Price()
		}
	}
	return 0
}

func lowest(bounds []inventory.Bound, model string, q plan.Pool) int {
	for _, b := range bounds {
		if b.Serves == model && b.FailureDomain == q.FailureDomain && b.Supply == q.Supply {
			return b.Min
		}
	}
	return 0
}

// endpointOrders returns the work of the duty of endpoint orders.
func (b *builder) endpointOrders(t *lease.Tenure) part {
	c := &ordering.Client{Platform: jsoncall.Client{BaseURL: b.settings.Platform.Ordering}, Authority: t.Check}
	g := &control.Ordering{
		Planner: &supplyPlanner{b: b, lister: c, models: make(map[string]*plan.Supplies)},
		Ledger:  b.ledger(t), Orderer: c, Timer: b.timer, Decisions: b.decisions,
	}
	b.vars.Set("endpointOrders", g.Vars())
	return g.Run
}
