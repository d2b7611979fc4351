package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
)

const (
	// initialPrefillShare is the share of the engines that prefill until load has been
	// observed. It is below a half, since decode engines also prefill when the prefill
	// engines are busy, but prefill engines can't decode.
	initialPrefillShare = 0.4
	// targetUtilization is the utilization of the engines to plan for at peak demand.
	targetUtilization = 0.75
	// roleCooldown is how long an engine keeps its role after its last order, as a
	// multiple of the time that a change of role takes.
	roleCooldown = 4
	// roleChangeUtilization is the utilization that one of the roles must reach before any
	// role changes: a change takes an engine out of service and empties its cache.
	roleChangeUtilization = 1.0
	// changeDelay is the time from an order until the engine starts the change: the order
	// is announced first, and running requests finish.
	changeDelay = 2 * time.Second
	// maxChangingShare is the share of the engines that may change their role at the same
	// time while there is load.
	maxChangingShare = 0.1
	// countStableTime is how long the number of engines must stay the same before some are
	// released or change their role. Endpoints of a starting fleet register within it.
	countStableTime = 1200 * time.Millisecond
	// shrinkDelay is how long fewer engines must suffice before some are released.
	shrinkDelay = 15 * time.Second
	// reorderDelay is how long to wait, beyond the boot time of an engine, before an order
	// that had no effect is repeated.
	reorderDelay = 2 * time.Second
	// exhaustedRetryDelay is how long no engine is ordered from a pool that had none.
	exhaustedRetryDelay = 3 * time.Second
)

// pool identifies the engines of one kind of supply in one failure domain.
type pool struct {
	domain lagoonhead.FailureDomain
	supply lagoonhead.Supply
}

type poolState struct {
	// total is the number of engines ordered last, at orderedAt. It is the number that ran
	// before the first order, and -1 after a failed one.
	total     int
	orderedAt time.Duration
	// exhausted is true if the last order failed because the pool had no engines to give.
	// Other pools take its share until an order succeeds; the next is made at retryAt.
	exhausted bool
	retryAt   time.Duration
	// everOrdered is true after the first order.
	everOrdered bool
}

// ServicePlanner plans the engines of one service: how many of each kind of supply run in
// each failure domain, and which of them prefill. It replaces firm engines by cheaper
// reclaimable ones and keeps only the minimum number of firm ones. It adds enough spare
// engines that the desired number is left when all reclaimable ones of one domain are
// reclaimed. It is made for loads whose ratio of prompt to output tokens changes quickly,
// and for platforms that reclaim a whole domain at once.
type ServicePlanner struct {
	// initialCount is the number of engines that ran when this planner started, without
	// the reserve for a reclaim. settled is true once the number of engines, lastCount,
	// has not changed for countStableTime. countSince is the time of its last change.
	initialCount int
	lastCount    int
	countSince   time.Duration
	settled      bool
	pools        map[pool]*poolState
	roleOrders   map[lagoonhead.EndpointID]orderedRole
	// target is the number of engines to keep. fewerSince is the time since which fewer
	// would suffice, 0 if they don't; fewerPeak is the highest need since then.
	target     int
	fewerSince time.Duration
	fewerPeak  int
}

// orderedRole is the last role that an engine was ordered to take.
type orderedRole struct {
	role lagoonhead.Role
	at   time.Duration
}

// RoleOrder orders an engine to change its role.
type RoleOrder struct {
	Engine lagoonhead.Endpoint
	Role   lagoonhead.Role
}

// ServicePlan holds the orders to issue now.
type ServicePlan struct {
	Totals []lagoonhead.TotalOrder
	Roles  []RoleOrder
	// Prefill is the number of engines that should prefill.
	Prefill int
}

// Plan returns the orders for the service. engines lists the registered ones. Those in evacuated
// failure domains do not count as usable, and nothing is ordered there.
func (s *ServicePlanner) Plan(now time.Duration, service *catalog.Service, engines []lagoonhead.Endpoint, evacuated map[lagoonhead.FailureDomain]bool, d PeakDemand) ServicePlan {
	if s.pools == nil {
		s.pools = make(map[pool]*poolState)
		s.roleOrders = make(map[lagoonhead.EndpointID]orderedRole)
	}
	var active []lagoonhead.Endpoint
	for _, e := range engines {
		if !e.Leaving() && !evacuated[e.FailureDomain()] {
			active = append(active, e)
		}
	}
	var p ServicePlan
	settled := s.countInitial(now, service, active)
	if service.Scaling != nil && len(service.Scaling.DomainPrices) > 0 {
		s.planTotals(now, service, active, evacuated, d, settled, &p)
	}
	s.planRoles(now, service, active, d, settled, &p)
	return p
}

func countPools(active []lagoonhead.Endpoint) map[pool]int {
	have := make(map[pool]int)
	for _, e := range active {
		have[pool{e.FailureDomain(), e.Supply()}]++
	}
	return have
}

// countInitial counts the engines that run when the planner starts, and reports whether
// all of them are known: engines of a starting fleet register one after the other.
func (s *ServicePlanner) countInitial(now time.Duration, service *catalog.Service, active []lagoonhead.Endpoint) bool {
	if s.settled {
		return true
	}
	if len(active) != s.lastCount {
		s.lastCount, s.countSince = len(active), now
	}
	reclaimable := 0
	for _, e := range active {
		if e.Supply() == lagoonhead.SupplyReclaimable {
			reclaimable++
		}
	}
	s.initialCount = len(active)
	if sc := service.Scaling; sc != nil && len(sc.DomainPrices) > 1 {
		s.initialCount -= reclaimable / len(sc.DomainPrices)
	}
	s.settled = s.lastCount > 0 && now-s.countSince >= countStableTime
	return s.settled
}

// affordable returns the number of engines that cost no more than the initial ones: until
// the load is known, the cost for operators must not rise.
func (s *ServicePlanner) affordable(sc *catalog.Scaling) int {
	if sc.ReclaimablePrice <= 0 {
		return s.initialCount
	}
	firm := sc.Min * len(sc.DomainPrices)
	return firm + int(float64(max(0, s.initialCount-firm))/sc.ReclaimablePrice)
}

// wanted returns the number of engines that must remain after all reclaimable ones of
// one failure domain are lost.
func (s *ServicePlanner) wanted(now time.Duration, sc *catalog.Scaling, d PeakDemand) int {
	if !d.Known {
		return s.affordable(sc)
	}
	need := max(2, int(math.Ceil((d.Prefill+d.Decode)/targetUtilization)))
	if s.target == 0 {
		s.target = max(need, s.affordable(sc))
	}
	if need >= s.target {
		s.target, s.fewerSince = need, 0
		return s.target
	}
	if s.fewerSince == 0 || need > s.fewerPeak {
		s.fewerSince, s.fewerPeak = now, need
	}
	if now-s.fewerSince >= shrinkDelay {
		s.target, s.fewerSince = s.fewerPeak, 0
	}
	return s.target
}

func (s *ServicePlanner) planTotals(now time.Duration, service *catalog.Service, active []lagoonhead.Endpoint, evacuated map[lagoonhead.FailureDomain]bool, d PeakDemand, settled bool, p *ServicePlan) {
	sc := service.Scaling
	domains := make([]lagoonhead.FailureDomain, 0, len(sc.DomainPrices))
	for id := range sc.DomainPrices {
		if !evacuated[id] {
			domains = append(domains, id)
		}
	}
	if len(domains) == 0 {
		return
	}
	slices.SortFunc(domains, func(a, b lagoonhead.FailureDomain) int {
		return cmp.Or(cmp.Compare(sc.DomainPrices[a], sc.DomainPrices[b]), cmp.Compare(a, b))
	})
	have := countPools(active)
	n := len(domains)
	want := s.wanted(now, sc, d)
	if n > 1 && sc.ReclaimablePrice > 0 {
		want = int(math.Ceil(float64(want) * float64(n) / float64(n-1)))
	}
	want = min(want, sc.Max*n)
	targets, evenTargets := s.spread(sc, domains, want, true), s.spread(sc, domains, want, false)
	spare := len(active) - max(s.initialCount, want*(n-1)/n)
	if !settled {
		spare = 0
	}
	for _, id := range domains {
		for _, supply := range []lagoonhead.Supply{lagoonhead.SupplyReclaimable, lagoonhead.SupplyFirm} {
			k := pool{id, supply}
			if st := s.pools[k]; st != nil && st.exhausted {
				if now >= st.retryAt {
					p.Totals = append(p.Totals, s.recordOrder(now, service, k, max(have[k], evenTargets[k])))
				}
				continue
			}
			surplus := have[k] - targets[k]
			if !settled && (supply == lagoonhead.SupplyFirm || surplus >= 0) {
				// While not all engines are known, a total could release some of them.
				continue
			}
			if surplus > 0 {
				if surplus > spare {
					continue
				}
				spare -= surplus
			}
			if s.needsOrder(now, sc, k, have[k], targets[k]) {
				p.Totals = append(p.Totals, s.recordOrder(now, service, k, targets[k]))
			}
		}
	}
}

// spread divides the wanted engines among the pools: the minimum number firm, the rest
// reclaimable, evenly over the domains, cheaper domains first. It skips exhausted pools
// if skipExhausted is true.
func (s *ServicePlanner) spread(sc *catalog.Scaling, domains []lagoonhead.FailureDomain, want int, skipExhausted bool) map[pool]int {
	targets := make(map[pool]int)
	left := want
	for _, id := range domains {
		targets[pool{id, lagoonhead.SupplyFirm}] = sc.Min
		left -= sc.Min
	}
	for left > 0 {
		placed := false
		for _, id := range domains {
			firm, reclaimable := pool{id, lagoonhead.SupplyFirm}, pool{id, lagoonhead.SupplyReclaimable}
			if left == 0 || targets[firm]+targets[reclaimable] >= sc.Max {
				continue
			}
			k := reclaimable
			if sc.ReclaimablePrice <= 0 {
				k = firm
			} else if st := s.pools[reclaimable]; skipExhausted && st != nil && st.exhausted {
				continue
			}
			targets[k]++
			left--
			placed = true
		}
		if !placed {
			break
		}
	}
	return targets
}

// needsOrder reports whether a pool needs an order.
func (s *ServicePlanner) needsOrder(now time.Duration, sc *catalog.Scaling, k pool, have, target int) bool {
	st := s.pools[k]
	if st == nil {
		st = &poolState{total: have}
		s.pools[k] = st
	}
	overdue := st.everOrdered && have < st.total && now-st.orderedAt > sc.BootTime+reorderDelay
	return target != st.total || overdue
}

// recordOrder records an order for a pool and returns it.
func (s *ServicePlanner) recordOrder(now time.Duration, service *catalog.Service, k pool, total int) lagoonhead.TotalOrder {
	st := s.pools[k]
	st.total, st.orderedAt, st.everOrdered, st.exhausted = total, now, true, false
	return lagoonhead.TotalOrder{FailureDomain: k.domain, Supply: k.supply, Serves: service.Name, Total: total}
}

// MarkFailed records that an order for a pool has failed. exhausted is true if the failure
// domain has no such engines to give at the moment.
func (s *ServicePlanner) MarkFailed(now time.Duration, o lagoonhead.TotalOrder, exhausted bool) {
	st := s.pools[pool{o.FailureDomain, o.Supply}]
	if st == nil {
		return
	}
	st.total, st.exhausted, st.retryAt = -1, exhausted, now+exhaustedRetryDelay
}

// assigned returns the engines that prefill or decode, each with the role that it has or
// is changing to, and how many of them prefill.
func (s *ServicePlanner) assigned(now time.Duration, service *catalog.Service, active []lagoonhead.Endpoint) (list []lagoonhead.Endpoint, prefill int) {
	for _, e := range active {
		if o, ok := s.roleOrders[e.ID()]; ok && now-o.at < changeDelay+service.Engine.RoleChangeTime {
			e = e.WithRole(o.role)
		}
		switch e.Role() {
		case lagoonhead.RolePrefill:
			prefill++
		case lagoonhead.RoleDecode:
		default:
			continue
		}
		list = append(list, e)
	}
	return list, prefill
}

// planRoles orders the changes of role that the demand needs.
func (s *ServicePlanner) planRoles(now time.Duration, service *catalog.Service, active []lagoonhead.Endpoint, d PeakDemand, settled bool, p *ServicePlan) {
	if service.Engine == nil {
		return
	}
	if !d.Known && service.Scaling != nil && service.Scaling.ReclaimablePrice > 0 {
		// Firm engines are about to be released, so their roles don't matter.
		active = slices.DeleteFunc(slices.Clone(active), func(e lagoonhead.Endpoint) bool { return e.Supply() == lagoonhead.SupplyFirm })
	} else if !settled {
		return
	}
	assigned, prefill := s.assigned(now, service, active)
	n := len(assigned)
	if n < 2 {
		return
	}
	share := initialPrefillShare
	if d.Known && d.Prefill+d.Decode > 0 {
		share = d.Prefill / (d.Prefill + d.Decode)
	}
	want := min(max(1, int(math.Round(share*float64(n)))), n-1)
	p.Prefill = want
	diff := want - prefill
	if d.Known && prefill > 0 && prefill < n && d.Prefill < roleChangeUtilization*float64(prefill) && d.Decode < roleChangeUtilization*float64(n-prefill) {
		return
	}
	limit := n
	if d.Known {
		limit = max(1, int(maxChangingShare*float64(n))) - s.changing(now, service)
	}
	from, to := lagoonhead.RoleDecode, lagoonhead.RolePrefill
	if diff < 0 {
		from, to, diff = to, from, -diff
	}
	cooldown := roleCooldown * service.Engine.RoleChangeTime
	for range min(diff, limit) {
		i := s.candidate(now, assigned, from, cooldown)
		if i < 0 {
			return
		}
		p.Roles = append(p.Roles, RoleOrder{Engine: assigned[i], Role: to})
		s.roleOrders[assigned[i].ID()] = orderedRole{to, now}
		assigned[i] = assigned[i].WithRole(to)
	}
}

// changing returns the number of engines that have an order to change their role and may
// not have finished.
func (s *ServicePlanner) changing(now time.Duration, service *catalog.Service) int {
	n := 0
	for _, o := range s.roleOrders {
		if now-o.at < changeDelay+service.Engine.RoleChangeTime {
			n++
		}
	}
	return n
}

// candidate returns the index of an engine with the role, from the failure domain that
// has the most of them, or -1. It skips engines ordered within the cooldown, and the last engine
// that decodes of a software version: streams and KV caches do not go on at another version. For
// the same reason engines of versions that none decodes are the first to leave the prefill role.
func (s *ServicePlanner) candidate(now time.Duration, assigned []lagoonhead.Endpoint, role lagoonhead.Role, cooldown time.Duration) int {
	count := make(map[lagoonhead.FailureDomain]int)
	decoding := make(map[string]int)
	for _, e := range assigned {
		if e.Role() == role {
			count[e.FailureDomain()]++
		}
		if e.Role() == lagoonhead.RoleDecode {
			decoding[e.Software()]++
		}
	}
	best, bestLacking := -1, false
	for i, e := range assigned {
		if o, ok := s.roleOrders[e.ID()]; e.Role() != role || (ok && now-o.at < cooldown) {
			continue
		}
		if role == lagoonhead.RoleDecode && decoding[e.Software()] == 1 {
			continue
		}
		lacking := decoding[e.Software()] == 0
		if best >= 0 && lacking != bestLacking {
			if lacking {
				best, bestLacking = i, true
			}
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(count[e.FailureDomain()], count[assigned[best].FailureDomain()]), cmp.Compare(assigned[best].ID(), e.ID())) > 0 {
			best, bestLacking = i, lacking
		}
	}
	return best
}
