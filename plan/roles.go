package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Work is the demand, measured in engines.
type Work struct {
	Prefill float64
	Decode  float64
}

// Engine is the state of one engine that RolePlanner needs to plan.
type Engine struct {
	ID            lagoonhead.EndpointID
	FailureDomain lagoonhead.FailureDomain
	// Role is the desired role; an engine that is changing does not have it yet.
	Role lagoonhead.Role
	// Changing is true while the engine is out of service for a change of its role.
	Changing bool
	// Fixed is true if the role of the engine must not change.
	Fixed bool
}

// RoleChange is the decision to change the role of one engine.
type RoleChange struct {
	Engine lagoonhead.EndpointID
	From   lagoonhead.Role
	To     lagoonhead.Role
	Reason string
}

const (
	// mixedEfficiency is the throughput of a mixed engine relative to one that only
	// prefills or only decodes.
	mixedEfficiency = 0.85
	// demandSmoothing is the time constant of the exponential mean of the demand.
	demandSmoothing = 15 * time.Second
	// lowUtilization is the utilization below which no role changes.
	lowUtilization = 0.6
	// minGain is the drop of utilization that a change must achieve.
	minGain = 0.05
	// minPayoff is the minimum ratio of the gain of a change to its loss. The demand is
	// only an estimate, a change that is reverted costs twice, and the drain removes
	// capacity while it is scarce. With a ratio of 2, roles changed 12 to 14 times in
	// six minutes of a mix that reversed each minute.
	minPayoff = 6
	// initialReversalInterval is the expected time between reversals of the mix until one
	// has been observed.
	initialReversalInterval = 3 * time.Minute
	// reversalThreshold is the change of the prefill share that counts as a reversal.
	reversalThreshold = 0.1
	// minChangeInterval is the minimum time between two changes in a failure domain.
	minChangeInterval = 20 * time.Second
)

// RolePlanner plans the roles of the engines of one model. It is not safe for concurrent
// use.
type RolePlanner struct {
	// OutageTime is how long an engine is out of service for a change, including the
	// drain.
	OutageTime time.Duration

	demand    Work
	sampledAt time.Duration
	started   bool
	reversals reversals
	// changed holds the time of the last change in each failure domain.
	changed map[lagoonhead.FailureDomain]time.Duration
}

// Observe adds a sample of the demand taken at now.
func (p *RolePlanner) Observe(now time.Duration, w Work) {
	if !p.started {
		p.demand, p.started = w, true
		p.reversals.begin(now, share(w))
	}
	k := weight(now-p.sampledAt, demandSmoothing)
	p.sampledAt = now
	p.demand.Prefill += k * (w.Prefill - p.demand.Prefill)
	p.demand.Decode += k * (w.Decode - p.demand.Decode)
	p.reversals.observe(now, share(p.demand))
}

// share returns the prefill share of the work.
func share(w Work) float64 {
	if w.Prefill+w.Decode == 0 {
		return 0.5
	}
	return w.Prefill / (w.Prefill + w.Decode)
}

// counts holds the number of engines by role.
type counts map[lagoonhead.Role]float64

// utilization returns the utilization of the busier phase if mixed engines are given to
// the phase that needs them.
func (c counts) utilization(w Work) float64 {
	mixed := mixedEfficiency * c[lagoonhead.RoleMixed]
	prefill, decode := c[lagoonhead.RolePrefill], c[lagoonhead.RoleDecode]
	return max(
		load(w.Prefill, prefill+mixed),
		load(w.Decode, decode+mixed),
		load(w.Prefill+w.Decode, prefill+decode+mixed),
	)
}

// load returns the utilization of the engines by the work, infinite without engines.
func load(work, engines float64) float64 {
	if work <= 0 {
		return 0
	}
	if engines <= 0 {
		return math.Inf(1)
	}
	return work / engines
}

// with returns a copy in which one engine has the role to instead of from.
func (c counts) with(from, to lagoonhead.Role) counts {
	d := counts{from: -1, to: 1}
	for r, n := range c {
		d[r] += n
	}
	return d
}

// Plan returns the changes to start now, at most one per failure domain.
func (p *RolePlanner) Plan(now time.Duration, engines []Engine) []RoleChange {
	c := counts{}
	changing := make(map[lagoonhead.FailureDomain]bool)
	for _, e := range engines {
		c[e.Role]++
		if e.Changing {
			changing[e.FailureDomain] = true
		}
	}
	if p.changed == nil {
		p.changed = make(map[lagoonhead.FailureDomain]time.Duration)
	}
	var list []RoleChange
	for _, e := range engines {
		at, changedBefore := p.changed[e.FailureDomain]
		if changing[e.FailureDomain] || e.Fixed || (changedBefore && now-at < minChangeInterval) {
			continue
		}
		to, reason := p.betterRole(now, c, e.Role, len(engines))
		if to == "" {
			continue
		}
		list = append(list, RoleChange{Engine: e.ID, From: e.Role, To: to, Reason: reason})
		c = c.with(e.Role, to)
		changing[e.FailureDomain] = true
		p.changed[e.FailureDomain] = now
	}
	return list
}

// betterRole returns the role that an engine with the role from should get instead, or
// an empty one if it should keep its role.
func (p *RolePlanner) betterRole(now time.Duration, c counts, from lagoonhead.Role, engines int) (to lagoonhead.Role, reason string) {
	before := c.utilization(p.demand)
	if before < lowUtilization {
		return "", ""
	}
	lowest := before - minGain
	for _, r := range []lagoonhead.Role{lagoonhead.RolePrefill, lagoonhead.RoleDecode, lagoonhead.RoleMixed} {
		if u := c.with(from, r).utilization(p.demand); r != from && u < lowest {
			lowest, to = u, r
		}
	}
	if to == "" {
		return "", ""
	}
	// Without engines for a phase the utilization is infinite. It counts as 2, so that the
	// gain is at most about the whole fleet.
	gain := (min(before, 2) - lowest) * float64(engines)
	remaining := p.reversals.remaining(now)
	loss := p.OutageTime.Seconds()
	if gain*remaining.Seconds() < minPayoff*loss {
		return "", ""
	}
	return to, fmt.Sprintf("utilization %.2f to %.2f (prefill %.1f, decode %.1f engines), expected stay %v, %v out of service",
		before, lowest, p.demand.Prefill, p.demand.Decode, remaining.Round(time.Second), p.OutageTime)
}

// reversals tracks the prefill share and estimates how long it keeps moving in one
// direction before it reverses.
type reversals struct {
	high, low float64 // extremes of the share since the last reversal
	rising    bool
	lastAt    time.Duration // time of the last reversal
	interval  time.Duration // weighted mean of the time between reversals
}

func (r *reversals) begin(now time.Duration, share float64) {
	*r = reversals{high: share, low: share, lastAt: now, interval: initialReversalInterval}
}

// observe records a reversal when the share has moved back by reversalThreshold from
// its last extreme.
func (r *reversals) observe(now time.Duration, share float64) {
	r.high, r.low = max(r.high, share), min(r.low, share)
	switch {
	case r.rising && share < r.high-reversalThreshold:
		r.reverse(now, share)
	case !r.rising && share > r.low+reversalThreshold:
		r.reverse(now, share)
	}
}

func (r *reversals) reverse(now time.Duration, share float64) {
	r.interval = (r.interval + 2*(now-r.lastAt)) / 3
	r.rising = !r.rising
	r.high, r.low, r.lastAt = share, share, now
}

// remaining returns the expected time until the next reversal. It is at least a quarter
// of the mean interval.
func (r *reversals) remaining(now time.Duration) time.Duration {
	return max(r.interval-(now-r.lastAt), r.interval/4)
}
