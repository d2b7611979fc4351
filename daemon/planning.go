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
	// demandInterval is the time between two samples of the demand for a model.
	demandInterval = time.Second
	// roleChangeTime is how long an engine is expected to be out of service for a role
	// change, including the drain.
	roleChangeTime = 20 * time.Second
	// weightLoadTime is how long a new endpoint is expected to take to load its weights.
	weightLoadTime = 3 * time.Minute
	// maxLoading is the maximum number of endpoints that load weights at the same time,
	// since the read rate of the weight store is limited.
	maxLoading = 4
	// defaultPrefillRate is the prefill rate, in tokens per second, of engines for which
	// the inventory states none.
	defaultPrefillRate = 10_000
	// listTimeout bounds one request for the list of the platform's endpoints.
	listTimeout = 2 * time.Second
)

// maxDemandReportAge is the maximum age of a load report that counts towards the demand.
// Reports of engines that other daemons poll are received with heartbeats.
const maxDemandReportAge = 10 * time.Second

// demand estimates the demand for a model, as a number of busy engines, from the newest
// load reports of all daemons. Queued prompts that take one second to prefill count as one
// engine for prefill, and a full batch as one engine for decode.
func (b *builder) demand(d *inventory.Directory, model string) plan.Work {
	return demandOf(b.timer.Now(), d, model, b.placer.States())
}

func demandOf(now time.Duration, d *inventory.Directory, model string, states []lagoonhead.EngineState) plan.Work {
	var w plan.Work
	for _, s := range states {
		e := s.Endpoint
		if e.Serves() != model || s.Report.Number == 0 || now-s.ReportAt > maxDemandReportAge {
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
	models map[string]*plan.RolePlanner
	// nextPlan is the time since boot at which roles are planned next.
	nextPlan time.Duration
}

// Run samples the demand and commits the planned roles until ctx ends.
func (p *rolePlanner) Run(ctx context.Context) error {
	p.models = make(map[string]*plan.RolePlanner)
	timer.Every(ctx, p.b.timer, demandInterval, func(now time.Duration) { p.step(ctx, now) })
	return nil
}

func (p *rolePlanner) step(ctx context.Context, now time.Duration) {
	d := p.b.config.CompiledDirectory()
	if d == nil {
		return
	}
	settings := d.Planner()
	due := settings.OrderRoles && now >= p.nextPlan
	for _, m := range d.Models() {
		r := p.models[m]
		if r == nil {
			r = &plan.RolePlanner{OutageTime: roleChangeTime}
			p.models[m] = r
		}
		r.Observe(now, p.b.demand(d, m))
		if due {
			p.commit(ctx, r.Plan(now, planEngines(d, m)))
		}
	}
	if due {
		p.nextPlan = now + time.Duration(settings.Interval)
	}
}

// planEngines returns the engines of a model as the input of the role planner.
func planEngines(d *inventory.Directory, model string) []plan.Engine {
	var list []plan.Engine
	for _, e := range d.Endpoints(lagoonhead.EndpointKindEngine, model) {
		changing := d.Changing(e.ID())
		list = append(list, plan.Engine{
			ID: e.ID(), FailureDomain: e.FailureDomain(), Role: e.Role(), Changing: changing,
			// An engine without fencing accepts only one order in its lifetime, which is
			// reserved for operators. For an engine that is leaving a change does not pay
			// off.
			Fixed: !e.Fenced() || (e.Leaving() && !changing),
		})
	}
	return list
}

// commit commits the wanted roles of engines and records them in the decision log.
func (p *rolePlanner) commit(ctx context.Context, changes []plan.RoleChange) {
	for _, c := range changes {
		err := p.b.editor().Edit(ctx, "engine "+string(c.Engine)+" to role "+string(c.To), func(inv *inventory.Inventory) error {
			return inv.SetDesiredRole(c.Engine, c.To)
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

// supplyPlanner plans how many endpoints to order while this daemon holds the duty of
// endpoint orders, and updates the inventory from the endpoints that the platform runs.
type supplyPlanner struct {
	b      *builder
	lister lagoonhead.EndpointLister

	mu     sync.Mutex
	models map[string]*plan.SupplyPlanner
}

var _ control.Planner = (*supplyPlanner)(nil)

// Totals returns the wanted totals within the bounds of the inventory. It returns none
// when the platform's list of endpoints cannot be read.
func (p *supplyPlanner) Totals() []control.PlannedTotal {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	d := p.b.config.CompiledDirectory()
	if d == nil || !d.Planner().OrderEndpoints {
		return nil
	}
	list, err := p.lister.Endpoints(ctx)
	if err != nil {
		return nil
	}
	p.sync(ctx, list)
	now := p.b.timer.Now()
	share := p.b.heartbeats.deferrableShare()
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
			low := minTotal(d.Planner().Bounds, m, pools[i])
			out = append(out, control.PlannedTotal{Reason: t.Reason, Order: lagoonhead.TotalOrder{
				FailureDomain: t.FailureDomain, Serves: m, Supply: t.Supply, Total: max(t.Total, low),
			}})
		}
	}
	return out
}

func (p *supplyPlanner) supplies(model string) *plan.SupplyPlanner {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.models[model]
	if s == nil {
		s = &plan.SupplyPlanner{BootTime: weightLoadTime, MaxLoading: maxLoading}
		p.models[model] = s
	}
	return s
}

// MarkExhausted records that a failure domain has fewer endpoints available than ordered.
func (p *supplyPlanner) MarkExhausted(o lagoonhead.TotalOrder) {
	p.supplies(o.Serves).MarkExhausted(p.b.timer.Now(), o.FailureDomain, o.Supply)
}

// sync updates the inventory from the platform's list of endpoints.
func (p *supplyPlanner) sync(ctx context.Context, list []lagoonhead.PlatformEndpoint) {
	inv, _ := p.b.config.Inventory()
	if _, changes := control.Sync(inv, list); len(changes) == 0 {
		return
	}
	var applied []string
	err := p.b.editor().Edit(ctx, "update the inventory from the platform's endpoints", func(inv *inventory.Inventory) error {
		next, changes := control.Sync(inv, list)
		if next != nil {
			*inv = *next
		}
		applied = changes
		return nil
	})
	if err == nil {
		p.b.decisions.RecordDecision(lagoonhead.Decision{
			At: p.b.timer.Now(), Topic: "ordering", Subject: "inventory", Result: "updated from the platform's endpoints",
			Reason: strings.Join(applied, "; "),
		})
	}
}

// poolsOf returns the pools for which the inventory sets bounds for a model, with their
// numbers of ready and starting endpoints. A pool is a kind of supply in a failure domain.
func poolsOf(d *inventory.Directory, model string, list []lagoonhead.PlatformEndpoint) []plan.Pool {
	var pools []plan.Pool
	for _, bound := range d.Planner().Bounds {
		if bound.Serves != model {
			continue
		}
		q := plan.Pool{
			FailureDomain: bound.FailureDomain, Supply: bound.Supply, Max: bound.Max,
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

// priceOf returns the price of the first endpoint of a model with the given supply, or 0
// when there is none.
func priceOf(d *inventory.Directory, model string, s lagoonhead.Supply) float64 {
	for _, e := range d.Endpoints(lagoonhead.EndpointKindEngine, model) {
		if e.Supply() == s {
			return e.Price()
		}
	}
	return 0
}

// minTotal returns the minimum total that the bounds set for a pool, or 0.
func minTotal(bounds []inventory.Bound, model string, q plan.Pool) int {
	for _, b := range bounds {
		if b.Serves == model && b.FailureDomain == q.FailureDomain && b.Supply == q.Supply {
			return b.Min
		}
	}
	return 0
}

// endpointOrders returns the task of the duty that plans and orders numbers of endpoints.
func (b *builder) endpointOrders(t *lease.Tenure) task {
	c := &ordering.Client{Platform: jsoncall.Client{BaseURL: b.settings.Platform.Ordering}, Authority: t.Check}
	g := &control.TotalsController{
		Planner: &supplyPlanner{b: b, lister: c, models: make(map[string]*plan.SupplyPlanner)},
		Ledger:  b.ledger(t), Orderer: c, Timer: b.timer, Decisions: b.decisions,
	}
	b.vars.Set("endpointOrders", g.Vars())
	return g.Run
}
