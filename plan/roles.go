package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Work is demand in engines.
type Work struct {
	Prefill float64
	Decode  float64
}

// Engine is one engine as the planner of roles sees it.
type Engine struct {
	ID            lagoonhead.EndpointID
	FailureDomain lagoonhead.FailureDomain
	// Role is the wanted role, which a changing engine does not have yet.
	Role lagoonhead.Role
	// Changing engines are out of service for a change of their role.
	Changing bool
	// Fixed engines never change.
	Fixed bool
}

// RoleChange is a decision on one engine.
type RoleChange struct {
	Engine lagoonhead.EndpointID
	From   lagoonhead.Role
	To     lagoonhead.Role
	Reason string
}

const (
	// mixedEfficiency is what a mixed engine does in comparison with one that only
	// prefills or only decodes.
	mixedEfficiency = 0.85
	// smoothing is the time constant of the mean of the demand.
	smoothing = 15 * time.Second
	// comfortable is the utilization below which roles stay as they are.
	comfortable = 0.6
	// leastGain is the drop of utilization that a change must bring.
	leastGain = 0.05
	// payOff is how many times the gain must exceed the loss. Demand is known only
	// roughly, a change that is taken back costs twice, and the drain takes capacity
	// when it is short. 2 changed roles 12 to 14 times in six minutes of a mix that
	// turned back each minute.
	payOff = 6
	// firstStay is the expected time between reversals of the mix before any was seen.
	firstStay = 3 * time.Minute
	// turnSize is the move of the prefill share that counts as a reversal.
	turnSize = 0.1
	// settle is the least time between two changes in a failure domain.
	settle = 20 * time.Second
)

// Roles plans the roles of the engines of one model. It is not safe for concurrent
// use.
type Roles struct {
	// OutFor is the time that a change takes an engine out of service, drain
	// included.
	OutFor time.Duration

	demand  Work
	seenAt  time.Duration
	started bool
	turns   turns
	changed map[lagoonhead.FailureDomain]time.Duration
}

// Observe takes the demand of now.
func (p *Roles) Observe(now time.Duration, w Work) {
	if !p.started {
		p.demand, p.started = w, true
		p.turns.begin(now, share(w))
	}
	k := weight(now-p.seenAt, smoothing)
	p.seenAt = now
	p.demand.Prefill += k * (w.Prefill - p.demand.Prefill)
	p.demand.Decode += k * (w.Decode - p.demand.Decode)
	p.turns.observe(now, share(p.demand))
}

// share returns the prefill share of the work.
func share(w Work) float64 {
	if w.Prefill+w.Decode == 0 {
		return 0.5
	}
	return w.Prefill / (w.Prefill + w.Decode)
}

// counts is the number of engines by role.
type counts map[lagoonhead.Role]float64

// utilization returns the load of the busiest phase when mixed engines are steered
// to where they are needed.
func (c counts) utilization(w Work) float64 {
	mixed := mixedEfficiency * c[lagoonhead.RoleMixed]
	prefill, decode := c[lagoonhead.RolePrefill], c[lagoonhead.RoleDecode]
	return max(
		load(w.Prefill, prefill+mixed),
		load(w.Decode, decode+mixed),
		load(w.Prefill+w.Decode, prefill+decode+mixed),
	)
}

func load(work, engines float64) float64 {
	if work <= 0 {
		return 0
	}
	if engines <= 0 {
		return math.Inf(1)
	}
	return work / engines
}

// with returns a copy in which one engine has another role.
func (c counts) with(from, to lagoonhead.Role) counts {
	d := counts{from: -1, to: 1}
	for r, n := range c {
		d[r] += n
	}
	return d
}

// Plan returns the changes to begin now, at most one per failure domain.
func (p *Roles) Plan(now time.Duration, engines []Engine) []RoleChange {
	c := counts{}
	busy := make(map[lagoonhead.FailureDomain]bool)
	for _, e := range engines {
		c[e.Role]++
		if e.Changing {
			busy[e.FailureDomain] = true
		}
	}
	if p.changed == nil {
		p.changed = make(map[lagoonhead.FailureDomain]time.Duration)
	}
	var list []RoleChange
	for _, e := range engines {
		at, ever := p.changed[e.FailureDomain]
		if busy[e.FailureDomain] || e.Fixed || (ever && now-at < settle) {
			continue
		}
		to, reason := p.better(now, c, e.Role, len(engines))
		if to == "" {
			continue
		}
		list = append(list, RoleChange{Engine: e.ID, From: e.Role, To: to, Reason: reason})
		c = c.with(e.Role, to)
		busy[e.FailureDomain] = true
		p.changed[e.FailureDomain] = now
	}
	return list
}

// better returns the role that an engine of the given role should get instead, or
// an empty one.
func (p *Roles) better(now time.Duration, c counts, from lagoonhead.Role, engines int) (to lagoonhead.Role, reason string) {
	before := c.utilization(p.demand)
	if before < comfortable {
		return "", ""
	}
	least := before - leastGain
	for _, r := range []lagoonhead.Role{lagoonhead.RolePrefill, lagoonhead.RoleDecode, lagoonhead.RoleMixed} {
		if u := c.with(from, r).utilization(p.demand); r != from && u < least {
			least, to = u, r
		}
	}
	if to == "" {
		return "", ""
	}
	// A phase without engines has no bound; its loss is the whole fleet.
	gain := (min(before, 2) - least) * float64(engines)
	stay := p.turns.stay(now)
	loss := p.OutFor.Seconds()
	if gain*stay.Seconds() < payOff*loss {
		return "", ""
	}
	return to, fmt.Sprintf("utilization %.2f to %.2f (prefill %.1f, decode %.1f engines), expected stay %v, %v out of service",
		before, least, p.demand.Prefill, p.demand.Decode, stay.Round(time.Second), p.OutFor)
}

// turns estimates how long the mix moves on before it turns back.
type turns struct {
	high, low float64
	rising    bool
	at        time.Duration
	interval  time.Duration
}

func (t *turns) begin(now time.Duration, share float64) {
	*t = turns{high: share, low: share, at: now, interval: firstStay}
}

// observe notes a reversal when the share has moved back by turnSize from its
// newest extreme.
func (t *turns) observe(now time.Duration, share float64) {
	t.high, t.low = max(t.high, share), min(t.low, share)
	switch {
	case t.rising && share < t.high-turnSize:
		t.turn(now, share)
	case !t.rising && share > t.low+turnSize:
		t.turn(now, share)
	}
}

func (t *turns) turn(now time.Duration, share float64) {
	t.interval = (t.interval + 2*(now-t.at)) / 3
	t.rising = !t.rising
	t.high, t.low, t.at = share, share, now
}

// stay returns the expected time until the next reversal.
func (t *turns) stay(now time.Duration) time.Duration {
	return max(t.interval-(now-t.at), t.interval/4)
}
