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
	// Evacuated returns the failure domains whose engines get no requests.
	Evacuated() map[lagoonhead.FailureDomain]bool
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
func (c *ServiceController) Vars() *expvar.Map { return &c.vars }

// Run plans and sends orders periodically until ctx ends.
func (c *ServiceController) Run(ctx context.Context) error {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.planners = make(map[string]*plan.ServicePlanner)
	timer.Every(ctx, c.Timer, planInterval, func(now time.Duration) { c.step(ctx, now) })
	return nil
}

func (c *ServiceController) step(ctx context.Context, now time.Duration) {
	c.sendDueRoles(ctx, now)
	list := c.View.Services()
	for i := range list {
		if list[i].Engine != nil {
			c.planService(ctx, now, &list[i])
		}
	}
}

// planService plans one service, orders the totals and announces the role changes.
func (c *ServiceController) planService(ctx context.Context, now time.Duration, service *catalog.Service) {
	s := c.planners[service.Name]
	if s == nil {
		s = new(plan.ServicePlanner)
		c.planners[service.Name] = s
	}
	demand := c.View.Demand(service.Name)
	engines := c.View.Engines(service.Name)
	if c.Authority() != nil || len(engines) == 0 {
		return
	}
	p := s.Plan(now, service, engines, c.View.Evacuated(), demand)
	for _, o := range p.Totals {
		o.Sequence = c.FencingNumber
		c.sendTotal(ctx, s, o, demand)
	}
	for _, o := range p.Roles {
		c.Announce(o.Engine.ID(), now+announceLead+drainTime+service.Engine.RoleChangeTime)
		c.announced = append(c.announced, announcedRole{order: o, due: now + announceLead, demand: demand, prefill: p.Prefill})
	}
}

// sendDueRoles sends the role orders that are due.
func (c *ServiceController) sendDueRoles(ctx context.Context, now time.Duration) {
	if c.Authority() != nil {
		return
	}
	c.announced = slices.DeleteFunc(c.announced, func(a announcedRole) bool {
		if now < a.due {
			return false
		}
		c.sendRole(ctx, a.order, a.demand, a.prefill)
		return true
	})
}

// sendTotal sends the order of a total and reports a failure to the planner of the
// service.
func (c *ServiceController) sendTotal(ctx context.Context, s *plan.ServicePlanner, o lagoonhead.TotalOrder, d plan.PeakDemand) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.Endpoints.SetTotal(ctx, o)
	c.vars.Add("totals", 1)
	c.Log.Info("endpoints ordered", zap.String("service", o.Serves), zap.String("failureDomain", string(o.FailureDomain)),
		zap.String("supply", string(o.Supply)), zap.Int("total", o.Total), zap.Float64("prefillDemand", d.Prefill),
		zap.Float64("decodeDemand", d.Decode), zap.Int64("fence", o.Sequence), zap.Error(err))
	if err != nil {
		c.vars.Add("failedTotals", 1)
		s.MarkFailed(c.Timer.Now(), o, lagoonhead.IsKind(err, lagoonhead.KindConflict) || lagoonhead.IsKind(err, lagoonhead.KindExhausted))
	}
}

// sendRole sends a role order. A later plan orders the role again if the engine has not
// taken it in time.
func (c *ServiceController) sendRole(ctx context.Context, o plan.RoleOrder, d plan.PeakDemand, prefill int) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := c.Commander.SendOrder(ctx, o.Engine, lagoonhead.EngineOrder{
		Endpoint: o.Engine.ID(), Incarnation: o.Engine.Incarnation(), Sequence: c.FencingNumber, Verb: lagoonhead.OrderRole, Value: string(o.Role),
	})
	c.vars.Add("roles", 1)
	c.Log.Info("role ordered", zap.String("endpoint", string(o.Engine.ID())), zap.String("role", string(o.Role)),
		zap.Int("prefillWanted", prefill), zap.Float64("prefillDemand", d.Prefill), zap.Float64("decodeDemand", d.Decode),
		zap.Int64("fence", c.FencingNumber), zap.Error(err))
	if err != nil {
		c.vars.Add("failedRoles", 1)
	}
}
