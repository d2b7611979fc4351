package control

import (
	"context"
	"expvar"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// planInterval is the time between two plans.
	planInterval = 500 * time.Millisecond
	// announceLead is the time from the announcement of a role change to its order. Within
	// it each daemon gets a heartbeat with the announcement, so none sends the engine
	// requests that it would refuse.
	announceLead = 400 * time.Millisecond
	// drainTime is how long an engine takes to finish its running requests before it
	// changes its role.
	drainTime = time.Second
	// orderTimeout bounds the call that sends one order.
	orderTimeout = 2 * time.Second
)

// ServiceView provides the services, their engines and the load on them.
type ServiceView interface {
	// Services returns the services of the configuration in force.
	Services() []catalog.Service
	// Engines returns the registered engines of a service.
	Engines(service string) []lagoonhead.Endpoint
	// Demand returns the load on a service. It is also measured while this daemon does not
	// hold the duty, so that a new holder knows the load at once.
	Demand(service string) plan.PeakDemand
}

// ServiceController orders the numbers and the roles of the engines of all services while
// this daemon holds the duty. Orders state a total or a role, so they are idempotent. Set
// the exported fields before Run.
type ServiceController struct {
	View ServiceView
	// Endpoints sends orders of totals to the platform.
	Endpoints lagoonhead.EndpointOrderer
	// Commander sends orders of roles to engines.
	Commander lagoonhead.EngineCommander
	// Authority returns nil while this daemon holds the duty.
	Authority func() error
	// FencingNumber is the fencing number of this tenure of the duty.
	FencingNumber int64
	Timer         timer.Timer
	// Announce announces to all daemons that an engine gets no requests until the given
	// time.
	Announce func(id lagoonhead.EndpointID, until time.Duration)
	Log      *zap.Logger

	planners  map[string]*plan.ServicePlanner
	announced []announcedRole
	vars      expvar.Map
}

// announcedRole is a role order that is sent at the time due, when the announcement has
// reached all daemons.
type announcedRole struct {
	order plan.RoleOrder
	due   time.Duration
	// demand and prefill are the load and the planned number of prefill engines, for the
	// log.
	demand  plan.PeakDemand
	prefill int
}

// Vars returns the counters of orders: totals, failedTotals, roles and failedRoles.
func (g *ServiceController) Vars() *expvar.Map { return &g.vars }

// Run plans and sends orders periodically until ctx ends.
func (g *ServiceController) Run(ctx context.Context) error {
	if g.Log == nil {
		g.Log = zap.NewNop()
	}
	g.planners = make(map[string]*plan.ServicePlanner)
	timer.Every(ctx, g.Timer, planInterval, func(now time.Duration) { g.step(ctx, now) })
	return nil
}

func (g *ServiceController) step(ctx context.Context, now time.Duration) {
	g.sendDueRoles(ctx, now)
	list := g.View.Services()
	for i := range list {
		if list[i].Engine != nil {
			g.planService(ctx, now, &list[i])
		}
	}
}

// planService plans one service, orders the totals and announces the role changes.
func (g *ServiceController) planService(ctx context.Context, now time.Duration, service *catalog.Service) {
	s := g.planners[service.Name]
	if s == nil {
		s = new(plan.ServicePlanner)
		g.planners[service.Name] = s
	}
	demand := g.View.Demand(service.Name)
	engines := g.View.Engines(service.Name)
	if g.Authority() != nil || len(engines) == 0 {
		return
	}
	p := s.Plan(now, service, engines, demand)
	for _, o := range p.Totals {
		o.Sequence = g.FencingNumber
		g.sendTotal(ctx, s, o, demand)
	}
	for _, o := range p.Roles {
		g.Announce(o.Engine.ID(), now+announceLead+drainTime+service.Engine.RoleChangeTime)
		g.announced = append(g.announced, announcedRole{order: o, due: now + announceLead, demand: demand, prefill: p.Prefill})
	}
}

// sendDueRoles sends the role orders that are due.
func (g *ServiceController) sendDueRoles(ctx context.Context, now time.Duration) {
	if g.Authority() != nil {
		return
	}
	g.announced = slices.DeleteFunc(g.announced, func(a announcedRole) bool {
		if now < a.due {
			return false
		}
		g.sendRole(ctx, a.order, a.demand, a.prefill)
		return true
	})
}

// sendTotal sends the order of a total and reports a failure to the planner of the
// service.
func (g *ServiceController) sendTotal(ctx context.Context, s *plan.ServicePlanner, o lagoonhead.TotalOrder, d plan.PeakDemand) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.Endpoints.SetTotal(ctx, o)
	g.vars.Add("totals", 1)
	g.Log.Info("endpoints ordered", zap.String("service", o.Serves), zap.String("failureDomain", string(o.FailureDomain)),
		zap.String("supply", string(o.Supply)), zap.Int("total", o.Total), zap.Float64("prefillDemand", d.Prefill),
		zap.Float64("decodeDemand", d.Decode), zap.Int64("fence", o.Sequence), zap.Error(err))
	if err != nil {
		g.vars.Add("failedTotals", 1)
		s.MarkFailed(g.Timer.Now(), o, lagoonhead.IsKind(err, lagoonhead.KindConflict) || lagoonhead.IsKind(err, lagoonhead.KindExhausted))
	}
}

// sendRole sends a role order. A later plan orders the role again if the engine has not
// taken it in time.
func (g *ServiceController) sendRole(ctx context.Context, o plan.RoleOrder, d plan.PeakDemand, prefill int) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.Commander.SendOrder(ctx, o.Engine, lagoonhead.EngineOrder{
		Endpoint: o.Engine.ID(), Incarnation: o.Engine.Incarnation(), Sequence: g.FencingNumber, Verb: lagoonhead.OrderRole, Value: string(o.Role),
	})
	g.vars.Add("roles", 1)
	g.Log.Info("role ordered", zap.String("endpoint", string(o.Engine.ID())), zap.String("role", string(o.Role)),
		zap.Int("prefillWanted", prefill), zap.Float64("prefillDemand", d.Prefill), zap.Float64("decodeDemand", d.Decode),
		zap.Int64("fence", g.FencingNumber), zap.Error(err))
	if err != nil {
		g.vars.Add("failedRoles", 1)
	}
}
