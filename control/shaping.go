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
	// fleetInterval is the time between two looks at the demand.
	fleetInterval = 500 * time.Millisecond
	// announceLead is how long before its order a change is announced: by then each daemon
	// has heard a heartbeat, and sends the engine nothing that it would refuse.
	announceLead = 400 * time.Millisecond
	// changeDrain is how long an engine takes to end what it runs before it changes.
	changeDrain = time.Second
	// fleetOrderTimeout bounds one order.
	fleetOrderTimeout = 2 * time.Second
)

// FleetView shows the services and the work on them.
type FleetView interface {
	// Services returns the services in force.
	Services() []catalog.Service
	// Engines returns the living endpoints of a service.
	Engines(service string) []lagoonhead.Endpoint
	// Demand returns the load on a service. It is measured also while this daemon does not
	// hold the duty, so that a new holder knows it.
	Demand(service string) plan.ShapeDemand
}

// Shaping orders the engines of all services and their roles, while this daemon holds the
// duty. Orders state what is wanted, so that a repeat changes nothing. The exported
// fields are set before Run.
type Shaping struct {
	View      FleetView
	Endpoints lagoonhead.EndpointOrderer
	Engines   lagoonhead.EngineCommander
	// Authority returns nil while this daemon may order.
	Authority func() error
	// Number is the fencing number of the tenure.
	Number int64
	Timer  timer.Timer
	// Announce tells the daemons that an engine takes no work until the given time.
	Announce func(id lagoonhead.EndpointID, until time.Duration)
	Log      *zap.Logger

	shapes    map[string]*plan.Shape
	announced []announcedRole
	vars      expvar.Map
}

// announcedRole is an order that waits until the daemons have heard of it.
type announcedRole struct {
	order   plan.RoleOrder
	due     time.Duration
	demand  plan.ShapeDemand
	prefill int
}

// Vars returns the counters of orders.
func (g *Shaping) Vars() *expvar.Map { return &g.vars }

// Run orders until ctx ends.
func (g *Shaping) Run(ctx context.Context) error {
	if g.Log == nil {
		g.Log = zap.NewNop()
	}
	g.shapes = make(map[string]*plan.Shape)
	timer.Every(ctx, g.Timer, fleetInterval, func(now time.Duration) { g.step(ctx, now) })
	return nil
}

func (g *Shaping) step(ctx context.Context, now time.Duration) {
	g.sendRoles(ctx, now)
	list := g.View.Services()
	for i := range list {
		if list[i].Engine != nil {
			g.serve(ctx, now, &list[i])
		}
	}
}

func (g *Shaping) serve(ctx context.Context, now time.Duration, service *catalog.Service) {
	s := g.shapes[service.Name]
	if s == nil {
		s = new(plan.Shape)
		g.shapes[service.Name] = s
	}
	demand := g.View.Demand(service.Name)
	engines := g.View.Engines(service.Name)
	if g.Authority() != nil || len(engines) == 0 {
		return
	}
	p := s.Plan(now, service, engines, demand)
	for _, o := range p.Totals {
		o.Sequence = g.Number
		g.total(ctx, s, o, demand)
	}
	for _, o := range p.Roles {
		g.Announce(o.Engine.ID(), now+announceLead+changeDrain+service.Engine.SwitchTime)
		g.announced = append(g.announced, announcedRole{order: o, due: now + announceLead, demand: demand, prefill: p.Prefill})
	}
}

// sendRoles sends the orders whose announcement has reached the daemons.
func (g *Shaping) sendRoles(ctx context.Context, now time.Duration) {
	if g.Authority() != nil {
		return
	}
	g.announced = slices.DeleteFunc(g.announced, func(a announcedRole) bool {
		if now < a.due {
			return false
		}
		g.role(ctx, a.order, a.demand, a.prefill)
		return true
	})
}

func (g *Shaping) total(ctx context.Context, s *plan.Shape, o lagoonhead.TotalOrder, d plan.ShapeDemand) {
	ctx, cancel := context.WithTimeout(ctx, fleetOrderTimeout)
	defer cancel()
	err := g.Endpoints.SetTotal(ctx, o)
	g.vars.Add("totals", 1)
	g.Log.Info("endpoints ordered", zap.String("service", o.Serves), zap.String("failureDomain", string(o.FailureDomain)),
		zap.String("supply", string(o.Supply)), zap.Int("total", o.Total), zap.Float64("prefillDemand", d.Prefill),
		zap.Float64("decodeDemand", d.Decode), zap.Int64("fence", o.Sequence), zap.Error(err))
	if err != nil {
		g.vars.Add("failedTotals", 1)
		s.Failed(g.Timer.Now(), o, lagoonhead.IsKind(err, lagoonhead.KindConflict) || lagoonhead.IsKind(err, lagoonhead.KindExhausted))
	}
}

func (g *Shaping) role(ctx context.Context, o plan.RoleOrder, d plan.ShapeDemand, prefill int) {
	ctx, cancel := context.WithTimeout(ctx, fleetOrderTimeout)
	defer cancel()
	err := g.Engines.SendOrder(ctx, o.Engine, lagoonhead.EngineOrder{
		Endpoint: o.Engine.ID(), Incarnation: o.Engine.Incarnation(), Sequence: g.Number, Verb: lagoonhead.OrderRole, Value: string(o.Role),
	})
	g.vars.Add("roles", 1)
	g.Log.Info("role ordered", zap.String("endpoint", string(o.Engine.ID())), zap.String("role", string(o.Role)),
		zap.Int("prefillWanted", prefill), zap.Float64("prefillDemand", d.Prefill), zap.Float64("decodeDemand", d.Decode),
		zap.Int64("fence", g.Number), zap.Error(err))
	if err != nil {
		g.vars.Add("failedRoles", 1)
	}
}
