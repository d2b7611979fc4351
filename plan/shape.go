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
	// firstPrefillShare is the part of the engines that prefill before any load was seen.
	// It is below a half, since engines that decode read prompts as well when those that
	// prefill are busy, and the reverse is not possible.
	firstPrefillShare = 0.4
	// targetUse is the part of the engines' time that the peak demand may take.
	targetUse = 0.75
	// roleRest is how long after its last order an engine keeps its role, in changes of
	// role.
	roleRest = 4
	// calmUse is the use of both roles below which none is changed: a change takes an
	// engine out, and with it what its cache holds.
	calmUse = 1.0
	// changeTime is how long an engine takes to begin a change: the order is announced
	// first, and what runs there ends.
	changeTime = 2 * time.Second
	// mostChanging is the part of the engines that may change their role at a time while
	// there is load.
	mostChanging = 0.1
	// lookTime is how long the number of engines must stay the same before some are given
	// back or change their role. Endpoints of a fleet that starts register within it.
	lookTime = 1200 * time.Millisecond
	// shrinkAfter is how long fewer engines must be enough before some are given back.
	shrinkAfter = 15 * time.Second
	// orderRepeat is how long after an order without effect it is given again, beyond
	// the time that an engine takes to start.
	orderRepeat = 2 * time.Second
	// dryTime is how long a failure domain that had no engine to give is not asked.
	dryTime = 3 * time.Second
)

type pool struct {
	domain lagoonhead.FailureDomain
	supply lagoonhead.Supply
}

type poolState struct {
	ordered   int
	orderedAt time.Duration
	// dry tells that the last order found nothing to be had. Others stand in until an order
	// succeeds; the next one is due at retryAt.
	dry     bool
	retryAt time.Duration
	known   bool
}

// Shape plans the engines of one service: how many of each kind of supply run in each
// failure domain, and which of them prefill. It replaces firm engines by cheaper ones
// that may be reclaimed, with so many more that the loss of those of one domain leaves
// the wanted number, and keeps the least allowed number firm. It answers loads whose mix
// of prompts and output swings, and reclaims of a whole domain.
type Shape struct {
	// found is the number of engines that ran when this plan began, without the reserve
	// for a reclaim. seen and seenFrom tell since when their number has not changed.
	found    int
	seen     int
	seenFrom time.Duration
	settled  bool
	pools    map[pool]*poolState
	ordered  map[lagoonhead.EndpointID]orderedRole
	least    int
	lessFrom time.Duration
	lessThan int
}

// orderedRole is the last role that an engine was ordered to take.
type orderedRole struct {
	role lagoonhead.Role
	at   time.Duration
}

// RoleOrder is an order to an engine to change its role.
type RoleOrder struct {
	Engine lagoonhead.Endpoint
	Role   lagoonhead.Role
}

// ShapePlan is what is to be ordered now.
type ShapePlan struct {
	Totals []lagoonhead.TotalOrder
	Roles  []RoleOrder
	// Prefill is the number of engines that shall prefill.
	Prefill int
}

// Plan returns the orders for the service. engines are those that have registered.
func (s *Shape) Plan(now time.Duration, service *catalog.Service, engines []lagoonhead.Endpoint, d ShapeDemand) ShapePlan {
	if s.pools == nil {
		s.pools = make(map[pool]*poolState)
		s.ordered = make(map[lagoonhead.EndpointID]orderedRole)
	}
	var living []lagoonhead.Endpoint
	for _, e := range engines {
		if !e.Leaving() {
			living = append(living, e)
		}
	}
	var p ShapePlan
	settled := s.look(now, service, living)
	if service.Scaling != nil && len(service.Scaling.DomainPrices) > 0 {
		s.planTotals(now, service, living, d, settled, &p)
	}
	s.planRoles(now, service, living, d, settled, &p)
	return p
}

func countPools(living []lagoonhead.Endpoint) map[pool]int {
	have := make(map[pool]int)
	for _, e := range living {
		have[pool{e.FailureDomain(), e.Supply()}]++
	}
	return have
}

// look counts the engines that this plan begins with, and reports whether all are known:
// those of a fleet that starts register one after the other.
func (s *Shape) look(now time.Duration, service *catalog.Service, living []lagoonhead.Endpoint) bool {
	if s.settled {
		return true
	}
	if len(living) != s.seen {
		s.seen, s.seenFrom = len(living), now
	}
	reclaimable := 0
	for _, e := range living {
		if e.Supply() == lagoonhead.SupplyReclaimable {
			reclaimable++
		}
	}
	s.found = len(living)
	if sc := service.Scaling; sc != nil && len(sc.DomainPrices) > 1 {
		s.found -= reclaimable / len(sc.DomainPrices)
	}
	s.settled = s.seen > 0 && now-s.seenFrom >= lookTime
	return s.settled
}

// affordable returns the number of engines that cost no more than those that were found:
// as long as the load is not known, the money that operators spend is kept.
func (s *Shape) affordable(sc *catalog.Scaling) int {
	if sc.ReclaimablePrice <= 0 {
		return s.found
	}
	firm := sc.Min * len(sc.DomainPrices)
	return firm + int(float64(max(0, s.found-firm))/sc.ReclaimablePrice)
}

// wanted returns the number of engines that must be left after the loss of the
// reclaimable ones of one failure domain.
func (s *Shape) wanted(now time.Duration, sc *catalog.Scaling, d ShapeDemand) int {
	if !d.Known {
		return s.affordable(sc)
	}
	need := max(2, int(math.Ceil((d.Prefill+d.Decode)/targetUse)))
	if s.least == 0 {
		s.least = max(need, s.affordable(sc))
	}
	if need >= s.least {
		s.least, s.lessFrom = need, 0
		return s.least
	}
	if s.lessFrom == 0 || need > s.lessThan {
		s.lessFrom, s.lessThan = now, need
	}
	if now-s.lessFrom >= shrinkAfter {
		s.least, s.lessFrom = s.lessThan, 0
	}
	return s.least
}

func (s *Shape) planTotals(now time.Duration, service *catalog.Service, living []lagoonhead.Endpoint, d ShapeDemand, settled bool, p *ShapePlan) {
	sc := service.Scaling
	domains := make([]lagoonhead.FailureDomain, 0, len(sc.DomainPrices))
	for id := range sc.DomainPrices {
		domains = append(domains, id)
	}
	slices.SortFunc(domains, func(a, b lagoonhead.FailureDomain) int {
		return cmp.Or(cmp.Compare(sc.DomainPrices[a], sc.DomainPrices[b]), cmp.Compare(a, b))
	})
	have := countPools(living)
	n := len(domains)
	want := s.wanted(now, sc, d)
	if n > 1 && sc.ReclaimablePrice > 0 {
		want = int(math.Ceil(float64(want) * float64(n) / float64(n-1)))
	}
	want = min(want, sc.Max*n)
	targets, even := s.spread(sc, domains, want, true), s.spread(sc, domains, want, false)
	spare := len(living) - max(s.found, want*(n-1)/n)
	if !settled {
		spare = 0
	}
	for _, id := range domains {
		for _, supply := range []lagoonhead.Supply{lagoonhead.SupplyReclaimable, lagoonhead.SupplyFirm} {
			k := pool{id, supply}
			if st := s.pools[k]; st != nil && st.dry {
				if now >= st.retryAt {
					p.Totals = append(p.Totals, s.place(now, service, k, max(have[k], even[k])))
				}
				continue
			}
			fewer := have[k] - targets[k]
			if !settled && (supply == lagoonhead.SupplyFirm || fewer >= 0) {
				// A total for engines that are not all known could give some back.
				continue
			}
			if fewer > 0 {
				if fewer > spare {
					continue
				}
				spare -= fewer
			}
			if s.due(now, sc, k, have[k], targets[k]) {
				p.Totals = append(p.Totals, s.place(now, service, k, targets[k]))
			}
		}
	}
}

// spread divides the wanted engines over the pools: the least number firm, the rest
// reclaimable, evenly over the domains, the cheaper ones first. Pools that are dry are
// passed over if skipDry is true.
func (s *Shape) spread(sc *catalog.Scaling, domains []lagoonhead.FailureDomain, want int, skipDry bool) map[pool]int {
	targets := make(map[pool]int)
	left := want
	for _, id := range domains {
		targets[pool{id, lagoonhead.SupplyFirm}] = sc.Min
		left -= sc.Min
	}
	for left > 0 {
		placed := false
		for _, id := range domains {
			firm, cheap := pool{id, lagoonhead.SupplyFirm}, pool{id, lagoonhead.SupplyReclaimable}
			if left == 0 || targets[firm]+targets[cheap] >= sc.Max {
				continue
			}
			k := cheap
			if sc.ReclaimablePrice <= 0 {
				k = firm
			} else if st := s.pools[cheap]; skipDry && st != nil && st.dry {
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

// due reports whether a pool needs an order.
func (s *Shape) due(now time.Duration, sc *catalog.Scaling, k pool, have, target int) bool {
	st := s.pools[k]
	if st == nil {
		st = &poolState{ordered: have}
		s.pools[k] = st
	}
	late := st.known && have < st.ordered && now-st.orderedAt > sc.BootTime+orderRepeat
	return target != st.ordered || late
}

// place notes an order for a pool and returns it.
func (s *Shape) place(now time.Duration, service *catalog.Service, k pool, total int) lagoonhead.TotalOrder {
	st := s.pools[k]
	st.ordered, st.orderedAt, st.known, st.dry = total, now, true, false
	return lagoonhead.TotalOrder{FailureDomain: k.domain, Supply: k.supply, Serves: service.Name, Total: total}
}

// Failed tells that an order for a pool was not taken. exhausted means that the failure
// domain has none to give at the moment.
func (s *Shape) Failed(now time.Duration, o lagoonhead.TotalOrder, exhausted bool) {
	st := s.pools[pool{o.FailureDomain, o.Supply}]
	if st == nil {
		return
	}
	st.ordered, st.dry, st.retryAt = -1, exhausted, now+dryTime
}

// staged returns the engines that have a role, in that role or in the one that they are
// about to take.
func (s *Shape) staged(now time.Duration, service *catalog.Service, living []lagoonhead.Endpoint) (list []lagoonhead.Endpoint, prefill int) {
	for _, e := range living {
		if o, ok := s.ordered[e.ID()]; ok && now-o.at < changeTime+service.Engine.SwitchTime {
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

// planRoles orders engines into the roles that the demand asks for.
func (s *Shape) planRoles(now time.Duration, service *catalog.Service, living []lagoonhead.Endpoint, d ShapeDemand, settled bool, p *ShapePlan) {
	if service.Engine == nil {
		return
	}
	if !d.Known && service.Scaling != nil && service.Scaling.ReclaimablePrice > 0 {
		// Firm engines are about to be given back; what they become does not matter.
		living = slices.DeleteFunc(slices.Clone(living), func(e lagoonhead.Endpoint) bool { return e.Supply() == lagoonhead.SupplyFirm })
	} else if !settled {
		return
	}
	staged, prefill := s.staged(now, service, living)
	n := len(staged)
	if n < 2 {
		return
	}
	share := firstPrefillShare
	if d.Known && d.Prefill+d.Decode > 0 {
		share = d.Prefill / (d.Prefill + d.Decode)
	}
	want := min(max(1, int(math.Round(share*float64(n)))), n-1)
	p.Prefill = want
	off := want - prefill
	if d.Known && prefill > 0 && prefill < n && d.Prefill < calmUse*float64(prefill) && d.Decode < calmUse*float64(n-prefill) {
		return
	}
	most := n
	if d.Known {
		most = max(1, int(mostChanging*float64(n))) - s.changing(now, service)
	}
	from, to := lagoonhead.RoleDecode, lagoonhead.RolePrefill
	if off < 0 {
		from, to, off = to, from, -off
	}
	rest := roleRest * service.Engine.SwitchTime
	for range min(off, most) {
		i := s.richest(now, staged, from, rest)
		if i < 0 {
			return
		}
		p.Roles = append(p.Roles, RoleOrder{Engine: staged[i], Role: to})
		s.ordered[staged[i].ID()] = orderedRole{to, now}
		staged[i] = staged[i].WithRole(to)
	}
}

// changing returns the number of engines that are about to change or in change.
func (s *Shape) changing(now time.Duration, service *catalog.Service) int {
	n := 0
	for _, o := range s.ordered {
		if now-o.at < changeTime+service.Engine.SwitchTime {
			n++
		}
	}
	return n
}

// richest returns an engine with the role in the failure domain that has most of them,
// or -1. Engines that were ordered lately are left alone.
func (s *Shape) richest(now time.Duration, staged []lagoonhead.Endpoint, role lagoonhead.Role, rest time.Duration) int {
	count := make(map[lagoonhead.FailureDomain]int)
	for _, e := range staged {
		if e.Role() == role {
			count[e.FailureDomain()]++
		}
	}
	best := -1
	for i, e := range staged {
		if o, ok := s.ordered[e.ID()]; e.Role() != role || (ok && now-o.at < rest) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(count[e.FailureDomain()], count[staged[best].FailureDomain()]), cmp.Compare(staged[best].ID(), e.ID())) > 0 {
			best = i
		}
	}
	return best
}
