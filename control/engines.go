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

// Fleet is what the duty needs to know of configuration and peers.
type Fleet interface {
	// Views returns the engines of this duty; Spent is filled in by Engines.
	Views() []View
	// SetChanging commits the mark of one engine.
	SetChanging(ctx context.Context, id lagoonhead.EndpointID, on bool) error
}

// DefaultInterval is the time between two looks at the engines.
const DefaultInterval = time.Second

// Engines changes the engines of one shard. Set the exported fields before Run.
type Engines struct {
	Fleet  Fleet
	Ledger *order.Ledger
	// Engines sends orders. It checks the authority of Ledger right before it writes.
	Engines lagoonhead.EngineCommander
	Timer   timer.Timer
	// Decisions gets the reason of each step. Nil keeps none.
	Decisions lagoonhead.DecisionRecorder
	// Interval defaults to DefaultInterval.
	Interval time.Duration

	adopted bool
	last    map[lagoonhead.EndpointID]Step
	vars    expvar.Map
}

// Vars returns the counters marked, ordered, failed and unmarked.
func (g *Engines) Vars() *expvar.Map { return &g.vars }

// Run works until ctx ends or the authority is lost.
func (g *Engines) Run(ctx context.Context) error {
	if g.Interval == 0 {
		g.Interval = DefaultInterval
	}
	return runWithAuthority(ctx, g.Timer, g.Interval, g.Ledger, g.Step)
}

// Step looks at each engine once.
func (g *Engines) Step(ctx context.Context) {
	if !g.adopted {
		// Writing the open records under the new epoch makes writes of the former
		// holder conflict. The orders themselves are sent again below.
		if _, err := g.Ledger.Open(ctx, "engine/"); err != nil {
			g.vars.Add("failed", 1)
			return
		}
		g.adopted = true
	}
	for _, v := range g.Fleet.Views() {
		if err := g.one(ctx, v); err != nil {
			g.vars.Add("failed", 1)
		}
	}
}

func (g *Engines) one(ctx context.Context, v View) error {
	var err error
	if !v.Endpoint.Fenced() && v.Reported && v.Report.Role != v.Wanted {
		if v.Spent, err = g.spent(ctx, v); err != nil {
			return err
		}
	}
	s := Next(v)
	g.explain(v, s)
	switch s.Verb {
	case Mark:
		g.vars.Add("marked", 1)
		return g.Fleet.SetChanging(ctx, v.Endpoint.ID(), true)
	case Unmark:
		g.vars.Add("unmarked", 1)
		return g.Fleet.SetChanging(ctx, v.Endpoint.ID(), false)
	case Order:
		return g.order(ctx, v)
	}
	return nil
}

// spent reports whether the incarnation already has a different only order.
func (g *Engines) spent(ctx context.Context, v View) (bool, error) {
	content, err := g.content(v)
	if err != nil {
		return false, err
	}
	return g.Ledger.Differs(ctx, target(v), content)
}

func (g *Engines) content(v View) ([]byte, error) {
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

// target names the record of an engine. An engine without fencing has one record
// for each incarnation, which is written once.
func target(v View) string {
	t := "engine/" + string(v.Endpoint.ID())
	if v.Endpoint.Fenced() {
		return t
	}
	return t + "/" + string(v.Report.Incarnation)
}

func (g *Engines) order(ctx context.Context, v View) error {
	content, err := g.content(v)
	if err != nil {
		return err
	}
	g.vars.Add("ordered", 1)
	err = g.Ledger.Deliver(ctx, target(v), content, !v.Endpoint.Fenced(), func(ctx context.Context, r order.Record) error {
		return g.send(ctx, v.Endpoint, r)
	})
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) && v.Endpoint.Fenced() {
		return g.settleOpen(ctx, v)
	}
	return err
}

// settleOpen finishes an earlier order that is still open, or gives it up when the
// engine has another incarnation, which refuses it.
func (g *Engines) settleOpen(ctx context.Context, v View) error {
	open, err := g.Ledger.Open(ctx, target(v))
	if err != nil {
		return err
	}
	for _, r := range open {
		if r.Target() != target(v) {
			continue
		}
		var o lagoonhead.EngineOrder
		if err := json.Unmarshal(r.Content(), &o); err != nil {
			return fail("settle", lagoonhead.KindInternal, err)
		}
		if o.Incarnation != v.Report.Incarnation {
			if _, err := g.Ledger.Settle(ctx, r, order.Refused); err != nil {
				return err
			}
			continue
		}
		err := g.Ledger.Resend(ctx, r, func(ctx context.Context, r order.Record) error {
			return g.send(ctx, v.Endpoint, r)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (g *Engines) send(ctx context.Context, e lagoonhead.Endpoint, r order.Record) error {
	var o lagoonhead.EngineOrder
	if err := json.Unmarshal(r.Content(), &o); err != nil {
		return fail("send", lagoonhead.KindInternal, err)
	}
	o.Sequence = r.Sequence()
	return g.Engines.SendOrder(ctx, e, o)
}

// explain records a step when it differs from the last one of the engine.
func (g *Engines) explain(v View, s Step) {
	id := v.Endpoint.ID()
	if g.Decisions == nil || g.last[id] == s || (s.Verb == Rest && g.last[id].Verb == "") {
		return
	}
	if g.last == nil {
		g.last = make(map[lagoonhead.EndpointID]Step)
	}
	g.last[id] = s
	g.Decisions.RecordDecision(lagoonhead.Decision{
		At: g.Timer.Now(), Topic: "role", Subject: string(id), Result: string(s.Verb), Reason: s.Reason,
	})
}
