package plan

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

func engines(prefill, decode int) []Engine {
	es := make([]Engine, 0, prefill+decode)
	for i := range prefill + decode {
		e := Engine{ID: lagoonhead.EndpointID(strconv.Itoa(i)), Role: lagoonhead.RolePrefill}
		e.FailureDomain = lagoonhead.FailureDomain(rune('a' + i%3))
		if i >= prefill {
			e.Role = lagoonhead.RoleDecode
		}
		es = append(es, e)
	}
	return es
}

func observed(w Work) *RolePlanner {
	p := &RolePlanner{OutageTime: 10 * time.Second}
	p.Observe(0, w)
	return p
}

// Guards against unnecessary changes, against too many at once, and against changes that
// don't lower the utilization.
func TestRoleChanges(t *testing.T) {
	cases := map[string]struct {
		work    Work
		changes int
		to      lagoonhead.Role
	}{
		"balanced":       {Work{4, 4}, 0, ""},
		"little load":    {Work{3, 0.5}, 0, ""},
		"prefill short":  {Work{6, 2}, 3, lagoonhead.RolePrefill},
		"decode short":   {Work{2, 6}, 3, lagoonhead.RoleDecode},
		"all overloaded": {Work{12, 12}, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := observed(c.work).Plan(time.Second, engines(6, 6))
			require.LessOrEqual(t, len(list), c.changes)
			if c.changes == 0 {
				return
			}
			require.NotEmpty(t, list)
			seen := map[lagoonhead.FailureDomain]bool{}
			for _, x := range list {
				require.NotEmpty(t, x.Reason)
				require.NotEqual(t, x.From, x.To)
			}
			require.Equal(t, c.to, list[0].To)
			for _, e := range engines(6, 6) {
				for _, x := range list {
					if x.Engine == e.ID {
						require.False(t, seen[e.FailureDomain], "one per failure domain")
						seen[e.FailureDomain] = true
					}
				}
			}
		})
	}
}

// Guards against a second change in a failure domain during the first, and against
// changes of engines whose role is fixed.
func TestChangingAndFixedEngines(t *testing.T) {
	es := engines(6, 6)
	for i := range es {
		es[i].Changing = i < 3
	}
	require.Empty(t, observed(Work{9, 1}).Plan(0, es))
	for i := range es {
		es[i].Changing, es[i].Fixed = false, true
	}
	require.Empty(t, observed(Work{9, 1}).Plan(0, es))
	p := observed(Work{9, 1})
	require.Len(t, p.Plan(0, engines(6, 6)), 3)
	require.Empty(t, p.Plan(minChangeInterval-1, engines(6, 6)), "the effect of the first changes is not observed yet")
}

// Guards against changes for a mix that reverses before a change has paid off.
func TestOscillatingMixChangesNothing(t *testing.T) {
	p := &RolePlanner{OutageTime: 30 * time.Second}
	changes := 0
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		w := Work{6, 3}
		if at/(30*time.Second)%2 == 0 {
			w = Work{3, 6}
		}
		p.Observe(at, w)
		n := len(p.Plan(at, engines(6, 6)))
		if at > 10*time.Minute {
			changes += n
		}
	}
	require.Zero(t, changes)
}

func pools(firm, reclaimable int) []Pool {
	var ps []Pool
	for _, d := range []lagoonhead.FailureDomain{"a", "b", "c"} {
		ps = append(ps,
			Pool{FailureDomain: d, Supply: lagoonhead.SupplyFirm, Price: 3, Ready: firm},
			Pool{FailureDomain: d, Supply: lagoonhead.SupplyReclaimable, Price: 1, Ready: reclaimable})
	}
	return ps
}

func totals(ts []Total, s lagoonhead.Supply) (n int, by map[lagoonhead.FailureDomain]int) {
	by = map[lagoonhead.FailureDomain]int{}
	for _, x := range ts {
		if x.Supply == s {
			n += x.Total
			by[x.FailureDomain] = x.Total
		}
	}
	return n, by
}

// Guards against a fleet that can't meet its deadlines after all reclaimable endpoints
// of one failure domain are lost.
func TestReserve(t *testing.T) {
	for urgent := 1.0; urgent < 30; urgent++ {
		ts := (&SupplyPlanner{}).Plan(0, Need{Urgent: urgent, Deferrable: 2}, pools(0, 0))
		firm, _ := totals(ts, lagoonhead.SupplyFirm)
		reclaimable, by := totals(ts, lagoonhead.SupplyReclaimable)
		require.Positive(t, reclaimable)
		for _, lost := range by {
			require.GreaterOrEqual(t, float64(firm+reclaimable-lost)*reserveLoad, urgent)
		}
		require.GreaterOrEqual(t, float64(firm+reclaimable)*targetLoad, urgent)
	}
}

// Guards against orders to a failure domain that was just found exhausted, and
// against never ordering there again.
func TestAnotherFailureDomain(t *testing.T) {
	p := &SupplyPlanner{}
	p.MarkExhausted(0, "b", lagoonhead.SupplyReclaimable)
	reclaimable, by := totals(p.Plan(0, Need{Urgent: 5}, pools(0, 0)), lagoonhead.SupplyReclaimable)
	require.Positive(t, reclaimable)
	require.Zero(t, by["b"])
	for _, d := range []lagoonhead.FailureDomain{"a", "b", "c"} {
		p.MarkExhausted(0, d, lagoonhead.SupplyReclaimable)
	}
	ts := p.Plan(0, Need{Urgent: 5}, pools(0, 0))
	reclaimable, _ = totals(ts, lagoonhead.SupplyReclaimable)
	firm, _ := totals(ts, lagoonhead.SupplyFirm)
	require.Zero(t, reclaimable)
	require.GreaterOrEqual(t, firm, 8)
	reclaimable, _ = totals(p.Plan(exhaustedFor, Need{Urgent: 5}, pools(0, 0)), lagoonhead.SupplyReclaimable)
	require.Positive(t, reclaimable)
}

// Guards against releasing endpoints before their replacements serve, against shrinking
// when the demand is low for a short time, and against too many weight loads at once.
func TestChangesOfTotalsAreSlow(t *testing.T) {
	p := &SupplyPlanner{BootTime: time.Minute, MaxLoading: 2}
	ps := pools(4, 0)
	ts := p.Plan(0, Need{Urgent: 7}, ps)
	firm, _ := totals(ts, lagoonhead.SupplyFirm)
	reclaimable, _ := totals(ts, lagoonhead.SupplyReclaimable)
	require.GreaterOrEqual(t, firm, 11)
	require.Equal(t, 2, reclaimable)
	for i := range ps {
		if ps[i].Supply == lagoonhead.SupplyReclaimable {
			ps[i].Ready = 4
		}
	}
	ts = p.Plan(time.Second, Need{Urgent: 7}, ps)
	firm, _ = totals(ts, lagoonhead.SupplyFirm)
	require.Less(t, firm, 11, "firm endpoints are released once their replacements serve")
	require.NotEmpty(t, ts[0].Reason)
	lull := p.Plan(holdDown, Need{Urgent: 1}, ps)
	for i := range ts {
		require.Equal(t, ts[i].Total, lull[i].Total, "low demand shorter than holdDown")
	}
	all, _ := totals(p.Plan(2*holdDown, Need{Urgent: 1}, ps), lagoonhead.SupplyReclaimable)
	require.LessOrEqual(t, all, 4)
}

// Guards against orders that are made too late for a rising demand.
func TestForecast(t *testing.T) {
	p := &SupplyPlanner{BootTime: time.Minute}
	for at := time.Duration(0); at <= 5*time.Minute; at += 10 * time.Second {
		u := 5 + at.Minutes()
		if f := p.forecast(at, u); at == 5*time.Minute {
			require.InDelta(t, u+1, f, 0.3)
		}
	}
}
