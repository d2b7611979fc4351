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
func (c *TotalsController) Vars() *expvar.Map { return &c.vars }

// Run calls Step periodically until ctx ends or the authority is lost.
func (c *TotalsController) Run(ctx context.Context) error {
	if c.Interval == 0 {
		c.Interval = DefaultTotalsInterval
	}
	return runWithAuthority(ctx, c.Timer, c.Interval, c.Ledger, c.Step)
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
func (c *TotalsController) Step(ctx context.Context) {
	if c.confirmed == nil {
		c.confirmed = make(map[string]int)
	}
	if !c.adopted {
		if err := c.adopt(ctx); err != nil {
			c.vars.Add("failed", 1)
			return
		}
		c.adopted = true
	}
	for _, p := range c.Planner.Totals() {
		if err := c.orderTotal(ctx, p); err != nil {
			c.vars.Add("failed", 1)
		}
	}
}

// adopt rewrites the open orders under the epoch of this holder and resends them, since
// it is not known whether the platform has applied them.
func (c *TotalsController) adopt(ctx context.Context) error {
	open, err := c.Ledger.AdoptOpen(ctx, "endpoints/")
	if err != nil {
		return err
	}
	for _, r := range open {
		if err := c.Ledger.Resend(ctx, r, c.send); err != nil && !refused(err) {
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
func (c *TotalsController) orderTotal(ctx context.Context, p PlannedTotal) error {
	o := p.Order
	target := fmt.Sprintf("endpoints/%s/%s/%s", o.FailureDomain, o.Serves, o.Supply)
	if n, ok := c.confirmed[target]; ok && n == o.Total {
		return nil
	}
	o.Sequence = 0
	content, err := json.Marshal(o)
	if err != nil {
		return fail("ordering", lagoonhead.KindInternal, err)
	}
	err = c.Ledger.Deliver(ctx, target, content, false, c.send)
	switch {
	case err == nil:
		c.vars.Add("ordered", 1)
		c.confirmed[target] = o.Total
		c.recordDecision(target, fmt.Sprintf("total %d", o.Total), p.Reason)
	case lagoonhead.IsKind(err, lagoonhead.KindExhausted):
		c.vars.Add("exhausted", 1)
		c.Planner.MarkExhausted(o)
		c.recordDecision(target, "refused", fmt.Sprintf("failure domain %s has fewer than %d to give", o.FailureDomain, o.Total))
		return nil
	case lagoonhead.IsKind(err, lagoonhead.KindConflict):
		// An earlier order for the target is still open: finish it in the next step.
		c.adopted = false
	}
	return err
}

// send sends a recorded order with its sequence number.
func (c *TotalsController) send(ctx context.Context, r order.Record) error {
	var o lagoonhead.TotalOrder
	if err := json.Unmarshal(r.Content(), &o); err != nil {
		return fail("send", lagoonhead.KindInternal, err)
	}
	o.Sequence = r.Sequence()
	return c.Orderer.SetTotal(ctx, o)
}

func (c *TotalsController) recordDecision(subject, result, reason string) {
	if c.Decisions == nil {
		return
	}
	c.Decisions.RecordDecision(lagoonhead.Decision{
		At: c.Timer.Now(), Topic: "ordering", Subject: subject, Result: result, Reason: reason,
	})
}
