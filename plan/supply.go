package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Pool is what runs of one kind of supply in one failure domain.
type Pool struct {
	FailureDomain lagoonhead.FailureDomain
	Supply        lagoonhead.Supply
	// Price of one endpoint in units per hour.
	Price float64
	// Ready endpoints serve; Starting ones load their weights.
	Ready    int
	Starting int
	// Most bounds the total; 0 means no bound.
	Most int
}

// Need is the demand for endpoints, in engines.
type Need struct {
	// Urgent work has deadlines.
	Urgent float64
	// Deferrable work may wait.
	Deferrable float64
}

// Total is a decision: the number of endpoints wanted of one pool.
type Total struct {
	FailureDomain lagoonhead.FailureDomain
	Supply        lagoonhead.Supply
	Total         int
	Reason        string
}

const (
	// targetLoad is the utilization that the totals aim at.
	targetLoad = 0.6
	// reserveLoad is the utilization up to which deadlines hold after the loss of a
	// failure domain. It is below targetLoad, since the prefixes cached there are lost
	// too and what was running is repeated.
	reserveLoad = 0.55
	// deferrableLoad is the utilization by deferrable work, which may wait.
	deferrableLoad = 1
	// exhaustedFor is how long a pool that had none to give is not asked again.
	exhaustedFor = 2 * time.Minute
	// holdDown is how long the demand must have been lower before a total is lowered.
	holdDown = 2 * time.Minute
	// slopeWindow is the time constant of the slow mean of the demand. The trend is
	// the difference between it and the mean over smoothing.
	slopeWindow = time.Minute
	// mostGrowth bounds the forecast.
	mostGrowth = 1.5
)

// Supplies plans the totals of one model or service. It is not safe for concurrent
// use.
type Supplies struct {
	// LoadFor is the time from an order until the endpoint serves.
	LoadFor time.Duration
	// MostLoading bounds the endpoints that load weights at the same time, since the
	// weight store is limited in rate; 0 means no bound.
	MostLoading int

	fast, slow float64
	seenAt     time.Duration
	started    bool
	urgent     peak
	deferrable peak
	exhausted  map[poolKey]time.Duration
}

type poolKey struct {
	domain lagoonhead.FailureDomain
	supply lagoonhead.Supply
}

// Exhausted tells that the pool has no endpoint to give.
func (p *Supplies) Exhausted(now time.Duration, d lagoonhead.FailureDomain, s lagoonhead.Supply) {
	if p.exhausted == nil {
		p.exhausted = make(map[poolKey]time.Duration)
	}
	p.exhausted[poolKey{d, s}] = now
}

// forecast returns the urgent demand expected when an endpoint ordered now serves.
func (p *Supplies) forecast(now time.Duration, urgent float64) float64 {
	if !p.started {
		p.fast, p.slow, p.started = urgent, urgent, true
	}
	age := now - p.seenAt
	p.seenAt = now
	p.fast += weight(age, smoothing) * (urgent - p.fast)
	p.slow += weight(age, slopeWindow) * (urgent - p.slow)
	// In a steady ramp a mean lags by its time constant.
	slope := (p.fast - p.slow) / (slopeWindow - smoothing).Seconds()
	return min(max(p.fast, p.fast+slope*(p.LoadFor+smoothing).Seconds()), mostGrowth*p.fast)
}

// weight returns the weight of a sample after age in a mean with a time constant.
func weight(age, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(age)/float64(constant))
}

// Plan returns the wanted totals of all pools, in their order.
func (p *Supplies) Plan(now time.Duration, n Need, pools []Pool) []Total {
	urgent := p.urgent.add(now, p.forecast(now, n.Urgent))
	deferrable := p.deferrable.add(now, n.Deferrable)
	open := p.open(now, pools)
	firm, cheap := split(urgent, deferrable, pools, open)
	wanted := make([]int, len(pools))
	for i, q := range pools {
		wanted[i] = q.Ready + q.Starting
	}
	runningFirm := count(pools, wanted, lagoonhead.SupplyFirm)
	runningCheap := count(pools, wanted, lagoonhead.SupplyReclaimable)
	readyFirm, _ := ready(pools, lagoonhead.SupplyFirm)
	readyCheap, mostInOne := ready(pools, lagoonhead.SupplyReclaimable)
	// What is replaced stays until the replacement has loaded its weights.
	all, safe := needed(urgent, deferrable)
	firm = max(firm, min(runningFirm, max(all-readyCheap, safe-(readyCheap-mostInOne))))
	cheap = max(cheap, min(runningCheap, all-readyFirm))
	left := p.loading(pools)
	move(pools, open, wanted, lagoonhead.SupplyFirm, firm, &left)
	move(pools, open, wanted, lagoonhead.SupplyReclaimable, cheap, &left)
	reason := fmt.Sprintf("urgent %.1f (to plan for %.1f) and deferrable %.1f engines of work: %d firm, %d reclaimable",
		n.Urgent, urgent, n.Deferrable, firm, cheap)
	totals := make([]Total, len(pools))
	for i, q := range pools {
		totals[i] = Total{q.FailureDomain, q.Supply, wanted[i], reason + note(q, open[i], wanted[i])}
	}
	return totals
}

func note(q Pool, open bool, wanted int) string {
	if !open {
		return "; none to be had here"
	}
	if d := wanted - q.Ready - q.Starting; d != 0 {
		return fmt.Sprintf("; %+d here", d)
	}
	return ""
}

// peak is the highest value of the last holdDown. The samples fall from the first
// to the last.
type peak struct{ samples []sample }

type sample struct {
	at    time.Duration
	value float64
}

// add takes a value and returns the peak.
func (p *peak) add(now time.Duration, v float64) float64 {
	for n := len(p.samples); n > 0 && p.samples[n-1].value <= v; n = len(p.samples) {
		p.samples = p.samples[:n-1]
	}
	p.samples = append(p.samples, sample{now, v})
	for now-p.samples[0].at >= holdDown {
		p.samples = p.samples[1:]
	}
	return p.samples[0].value
}

// ready returns how many endpoints of a kind serve, and the most of them in one
// failure domain.
func ready(pools []Pool, s lagoonhead.Supply) (n, most int) {
	for _, q := range pools {
		if q.Supply == s {
			n += q.Ready
			most = max(most, q.Ready)
		}
	}
	return n, most
}

// open reports which pools can give endpoints.
func (p *Supplies) open(now time.Duration, pools []Pool) []bool {
	open := make([]bool, len(pools))
	for i, q := range pools {
		at, ever := p.exhausted[poolKey{q.FailureDomain, q.Supply}]
		open[i] = (!ever || now-at >= exhaustedFor) && (q.Most == 0 || q.Ready+q.Starting < q.Most)
	}
	return open
}

// loading returns how many more endpoints may start now.
func (p *Supplies) loading(pools []Pool) int {
	if p.MostLoading == 0 {
		return math.MaxInt
	}
	n := p.MostLoading
	for _, q := range pools {
		n -= q.Starting
	}
	return max(n, 0)
}

// needed returns the number of endpoints that serve the work, and the least number
// that keeps the deadlines.
func needed(urgent, deferrable float64) (all, safe int) {
	return int(math.Ceil(urgent/targetLoad + deferrable/deferrableLoad)), int(math.Ceil(urgent / reserveLoad))
}

// split returns the cheapest numbers of firm and reclaimable endpoints that serve
// the work and, without a whole failure domain of reclaimable ones, still keep the
// deadlines.
func split(urgent, deferrable float64, pools []Pool, open []bool) (firm, cheap int) {
	all, safe := needed(urgent, deferrable)
	domains, room := reclaimable(pools, open)
	firmPrice, cheapPrice := price(pools, lagoonhead.SupplyFirm), price(pools, lagoonhead.SupplyReclaimable)
	least := math.Inf(1)
	for r := 0; r <= min(room, 2*all); r++ {
		lost := 0
		if domains > 0 {
			lost = (r + domains - 1) / domains
		}
		f := max(all-r, safe-(r-lost), 0)
		if cost := float64(f)*firmPrice + float64(r)*cheapPrice; cost < least {
			firm, cheap, least = f, r, cost
		}
	}
	return firm, cheap
}

// reclaimable returns the number of failure domains that give or run reclaimable
// endpoints and how many there can be.
func reclaimable(pools []Pool, open []bool) (domains, room int) {
	const unbounded = 1 << 20
	for i, q := range pools {
		if q.Supply != lagoonhead.SupplyReclaimable || (!open[i] && q.Ready+q.Starting == 0) {
			continue
		}
		domains++
		switch {
		case !open[i]:
			room += q.Ready + q.Starting
		case q.Most > 0:
			room += q.Most
		default:
			room += unbounded
		}
	}
	return domains, room
}

// price returns the mean price of a kind of supply.
func price(pools []Pool, s lagoonhead.Supply) float64 {
	total, n := 0.0, 0
	for _, q := range pools {
		if q.Supply == s {
			total += q.Price
			n++
		}
	}
	return total / float64(max(n, 1))
}

// move brings the wanted totals of a kind to the target, one endpoint at a time: up
// where the fewest run, down where the most do.
func move(pools []Pool, open []bool, wanted []int, s lagoonhead.Supply, target int, left *int) {
	var mine []int
	for i, q := range pools {
		if q.Supply == s {
			mine = append(mine, i)
		}
	}
	for count(pools, wanted, s) < target && *left > 0 {
		can := slices.DeleteFunc(slices.Clone(mine), func(i int) bool {
			return !open[i] || (pools[i].Most > 0 && wanted[i] >= pools[i].Most)
		})
		if len(can) == 0 {
			return
		}
		wanted[slices.MinFunc(can, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })]++
		*left--
	}
	for count(pools, wanted, s) > target {
		wanted[slices.MaxFunc(mine, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })]--
	}
}

func count(pools []Pool, wanted []int, s lagoonhead.Supply) int {
	n := 0
	for i, q := range pools {
		if q.Supply == s {
			n += wanted[i]
		}
	}
	return n
}
