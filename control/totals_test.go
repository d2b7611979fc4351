package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/order"
	"github.com/lagoonhead/lagoonhead/timer"
)

// fixedPlan plans one total and counts the calls of MarkExhausted.
type fixedPlan struct {
	total     int
	exhausted int
}

func (p *fixedPlan) Totals() []PlannedTotal {
	return []PlannedTotal{{Order: lagoonhead.TotalOrder{
		FailureDomain: "a", Serves: "m", Supply: lagoonhead.SupplyReclaimable, Total: p.total,
	}}}
}

func (p *fixedPlan) MarkExhausted(lagoonhead.TotalOrder) { p.exhausted++ }

// epoch is an authority that always holds.
type epoch int64

func (e epoch) Epoch() int64 { return int64(e) }
func (epoch) Check() error   { return nil }

func newTotalsController(f *fakeplatform.Platform, clock timer.Timer, e epoch, p *fixedPlan) *TotalsController {
	return &TotalsController{
		Planner: p, Orderer: f.Ordering, Timer: clock,
		Ledger: &order.Ledger{Store: f.KV, Authority: e, Writer: "test"},
	}
}

// Guards against an order that is duplicated or lost when the platform applied it, the
// answer was lost, the sender failed and another daemon took over the duty.
func TestOrderingAfterALostAnswerAndANewHolder(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	f := fakeplatform.New(clock, 0)
	f.Ordering.Faults.LoseAnswers(1)
	newTotalsController(f, clock, 1, &fixedPlan{total: 3}).Step(ctx)
	require.Equal(t, 3, f.Ordering.Total("a", "m", lagoonhead.SupplyReclaimable))

	next := newTotalsController(f, clock, 2, &fixedPlan{total: 5})
	next.Step(ctx)
	orders := f.Ordering.Orders()
	require.Len(t, orders, 3)
	require.Equal(t, orders[0], orders[1], "the new holder resends the open order unchanged")
	require.Equal(t, 5, orders[2].Total)
	require.Greater(t, orders[2].Sequence, orders[1].Sequence)
	next.Step(ctx)
	require.Len(t, f.Ordering.Orders(), 3, "a confirmed total is not ordered again")
}

// Guards against endless retries of an order that a failure domain has no capacity for:
// the planner must learn of it and be able to order less.
func TestOrderingTellsThePlannerOfExhaustion(t *testing.T) {
	ctx := context.Background()
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	f := fakeplatform.New(clock, 0)
	f.Ordering.SetCapacity("a", "m", lagoonhead.SupplyReclaimable, 1)
	p := &fixedPlan{total: 3}
	c := newTotalsController(f, clock, 1, p)
	c.Step(ctx)
	require.Equal(t, 1, p.exhausted)
	p.total = 1
	c.Step(ctx)
	require.Equal(t, 1, f.Ordering.Total("a", "m", lagoonhead.SupplyReclaimable))
}
