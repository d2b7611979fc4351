package control

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/order"
	"github.com/lagoonhead/lagoonhead/timer"
)

// DefaultOrderingInterval is the time between two plans of endpoint orders.
const DefaultOrderingInterval = 10 * time.Second

// Planner decides the totals of endpoints that are wanted.
type Planner interface {
	// Totals returns the wanted totals, with the reason of each.
	Totals() []PlannedTotal
	// Exhausted tells that a failure domain has fewer than the total to give.
	Exhausted(o lagoonhead.TotalOrder)
}

// PlannedTotal is a wanted total and why.
type PlannedTotal struct {
	Order  lagoonhead.TotalOrder
	Reason string
}

// Ordering sends endpoint orders while this daemon holds the duty. Set the exported
// fields before Run.
type Ordering struct {
	Planner Planner
	Ledger  *order.Ledger
	// Orderer checks the authority of Ledger right before it writes.
	Orderer lagoonhead.EndpointOrderer
	Timer   timer.Timer
	// Decisions gets the reason of each order. Nil keeps none.
	Decisions lagoonhead.DecisionRecorder
	// Interval defaults to DefaultOrderingInterval.
	Interval time.Duration

	adopted bool
	sent    map[string]int
	vars    expvar.Map
}

// Vars returns the counters ordered, exhausted and failed.
func (g *Ordering) Vars() *expvar.Map { return &g.vars }

// Run works until ctx ends or the authority is lost.
func (g *Ordering) Run(ctx context.Context) error {
	if g.Interval == 0 {
		g.Interval = DefaultOrderingInterval
	}
	return runWithAuthority(ctx, g.Timer, g.Interval, g.Ledger, g.Step)
}

// runWithAuthority calls step on every tick while the authority holds.
func runWithAuthority(ctx context.Context, t timer.Timer, every time.Duration, l *order.Ledger, step func(context.Context)) error {
	ticks := t.Subscribe(every)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			err := l.Authority.Check()
			if lagoonhead.IsKind(err, lagoonhead.KindStale) {
				return fail("run", lagoonhead.KindStale, err)
			}
			if err == nil {
				step(ctx)
			}
		}
	}
}

// Step finishes open orders, then sends the totals that have changed.
func (g *Ordering) Step(ctx context.Context) {
	if g.sent == nil {
		g.sent = make(map[string]int)
	}
	if !g.adopted {
		if err := g.adopt(ctx); err != nil {
			g.vars.Add("failed", 1)
			return
		}
		g.adopted = true
	}
	for _, p := range g.Planner.Totals() {
		if err := g.one(ctx, p); err != nil {
			g.vars.Add("failed", 1)
		}
	}
}

// adopt takes over the open orders of the former holder and sends them again: the
// total in them may or may not be in force.
func (g *Ordering) adopt(ctx context.Context) error {
	open, err := g.Ledger.Open(ctx, "endpoints/")
	if err != nil {
		return err
	}
	for _, r := range open {
		if err := g.Ledger.Resend(ctx, r, g.send); err != nil && !refused(err) {
			return err
		}
	}
	return nil
}

func refused(err error) bool {
	return lagoonhead.IsKind(err, lagoonhead.KindExhausted) || lagoonhead.IsKind(err, lagoonhead.KindInvalid)
}

func (g *Ordering) one(ctx context.Context, p PlannedTotal) error {
	o := p.Order
	target := fmt.Sprintf("endpoints/%s/%s/%s", o.FailureDomain, o.Serves, o.Supply)
	if n, ok := g.sent[target]; ok && n == o.Total {
		return nil
	}
	o.Sequence = 0
	content, err := json.Marshal(o)
	if err != nil {
		return fail("ordering", lagoonhead.KindInternal, err)
	}
	err = g.Ledger.Deliver(ctx, target, content, false, g.send)
	switch {
	case err == nil:
		g.vars.Add("ordered", 1)
		g.sent[target] = o.Total
		g.explain(target, fmt.Sprintf("total %d", o.Total), p.Reason)
	case lagoonhead.IsKind(err, lagoonhead.KindExhausted):
		g.vars.Add("exhausted", 1)
		g.Planner.Exhausted(o)
		g.explain(target, "refused", fmt.Sprintf("failure domain %s has fewer than %d to give", o.FailureDomain, o.Total))
		return nil
	case lagoonhead.IsKind(err, lagoonhead.KindConflict):
		// An earlier order for the target is still open: finish it first.
		g.adopted = false
	}
	return err
}

func (g *Ordering) send(ctx context.Context, r order.Record) error {
	var o lagoonhead.TotalOrder
	if err := json.Unmarshal(r.Content(), &o); err != nil {
		return fail("send", lagoonhead.KindInternal, err)
	}
	o.Sequence = r.Sequence()
	return g.Orderer.SetTotal(ctx, o)
}

func (g *Ordering) explain(subject, result, reason string) {
	if g.Decisions == nil {
		return
	}
	g.Decisions.RecordDecision(lagoonhead.Decision{
		At: g.Timer.Now(), Topic: "ordering", Subject: subject, Result: result, Reason: reason,
	})
}
