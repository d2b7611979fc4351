package main

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/plan"
)

const (
	// orderInterval is the time between two runs of the orderer.
	orderInterval = 10 * time.Second
	// loadTime is the time from an order until the engine has loaded its weights.
	loadTime = 40 * time.Second
	// maxLoading is the number of engines that the planner lets load weights at once.
	maxLoading = 4
	// The prices of one engine in units per hour.
	firmPrice        = 3.0
	reclaimablePrice = 1.0
	// At reclaimAt the platform takes back all reclaimable engines of reclaimDomain,
	// and gives none there for reclaimDuration.
	reclaimAt       = 200 * time.Second
	reclaimDuration = 90 * time.Second
	reclaimDomain   = lagoonhead.FailureDomain("c")
	// firmOnlyDomain never has reclaimable engines.
	firmOnlyDomain = lagoonhead.FailureDomain("b")
)

// orderer decides how many engines each pool has. A pool is one kind of supply in one
// failure domain.
type orderer interface {
	MarkExhausted(now time.Duration, d lagoonhead.FailureDomain, s lagoonhead.Supply)
	Plan(now time.Duration, n plan.Need, pools []plan.Pool) []plan.Total
}

// supply simulates the platform's interface for ordering engines and the daemon's task
// that calls it.
type supply struct {
	sim     *sim
	orderer orderer
	// kinds are the kinds of supply that are ordered.
	kinds []lagoonhead.Supply
	// cost is the sum of prices over time since the warm-up, in units.
	cost float64
}

// startSupply schedules the orders, the sum of costs and the reclaim.
func (s *sim) startSupply(o orderer, kinds ...lagoonhead.Supply) {
	s.supply = &supply{sim: s, orderer: o, kinds: kinds}
	s.after(orderInterval, s.supply.order)
	s.after(time.Second, s.supply.addCost)
	s.after(reclaimAt, s.supply.reclaim)
}

// addCost adds the price of one second of all engines, every second.
func (u *supply) addCost() {
	u.sim.after(time.Second, u.addCost)
	if u.sim.now < u.sim.warmUp || u.sim.now >= u.sim.length {
		return
	}
	for _, e := range u.sim.engines {
		if !e.removed {
			u.cost += e.endpoint.Price() / time.Hour.Seconds()
		}
	}
}

// reclaim kills all reclaimable engines of reclaimDomain without notice.
func (u *supply) reclaim() {
	for _, e := range u.sim.engines {
		if !e.removed && e.endpoint.FailureDomain() == reclaimDomain && e.endpoint.Supply() == lagoonhead.SupplyReclaimable {
			e.removed = true
			u.sim.kill(e)
		}
	}
}

// unavailable reports whether the platform cannot give an engine of the pool.
func (u *supply) unavailable(d lagoonhead.FailureDomain, s lagoonhead.Supply) bool {
	if s != lagoonhead.SupplyReclaimable {
		return false
	}
	reclaimed := u.sim.now >= reclaimAt && u.sim.now < reclaimAt+reclaimDuration
	return d == firmOnlyDomain || (d == reclaimDomain && reclaimed)
}

// order plans the totals of the pools and adds and removes engines to match, every
// orderInterval.
func (u *supply) order() {
	s := u.sim
	s.after(orderInterval, u.order)
	urgent, deferrable := s.demand.takeWork(orderInterval)
	need := plan.Need{Urgent: urgent.Prefill + urgent.Decode, Deferrable: deferrable.Prefill + deferrable.Decode}
	pools := u.pools()
	for i, t := range u.orderer.Plan(s.now, need, pools) {
		have := pools[i].Ready + pools[i].Starting
		if t.Total > have && u.unavailable(t.FailureDomain, t.Supply) {
			u.orderer.MarkExhausted(s.now, t.FailureDomain, t.Supply)
			continue
		}
		for ; have < t.Total; have++ {
			u.add(pools[i])
		}
		for ; have > t.Total; have-- {
			u.remove(pools[i])
		}
	}
}

// pools returns the ready and starting engines by failure domain and kind of supply.
func (u *supply) pools() []plan.Pool {
	var ps []plan.Pool
	for _, d := range []lagoonhead.FailureDomain{"a", "b", "c", "d"} {
		for _, k := range u.kinds {
			p := plan.Pool{FailureDomain: d, Supply: k, Price: firmPrice}
			if k == lagoonhead.SupplyReclaimable {
				p.Price = reclaimablePrice
			}
			for _, e := range u.sim.engines {
				switch {
				case !inPool(p, e.endpoint) || e.removed || e.changing:
				case e.down:
					p.Starting++
				default:
					p.Ready++
				}
			}
			ps = append(ps, p)
		}
	}
	return ps
}

// add orders an engine, which serves after loadTime.
func (u *supply) add(p plan.Pool) {
	s := u.sim
	x := lagoonhead.NewEndpoint(engineName(len(s.engines)), lagoonhead.EndpointKindEngine, "m", "", p.FailureDomain)
	x = x.WithSlots(slots).WithSupply(p.Supply).WithPrice(p.Price)
	e := newEngine(x)
	e.down = true
	s.engines = append(s.engines, e)
	s.announce(x.WithLeaving(true))
	s.after(loadTime, func() {
		if !e.removed {
			e.down = false
			s.announce(x)
			s.sendReport(e)
		}
	})
}

// remove drains the newest engine of a pool and shuts it down.
func (u *supply) remove(p plan.Pool) {
	s := u.sim
	for i := len(s.engines) - 1; i >= 0; i-- {
		e := s.engines[i]
		if !inPool(p, e.endpoint) || e.removed || e.changing {
			continue
		}
		e.changing = true
		s.announce(e.endpoint.WithLeaving(true))
		s.after(confirmTime, func() { u.finishRemoval(e) })
		return
	}
}

// finishRemoval shuts the engine down once it has no requests in flight.
func (u *supply) finishRemoval(e *engine) {
	if u.sim.inFlight(e) > 0 {
		u.sim.after(time.Second, func() { u.finishRemoval(e) })
		return
	}
	e.down, e.removed = true, true
}

// inPool reports whether the endpoint belongs to the pool.
func inPool(p plan.Pool, e lagoonhead.Endpoint) bool {
	return p.FailureDomain == e.FailureDomain() && p.Supply == e.Supply()
}

// cheapFirst is a baseline that orders reclaimable engines only, as many as all work
// needs, and leaves firm ones at 0. It keeps no reserve.
type cheapFirst struct {
	exhausted map[lagoonhead.FailureDomain]time.Duration
}

// MarkExhausted records that the failure domain could not give an engine.
func (o *cheapFirst) MarkExhausted(now time.Duration, d lagoonhead.FailureDomain, _ lagoonhead.Supply) {
	if o.exhausted == nil {
		o.exhausted = make(map[lagoonhead.FailureDomain]time.Duration)
	}
	o.exhausted[d] = now
}

// Plan spreads the engines evenly over the failure domains that were not exhausted in
// the last two minutes. The others keep the engines that they have.
func (o *cheapFirst) Plan(now time.Duration, n plan.Need, pools []plan.Pool) []plan.Total {
	all := int(math.Ceil(n.Urgent/0.65 + n.Deferrable))
	ts := make([]plan.Total, 0, len(pools))
	var open []int
	for i, p := range pools {
		t := plan.Total{FailureDomain: p.FailureDomain, Supply: p.Supply}
		if p.Supply == lagoonhead.SupplyReclaimable {
			at, ever := o.exhausted[p.FailureDomain]
			t.Total = p.Ready + p.Starting
			if !ever || now-at > 2*time.Minute {
				t.Total = 0
				open = append(open, i)
			}
			all -= t.Total
		}
		ts = append(ts, t)
	}
	for k := 0; k < all && len(open) > 0; k++ {
		ts[open[k%len(open)]].Total++
	}
	return ts
}
