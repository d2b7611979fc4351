package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
)

func testService() *catalog.Service {
	return &catalog.Service{
		Name:   "m",
		Engine: &catalog.EngineTraits{Slots: 64, RoleChangeTime: 3 * time.Second},
		Scaling: &catalog.Scaling{
			Min: 1, Max: 6, BootTime: 4 * time.Second, ReclaimablePrice: 0.25,
			DomainPrices: map[lagoonhead.FailureDomain]float64{"a": 1, "b": 1, "c": 1, "d": 1},
		},
	}
}

// simFleet is a simulated fleet that follows all orders: engines start BootTime after
// their order and are released at once.
type simFleet struct {
	engines    []lagoonhead.Endpoint
	number     int
	exhausted  map[lagoonhead.FailureDomain]bool
	minRunning int // minimum number of engines that ran during the last run
}

func (s *simFleet) add(d lagoonhead.FailureDomain, k lagoonhead.Supply, n int) {
	for range n {
		s.number++
		id := lagoonhead.EndpointID(fmt.Sprint("e", s.number))
		s.engines = append(s.engines, lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, "m", string(id)+":1", d).
			WithSupply(k).WithRole(lagoonhead.RoleDecode).WithSlots(64))
	}
}

func (s *simFleet) count(d lagoonhead.FailureDomain, k lagoonhead.Supply) (n int) {
	for _, e := range s.engines {
		if (d == "" || e.FailureDomain() == d) && e.Supply() == k {
			n++
		}
	}
	return n
}

func (s *simFleet) apply(o lagoonhead.TotalOrder) {
	have := s.count(o.FailureDomain, o.Supply)
	if o.Total > have {
		s.add(o.FailureDomain, o.Supply, o.Total-have)
		return
	}
	for i := 0; i < len(s.engines) && have > o.Total; {
		e := s.engines[i]
		if e.FailureDomain() == o.FailureDomain && e.Supply() == o.Supply {
			s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
			have--
			continue
		}
		i++
	}
}

func firmFleet() *simFleet {
	s := &simFleet{}
	for _, d := range []lagoonhead.FailureDomain{"a", "b", "c", "d"} {
		s.add(d, lagoonhead.SupplyFirm, 3)
	}
	return s
}

// run plans every half second and applies the orders; those that add engines take effect
// after the boot time. It returns the number of orders for totals and for roles.
func (s *simFleet) run(p *ServicePlanner, from, to time.Duration, d PeakDemand) (orders int, roles int) {
	svc := testService()
	type delayedOrder struct {
		at time.Duration
		o  lagoonhead.TotalOrder
	}
	var pending []delayedOrder
	s.minRunning = len(s.engines)
	for now := from; now < to; now += 500 * time.Millisecond {
		for len(pending) > 0 && pending[0].at <= now {
			s.apply(pending[0].o)
			pending = pending[1:]
		}
		plan := p.Plan(now, svc, s.engines, nil, d)
		for _, o := range plan.Totals {
			orders++
			if s.exhausted[o.FailureDomain] && o.Supply == lagoonhead.SupplyReclaimable {
				p.MarkFailed(now, o, true)
				continue
			}
			if o.Total < s.count(o.FailureDomain, o.Supply) {
				s.apply(o)
				continue
			}
			pending = append(pending, delayedOrder{now + svc.Scaling.BootTime, o})
		}
		for _, r := range plan.Roles {
			roles++
			for i, e := range s.engines {
				if e.ID() == r.Engine.ID() {
					s.engines[i] = e.WithRole(r.Role)
				}
			}
		}
		s.minRunning = min(s.minRunning, len(s.engines))
	}
	return orders, roles
}

// Guards against firm engines that are released before the cheaper reclaimable ones run.
func TestCheapEnginesReplaceFirmOnesWithoutADip(t *testing.T) {
	s, p := firmFleet(), new(ServicePlanner)
	s.run(p, time.Second, 20*time.Second, PeakDemand{})
	require.Equal(t, 4, s.count("", lagoonhead.SupplyFirm))
	require.Equal(t, 20, s.count("", lagoonhead.SupplyReclaimable), "as many as the initial engines cost, within the bounds")
	require.GreaterOrEqual(t, s.minRunning, 12)
}

// Guards against totals that release engines which have not registered yet.
func TestNothingIsGivenBackBeforeAllEnginesAreKnown(t *testing.T) {
	s, p := firmFleet(), new(ServicePlanner)
	all := s.engines
	for i := range all {
		plan := p.Plan(time.Duration(i)*300*time.Millisecond, testService(), all[:i+1], nil, PeakDemand{})
		for _, o := range plan.Totals {
			require.Equal(t, lagoonhead.SupplyReclaimable, o.Supply)
		}
	}
}

// Guards against a plan that leaves too few engines for the load after the reclaimable
// ones of one failure domain are lost.
func TestReserveCoversLossOfADomain(t *testing.T) {
	s, p := firmFleet(), new(ServicePlanner)
	d := PeakDemand{Prefill: 5, Decode: 5, Known: true}
	s.run(p, time.Second, time.Minute, d)
	worst := 0
	for _, id := range []lagoonhead.FailureDomain{"a", "b", "c", "d"} {
		worst = max(worst, s.count(id, lagoonhead.SupplyReclaimable))
	}
	require.GreaterOrEqual(t, float64(len(s.engines)-worst)*targetUtilization, 10.0)
}

// Guards against repeated orders to an exhausted failure domain, and against a fleet that
// stays too small because of it.
func TestOtherDomainsStandInForADryOne(t *testing.T) {
	s, p := firmFleet(), new(ServicePlanner)
	s.exhausted = map[lagoonhead.FailureDomain]bool{"a": true}
	orders, _ := s.run(p, time.Second, 31*time.Second, PeakDemand{Prefill: 5, Decode: 5, Known: true})
	require.GreaterOrEqual(t, len(s.engines), 16)
	require.Less(t, orders, 40)
}

// Guards against changes of role while both roles have enough engines.
func TestRolesRestWhileNeitherSideIsShort(t *testing.T) {
	s, p := firmFleet(), new(ServicePlanner)
	s.run(p, time.Second, 20*time.Second, PeakDemand{})
	_, roles := s.run(p, 20*time.Second, 50*time.Second, PeakDemand{Prefill: 6, Decode: 9, Known: true})
	require.Zero(t, roles)
	_, roles = s.run(p, 50*time.Second, 51*time.Second, PeakDemand{Prefill: 15, Decode: 3, Known: true})
	require.Positive(t, roles)
	require.LessOrEqual(t, roles, 3, "at most a tenth of the engines change at a time")
}

// Guards against a second order to an engine that is still changing its role.
func TestAnEngineInChangeCountsInItsNewRole(t *testing.T) {
	s, p := firmFleet(), new(ServicePlanner)
	svc := testService()
	svc.Scaling = nil
	d := PeakDemand{Prefill: 20, Decode: 1, Known: true}
	ordered := make(map[lagoonhead.EndpointID]int)
	for now := time.Second; now < 6*time.Second; now += 500 * time.Millisecond {
		for _, r := range p.Plan(now, svc, s.engines, nil, d).Roles {
			ordered[r.Engine.ID()]++
		}
	}
	require.NotEmpty(t, ordered)
	for id, n := range ordered {
		require.Equal(t, 1, n, id)
	}
}

// setRoles gives each engine a software version and a role; the last ones apply to the rest.
func (s *simFleet) setRoles(versions []string, roles []lagoonhead.Role) {
	for i, e := range s.engines {
		s.engines[i] = e.WithSoftware(versions[min(i, len(versions)-1)]).WithRole(roles[min(i, len(roles)-1)])
	}
}

// Guards against a software version whose streams and KV caches go nowhere because all of its engines
// prefill.
func TestEachSoftwareVersionKeepsAnEngineThatDecodes(t *testing.T) {
	service := testService()
	service.Scaling = nil
	const prefill, decode = lagoonhead.RolePrefill, lagoonhead.RoleDecode
	plan := func(s *simFleet, d PeakDemand) []RoleOrder {
		var p ServicePlanner
		p.Plan(time.Second, service, s.engines, nil, d)
		return p.Plan(time.Second+countStableTime, service, s.engines, nil, d).Roles
	}

	s := firmFleet()
	s.setRoles([]string{"v1", "v1.1"}, []lagoonhead.Role{decode})
	orders := plan(s, PeakDemand{})
	require.NotEmpty(t, orders)
	for _, o := range orders {
		require.Equal(t, "v1.1", o.Engine.Software(), "the only engine of v1 decodes")
	}

	s = firmFleet()
	s.setRoles(append(slices.Repeat([]string{"v1.1"}, 10), "v1"), append(slices.Repeat([]lagoonhead.Role{prefill, prefill, prefill, decode, decode}, 2), prefill))
	orders = plan(s, PeakDemand{Known: true, Prefill: 0.1, Decode: 12})
	require.NotEmpty(t, orders)
	require.Equal(t, "v1", orders[0].Engine.Software(), "none of its engines decodes")
	require.Equal(t, decode, orders[0].Role)
}

// Guards against a demand that covers only one of two alternating mixes.
func TestDemandKeepsThePeaksOfBothMixes(t *testing.T) {
	var m DemandMeter
	var sent, run int64
	for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Millisecond {
		if (now/(3*time.Second))%2 == 0 {
			sent += 8 * 48_000 / 2
		} else {
			run += 4 * 48_000 / 2
		}
		m.Observe(now, WorkSample{SentToPrefill: sent, SentToRun: run, Rate: 48_000, Slots: 64})
	}
	require.Greater(t, m.Demand().Prefill, 5.0)
	require.Greater(t, m.Demand().Decode, 5.0)
	require.True(t, m.Demand().Known)
}
