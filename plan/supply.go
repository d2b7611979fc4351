package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Pool is the set of endpoints of one kind of supply in one failure domain.
type Pool struct {
	FailureDomain lagoonhead.FailureDomain
	Supply        lagoonhead.Supply
	// Price is the price of one endpoint in units per hour.
	Price float64
	// Ready counts the endpoints that serve, Starting those that load their weights.
	Ready    int
	Starting int
	// Max is the maximum total; 0 means no limit.
	Max int
}

// Need is the demand for endpoints, measured in engines.
type Need struct {
	// Urgent is the work that has deadlines.
	Urgent float64
	// Deferrable is the work that may wait.
	Deferrable float64
}

// Total is the decision on the number of endpoints that one pool should have.
type Total struct {
	FailureDomain lagoonhead.FailureDomain
	Supply        lagoonhead.Supply
	Total         int
	Reason        string
}

const (
	// targetLoad is the utilization by urgent work to plan for.
	targetLoad = 0.6
	// reserveLoad is the utilization up to which deadlines are met after the loss of a
	// failure domain. It is below targetLoad, since the prefixes cached there are lost
	// too and the requests that ran there are retried.
	reserveLoad = 0.55
	// deferrableLoad is the utilization by deferrable work to plan for.
	deferrableLoad = 1
	// exhaustedFor is how long a pool counts as exhausted, so that no endpoint is ordered
	// from it, after it had none to give.
	exhaustedFor = 2 * time.Minute
	// holdDown is how long the demand must stay lower before a total is lowered.
	holdDown = 2 * time.Minute
	// slopeWindow is the time constant of the slow mean of the demand. The trend is
	// computed from the difference between it and the mean over demandSmoothing.
	slopeWindow = time.Minute
	// maxGrowth bounds the forecast, as a multiple of the present demand.
	maxGrowth = 1.5
)

// SupplyPlanner plans the totals of one model or service. It is not safe for concurrent
// use.
type SupplyPlanner struct {
	// BootTime is the time from the order of an endpoint until it serves.
	BootTime time.Duration
	// MaxLoading is the maximum number of endpoints that load weights at the same time,
	// since the bandwidth of the weight store is limited; 0 means no limit.
	MaxLoading int

	fastMean, slowMean float64
	sampledAt          time.Duration
	started            bool
	urgent             peak
	deferrable         peak
	exhausted          map[poolKey]time.Duration
}

type poolKey struct {
	domain lagoonhead.FailureDomain
	supply lagoonhead.Supply
}

// MarkExhausted records that the pool has no endpoint to give.
func (p *SupplyPlanner) MarkExhausted(now time.Duration, d lagoonhead.FailureDomain, s lagoonhead.Supply) {
	if p.exhausted == nil {
		p.exhausted = make(map[poolKey]time.Duration)
	}
	p.exhausted[poolKey{d, s}] = now
}

// forecast returns the urgent demand expected at the time when an endpoint ordered now
// begins to serve.
func (p *SupplyPlanner) forecast(now time.Duration, urgent float64) float64 {
	if !p.started {
		p.fastMean, p.slowMean, p.started = urgent, urgent, true
	}
	age := now - p.sampledAt
	p.sampledAt = now
	p.fastMean += weight(age, demandSmoothing) * (urgent - p.fastMean)
	p.slowMean += weight(age, slopeWindow) * (urgent - p.slowMean)
	// While the demand rises steadily, each mean lags behind it by its time constant.
	slope := (p.fastMean - p.slowMean) / (slopeWindow - demandSmoothing).Seconds()
	return min(max(p.fastMean, p.fastMean+slope*(p.BootTime+demandSmoothing).Seconds()), maxGrowth*p.fastMean)
}

// weight returns the weight of a new sample in an exponentially weighted mean, age after
// the previous sample.
func weight(age, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(age)/float64(constant))
}

// Plan returns the desired totals of all pools, in the order of pools.
func (p *SupplyPlanner) Plan(now time.Duration, n Need, pools []Pool) []Total {
	urgent := p.urgent.add(now, p.forecast(now, n.Urgent))
	deferrable := p.deferrable.add(now, n.Deferrable)
	available := p.available(now, pools)
	firm, reclaimable := split(urgent, deferrable, pools, available)
	wanted := make([]int, len(pools))
	for i, q := range pools {
		wanted[i] = q.Ready + q.Starting
	}
	runningFirm := count(pools, wanted, lagoonhead.SupplyFirm)
	runningReclaimable := count(pools, wanted, lagoonhead.SupplyReclaimable)
	readyFirm, _ := ready(pools, lagoonhead.SupplyFirm)
	readyReclaimable, maxInDomain := ready(pools, lagoonhead.SupplyReclaimable)
	// An endpoint that is replaced stays until its replacement has loaded its weights.
	all, safe := needed(urgent, deferrable)
	firm = max(firm, min(runningFirm, max(all-readyReclaimable, safe-(readyReclaimable-maxInDomain))))
	reclaimable = max(reclaimable, min(runningReclaimable, all-readyFirm))
	budget := p.loadBudget(pools)
	adjust(pools, available, wanted, lagoonhead.SupplyFirm, firm, &budget)
	adjust(pools, available, wanted, lagoonhead.SupplyReclaimable, reclaimable, &budget)
	reason := fmt.Sprintf("urgent demand %.1f (planned for %.1f) and deferrable demand %.1f, in engines: %d firm, %d reclaimable",
		n.Urgent, urgent, n.Deferrable, firm, reclaimable)
	totals := make([]Total, len(pools))
	for i, q := range pools {
		totals[i] = Total{q.FailureDomain, q.Supply, wanted[i], reason + poolNote(q, available[i], wanted[i])}
	}
	return totals
}

func poolNote(q Pool, available bool, wanted int) string {
	if !available {
		return "; this pool is exhausted or at its limit"
	}
	if d := wanted - q.Ready - q.Starting; d != 0 {
		return fmt.Sprintf("; %+d in this pool", d)
	}
	return ""
}

// peak is the highest value within the last holdDown. It keeps only the samples that can
// still become the highest, so their values decrease.
type peak struct{ samples []sample }

type sample struct {
	at    time.Duration
	value float64
}

// add adds a value and returns the peak.
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

// ready returns how many endpoints of a kind of supply serve, and the maximum in one
// failure domain.
func ready(pools []Pool, s lagoonhead.Supply) (n, maxInDomain int) {
	for _, q := range pools {
		if q.Supply == s {
			n += q.Ready
			maxInDomain = max(maxInDomain, q.Ready)
		}
	}
	return n, maxInDomain
}

// available reports for each pool whether it can give more endpoints.
func (p *SupplyPlanner) available(now time.Duration, pools []Pool) []bool {
	available := make([]bool, len(pools))
	for i, q := range pools {
		at, failedBefore := p.exhausted[poolKey{q.FailureDomain, q.Supply}]
		available[i] = (!failedBefore || now-at >= exhaustedFor) && (q.Max == 0 || q.Ready+q.Starting < q.Max)
	}
	return available
}

// loadBudget returns how many more endpoints may start to load weights now.
func (p *SupplyPlanner) loadBudget(pools []Pool) int {
	if p.MaxLoading == 0 {
		return math.MaxInt
	}
	n := p.MaxLoading
	for _, q := range pools {
		n -= q.Starting
	}
	return max(n, 0)
}

// needed returns the number of endpoints to serve all the work, and the minimum number
// that still meets the deadlines.
func needed(urgent, deferrable float64) (all, safe int) {
	return int(math.Ceil(urgent/targetLoad + deferrable/deferrableLoad)), int(math.Ceil(urgent / reserveLoad))
}

// split returns the cheapest numbers of firm and reclaimable endpoints that serve
// the work and still meet the deadlines after all reclaimable ones of one failure domain
// are lost.
func split(urgent, deferrable float64, pools []Pool, available []bool) (firm, reclaimable int) {
	all, safe := needed(urgent, deferrable)
	domains, capacity := reclaimableCapacity(pools, available)
	firmPrice, reclaimablePrice := price(pools, lagoonhead.SupplyFirm), price(pools, lagoonhead.SupplyReclaimable)
	lowestCost := math.Inf(1)
	for r := 0; r <= min(capacity, 2*all); r++ {
		lost := 0
		if domains > 0 {
			lost = (r + domains - 1) / domains
		}
		f := max(all-r, safe-(r-lost), 0)
		if cost := float64(f)*firmPrice + float64(r)*reclaimablePrice; cost < lowestCost {
			firm, reclaimable, lowestCost = f, r, cost
		}
	}
	return firm, reclaimable
}

// reclaimableCapacity returns the number of failure domains that run reclaimable
// endpoints or can give some, and the maximum number of such endpoints in all of them.
func reclaimableCapacity(pools []Pool, available []bool) (domains, capacity int) {
	const unbounded = 1 << 20
	for i, q := range pools {
		if q.Supply != lagoonhead.SupplyReclaimable || (!available[i] && q.Ready+q.Starting == 0) {
			continue
		}
		domains++
		switch {
		case !available[i]:
			capacity += q.Ready + q.Starting
		case q.Max > 0:
			capacity += q.Max
		default:
			capacity += unbounded
		}
	}
	return domains, capacity
}

// price returns the mean price of a kind of supply over its pools.
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

// adjust brings the sum of the wanted totals of a kind of supply to the target, one
// endpoint at a time: it raises the lowest total and lowers the highest. budget is the
// number of endpoints that may still be added, for all kinds together.
func adjust(pools []Pool, available []bool, wanted []int, s lagoonhead.Supply, target int, budget *int) {
	var matching []int
	for i, q := range pools {
		if q.Supply == s {
			matching = append(matching, i)
		}
	}
	for count(pools, wanted, s) < target && *budget > 0 {
		candidates := slices.DeleteFunc(slices.Clone(matching), func(i int) bool {
			return !available[i] || (pools[i].Max > 0 && wanted[i] >= pools[i].Max)
		})
		if len(candidates) == 0 {
			return
		}
		wanted[slices.MinFunc(candidates, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })]++
		*budget--
	}
	for count(pools, wanted, s) > target {
		wanted[slices.MaxFunc(matching, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })]--
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
