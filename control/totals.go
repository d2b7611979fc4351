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

// DefaultTotalsInterval is the default time between two steps of TotalsController.
const DefaultTotalsInterval = 10 * time.Second

// Planner determines how many endpoints are wanted: a total for each failure domain,
// model or service, and kind of supply.
type Planner interface {
	// Totals returns the wanted totals with their reasons.
	Totals() []PlannedTotal
	// MarkExhausted is called when the platform refused an order because the failure domain
	// has no capacity for the total.
	MarkExhausted(o lagoonhead.TotalOrder)
}

// PlannedTotal is a wanted total and its reason.
type PlannedTotal struct {
	Order  lagoonhead.TotalOrder
	Reason string
}

// TotalsController orders the planned totals from the platform while this daemon holds the
// duty. Set the exported fields before Run.
type TotalsController struct {
	Planner Planner
	Ledger  *order.Ledger
	// Orderer sends orders to the platform. It checks the authority of Ledger immediately
	// before it sends.
	Orderer lagoonhead.EndpointOrderer
	Timer   timer.Timer
	// Decisions records the outcome of each order with its reason. It may be nil.
	Decisions lagoonhead.DecisionRecorder
	// Interval is the time between two steps. 0 means DefaultTotalsInterval.
	Interval time.Duration

	// adopted is false while there may be open orders to finish.
	adopted bool
	// confirmed are the totals that the platform has confirmed, by the target of the ledger.
	confirmed map[string]int
	vars      expvar.Map
}

// Vars returns the counters ordered, exhausted and failed.
func (g *TotalsController) Vars() *expvar.Map { return &g.vars }

// Run calls Step periodically until ctx ends or the authority is lost.
func (g *TotalsController) Run(ctx context.Context) error {
	if g.Interval == 0 {
		g.Interval = DefaultTotalsInterval
	}
	return runWithAuthority(ctx, g.Timer, g.Interval, g.Ledger, g.Step)
}

// runWithAuthority calls step at each tick at which the authority of l holds. It returns
// nil when ctx ends and an error of KindStale when the authority is lost for good.
func runWithAuthority(ctx context.Context, t timer.Timer, interval time.Duration, l *order.Ledger, step func(context.Context)) error {
	ticks := t.Subscribe(interval)
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

// Step finishes open orders and then orders the totals that have changed.
func (g *TotalsController) Step(ctx context.Context) {
	if g.confirmed == nil {
		g.confirmed = make(map[string]int)
	}
	if !g.adopted {
		if err := g.adopt(ctx); err != nil {
			g.vars.Add("failed", 1)
			return
		}
		g.adopted = true
	}
	for _, p := range g.Planner.Totals() {
		if err := g.orderTotal(ctx, p); err != nil {
			g.vars.Add("failed", 1)
		}
	}
}

// adopt rewrites the open orders under the epoch of this holder and resends them, since
// it is not known whether the platform has applied them.
func (g *TotalsController) adopt(ctx context.Context) error {
	open, err := g.Ledger.AdoptOpen(ctx, "endpoints/")
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

// refused reports whether err means that the platform refused the order for good.
func refused(err error) bool {
	return lagoonhead.IsKind(err, lagoonhead.KindExhausted) || lagoonhead.IsKind(err, lagoonhead.KindInvalid)
}

// orderTotal orders one total unless the platform has confirmed it already.
func (g *TotalsController) orderTotal(ctx context.Context, p PlannedTotal) error {
	o := p.Order
	target := fmt.Sprintf("endpoints/%s/%s/%s", o.FailureDomain, o.Serves, o.Supply)
	if n, ok := g.confirmed[target]; ok && n == o.Total {
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
		g.confirmed[target] = o.Total
		g.recordDecision(target, fmt.Sprintf("total %d", o.Total), p.Reason)
	case lagoonhead.IsKind(err, lagoonhead.KindExhausted):
		g.vars.Add("exhausted", 1)
		g.Planner.MarkExhausted(o)
		g.recordDecision(target, "refused", fmt.Sprintf("failure domain %s has fewer than %d to give", o.FailureDomain, o.Total))
		return nil
	case lagoonhead.IsKind(err, lagoonhead.KindConflict):
		// An earlier order for the target is still open: finish it in the next step.
		g.adopted = false
	}
	return err
}

// send sends a recorded order with its sequence number.
func (g *TotalsController) send(ctx context.Context, r order.Record) error {
	var o lagoonhead.TotalOrder
	if err := json.Unmarshal(r.Content(), &o); err != nil {
		return fail("send", lagoonhead.KindInternal, err)
	}
	o.Sequence = r.Sequence()
	return g.Orderer.SetTotal(ctx, o)
}

func (g *TotalsController) recordDecision(subject, result, reason string) {
	if g.Decisions == nil {
		return
	}
	g.Decisions.RecordDecision(lagoonhead.Decision{
		At: g.Timer.Now(), Topic: "ordering", Subject: subject, Result: result, Reason: reason,
	})
}
