package control

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/order"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "control." + op, Kind: k, Err: err}}
}

// Fleet gives RoleController access to the configuration and to the state of the peers.
type Fleet interface {
	// Views returns the state of each engine of this duty's shard. OrderUsed is left false;
	// RoleController sets it.
	Views() []EngineView
	// SetChanging commits a configuration in which the engine is marked as changing, or
	// is not, according to on.
	SetChanging(ctx context.Context, id lagoonhead.EndpointID, on bool) error
}

// DefaultRoleInterval is the default time between two steps of RoleController.
const DefaultRoleInterval = time.Second

// RoleController changes the roles of the engines of one shard. Set the exported fields
// before Run.
type RoleController struct {
	Fleet  Fleet
	Ledger *order.Ledger
	// Commander sends orders to engines. It checks the authority of Ledger immediately
	// before it sends.
	Commander lagoonhead.EngineCommander
	Timer     timer.Timer
	// Decisions records each step with its reason. It may be nil.
	Decisions lagoonhead.DecisionRecorder
	// Interval is the time between two steps. 0 means DefaultRoleInterval.
	Interval time.Duration

	// adopted is true once the open orders of the former holder are rewritten.
	adopted bool
	// lastSteps are the last recorded steps by engine.
	lastSteps map[lagoonhead.EndpointID]Step
	vars      expvar.Map
}

// Vars returns the counters marked, ordered, failed and unmarked.
func (c *RoleController) Vars() *expvar.Map { return &c.vars }

// Run calls Step periodically until ctx ends or the authority is lost.
func (c *RoleController) Run(ctx context.Context) error {
	if c.Interval == 0 {
		c.Interval = DefaultRoleInterval
	}
	return runWithAuthority(ctx, c.Timer, c.Interval, c.Ledger, c.Step)
}

// Step takes the next step for each engine.
func (c *RoleController) Step(ctx context.Context) {
	if !c.adopted {
		// AdoptOpen rewrites the open records under the new epoch, so that writes of the
		// former holder conflict. The orders themselves are resent below.
		if _, err := c.Ledger.AdoptOpen(ctx, "engine/"); err != nil {
			c.vars.Add("failed", 1)
			return
		}
		c.adopted = true
	}
	for _, v := range c.Fleet.Views() {
		if err := c.stepEngine(ctx, v); err != nil {
			c.vars.Add("failed", 1)
		}
	}
}

// stepEngine takes the next step for one engine.
func (c *RoleController) stepEngine(ctx context.Context, v EngineView) error {
	var err error
	if !v.Endpoint.Fenced() && v.Reported && v.Report.Role != v.Wanted {
		if v.OrderUsed, err = c.orderUsed(ctx, v); err != nil {
			return err
		}
	}
	s := Next(v)
	c.recordStep(v, s)
	switch s.Verb {
	case Mark:
		c.vars.Add("marked", 1)
		return c.Fleet.SetChanging(ctx, v.Endpoint.ID(), true)
	case Unmark:
		c.vars.Add("unmarked", 1)
		return c.Fleet.SetChanging(ctx, v.Endpoint.ID(), false)
	case Order:
		return c.order(ctx, v)
	}
	return nil
}

// orderUsed reports whether the only order of this incarnation was used for another
// role.
func (c *RoleController) orderUsed(ctx context.Context, v EngineView) (bool, error) {
	content, err := c.encodeOrder(v)
	if err != nil {
		return false, err
	}
	return c.Ledger.HasDifferentOrder(ctx, recordTarget(v), content)
}

// encodeOrder returns the order for the wanted role as the ledger records it, without a
// sequence number.
func (c *RoleController) encodeOrder(v EngineView) ([]byte, error) {
	o := lagoonhead.EngineOrder{
		Endpoint: v.Endpoint.ID(), Incarnation: v.Report.Incarnation,
		Verb: lagoonhead.OrderRole, Value: string(v.Wanted),
	}
	b, err := json.Marshal(o)
	if err != nil {
		return nil, fail("order", lagoonhead.KindInternal, err)
	}
	return b, nil
}

// recordTarget returns the target under which the ledger records the orders of an
// engine. An engine without fencing has one write-once record for each incarnation.
func recordTarget(v EngineView) string {
	t := "engine/" + string(v.Endpoint.ID())
	if v.Endpoint.Fenced() {
		return t
	}
	return t + "/" + string(v.Report.Incarnation)
}

// order sends the order for the wanted role.
func (c *RoleController) order(ctx context.Context, v EngineView) error {
	content, err := c.encodeOrder(v)
	if err != nil {
		return err
	}
	c.vars.Add("ordered", 1)
	err = c.Ledger.Deliver(ctx, recordTarget(v), content, !v.Endpoint.Fenced(), func(ctx context.Context, r order.Record) error {
		return c.send(ctx, v.Endpoint, r)
	})
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) && v.Endpoint.Fenced() {
		return c.settleOpen(ctx, v)
	}
	return err
}

// settleOpen resends an earlier order that is still open. If the order is for another
// incarnation of the engine, which would refuse it now, settleOpen settles it as
// refused instead.
func (c *RoleController) settleOpen(ctx context.Context, v EngineView) error {
	open, err := c.Ledger.AdoptOpen(ctx, recordTarget(v))
	if err != nil {
		return err
	}
	for _, r := range open {
		if r.Target() != recordTarget(v) {
			continue
		}
		var o lagoonhead.EngineOrder
		if err := json.Unmarshal(r.Content(), &o); err != nil {
			return fail("settle", lagoonhead.KindInternal, err)
		}
		if o.Incarnation != v.Report.Incarnation {
			if _, err := c.Ledger.Settle(ctx, r, order.Refused); err != nil {
				return err
			}
			continue
		}
		err := c.Ledger.Resend(ctx, r, func(ctx context.Context, r order.Record) error {
			return c.send(ctx, v.Endpoint, r)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// send sends a recorded order with its sequence number.
func (c *RoleController) send(ctx context.Context, e lagoonhead.Endpoint, r order.Record) error {
	var o lagoonhead.EngineOrder
	if err := json.Unmarshal(r.Content(), &o); err != nil {
		return fail("send", lagoonhead.KindInternal, err)
	}
	o.Sequence = r.Sequence()
	return c.Commander.SendOrder(ctx, e, o)
}

// recordStep records a step as a decision if it differs from the engine's last one.
func (c *RoleController) recordStep(v EngineView, s Step) {
	id := v.Endpoint.ID()
	if c.Decisions == nil || c.lastSteps[id] == s || (s.Verb == None && c.lastSteps[id].Verb == "") {
		return
	}
	if c.lastSteps == nil {
		c.lastSteps = make(map[lagoonhead.EndpointID]Step)
	}
	c.lastSteps[id] = s
	c.Decisions.RecordDecision(lagoonhead.Decision{
		At: c.Timer.Now(), Topic: "role", Subject: string(id), Result: string(s.Verb), Reason: s.Reason,
	})
}
