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
	// firstPrefillShare is the part of the engines that prefill before any load was
	// seen. Empty caches make the first seconds heavy in prefill.
	firstPrefillShare = 0.6
	// demandHorizon smooths the demand. A shorter one would follow swings that are over
	// before a change of role is done.
	demandHorizon = 8 * time.Second
	// fullBatch is the part of its slots at which a decoding engine counts as busy. Above
	// it each further request slows the others by more than it gains.
	fullBatch = 0.5
	// clearTime is the time in which prompts that wait shall be read. It is about the time
	// in which callers want their first event.
	clearTime = time.Second
	// targetUse is the part of the engines' time that the demand may take, so that a
	// burst of twice the load still fits.
	targetUse = 0.45
	// roleRest is how long after its last order an engine keeps its role, in changes of
	// role.
	roleRest = 4
	// calmUse is the use of both roles below which none is changed: a change takes an
	// engine out, and with it what its cache holds.
	calmUse = 0.8
	// changeTime is how long an engine takes to begin a change: the order is announced
	// first, and what runs there ends.
	changeTime = 2 * time.Second
	// mostChanging is the part of the engines that may change their role at a time while
	// there is load.
	mostChanging = 0.2
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

// ShapeDemand is the load on a service, counted in engines.
type ShapeDemand struct {
	// Prefill and Decode are the engines that the load keeps busy.
	Prefill, Decode float64
	// Known is false before any load was seen.
	Known bool
}

// DemandMeter turns samples of the work into a smoothed demand.
type DemandMeter struct {
	from, at time.Duration
	sent     int64
	sentRun  int64
	demand   ShapeDemand
	started  bool
}

// WorkSample is the work on a service at one time.
type WorkSample struct {
	// Sent counts the tokens sent for prefill so far, SentToRun the prompt tokens read
	// where the request runs.
	Sent, SentToRun int64
	// Backlog is the tokens that wait for prefill, Rate the speed of prefill in tokens
	// per second.
	Backlog int
	Rate    float64
	// Running counts the requests that decode, Slots those that one engine can run.
	Running, Slots int
}

// Observe takes a sample and returns the demand.
func (m *DemandMeter) Observe(now time.Duration, s WorkSample) ShapeDemand {
	passed := now - m.at
	if m.started && passed > 0 && s.Rate > 0 {
		perSecond := float64(max(0, s.Sent-m.sent)) / passed.Seconds()
		runPerSecond := float64(max(0, s.SentToRun-m.sentRun)) / passed.Seconds()
		prefill := perSecond/s.Rate + float64(s.Backlog)/s.Rate/clearTime.Seconds()
		decode := float64(s.Running) / (fullBatch * float64(max(1, s.Slots)))
		perSecond += runPerSecond
		if !m.demand.Known && perSecond > 0 {
			m.demand.Known, m.from = true, m.at
		}
		// Until a horizon has passed, the mean of all samples.
		w := max(1-math.Exp(-float64(passed)/float64(demandHorizon)), float64(passed)/float64(now-m.from))
		m.demand.Prefill += w * (prefill - m.demand.Prefill)
		m.demand.Decode += w * (decode - m.demand.Decode)
	}
	m.started, m.at, m.sent, m.sentRun = true, now, s.Sent, s.SentToRun
	return m.demand
}

type pool struct {
	domain lagoonhead.FailureDomain
	supply lagoonhead.Supply
}

type poolState struct {
	ordered   int
	orderedAt time.Duration
	dryUntil  time.Duration
	known     bool
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
	// Wanted is the number of engines, Prefill the number of those that prefill.
	Wanted, Prefill int
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
	} else {
		p.Wanted = len(living)
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
	p.Wanted = want
	targets := s.spread(now, sc, domains, want)
	spare := len(living) - max(s.found, want*(n-1)/n)
	if !settled {
		spare = 0
	}
	for _, id := range domains {
		for _, supply := range []lagoonhead.Supply{lagoonhead.SupplyReclaimable, lagoonhead.SupplyFirm} {
			k := pool{id, supply}
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
			if o, ok := s.order(now, sc, k, have[k], targets[k]); ok {
				o.Serves = service.Name
				p.Totals = append(p.Totals, o)
			}
		}
	}
}

// spread divides the wanted engines over the pools: the least number firm, the rest
// reclaimable where there are any, evenly over the domains, the cheaper ones first.
func (s *Shape) spread(now time.Duration, sc *catalog.Scaling, domains []lagoonhead.FailureDomain, want int) map[pool]int {
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
			} else if st := s.pools[cheap]; st != nil && now < st.dryUntil {
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

// order returns the order for one pool, if one is due.
func (s *Shape) order(now time.Duration, sc *catalog.Scaling, k pool, have, target int) (lagoonhead.TotalOrder, bool) {
	st := s.pools[k]
	if st == nil {
		st = &poolState{ordered: have}
		s.pools[k] = st
	}
	if now < st.dryUntil {
		return lagoonhead.TotalOrder{}, false
	}
	late := st.known && have < st.ordered && now-st.orderedAt > sc.BootTime+orderRepeat
	if target == st.ordered && !late {
		return lagoonhead.TotalOrder{}, false
	}
	st.ordered, st.orderedAt, st.known = target, now, true
	return lagoonhead.TotalOrder{FailureDomain: k.domain, Supply: k.supply, Total: target}, true
}

// Failed tells that an order for a pool was not taken. exhausted means that the failure
// domain has none to give at the moment.
func (s *Shape) Failed(now time.Duration, o lagoonhead.TotalOrder, exhausted bool) {
	st := s.pools[pool{o.FailureDomain, o.Supply}]
	if st == nil {
		return
	}
	st.ordered = -1
	if exhausted {
		st.dryUntil = now + dryTime
	}
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
		most = max(1, int(mostChanging*float64(n)))
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
