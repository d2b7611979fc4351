package main

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/plan"
)

const (
	// orderInterval is how often endpoints are ordered.
	orderInterval = 10 * time.Second
	// loadTime is the time from an order until the engine has its weights.
	loadTime = 40 * time.Second
	// mostLoading is how many engines load weights at once.
	mostLoading = 4
	// The prices are in units per hour.
	firmPrice        = 3.0
	reclaimablePrice = 1.0
	// reclaimAt is when all reclaimable engines of reclaimDomain are lost, and for
	// reclaimFor it gives none.
	reclaimAt     = 200 * time.Second
	reclaimFor    = 90 * time.Second
	reclaimDomain = lagoonhead.FailureDomain("c")
	// emptyDomain never has reclaimable engines.
	emptyDomain = lagoonhead.FailureDomain("b")
)

// orderer decides the totals of endpoints.
type orderer interface {
	Exhausted(now time.Duration, d lagoonhead.FailureDomain, s lagoonhead.Supply)
	Plan(now time.Duration, n plan.Need, pools []plan.Pool) []plan.Total
}

// supply plays the platform's ordering interface and the duty that uses it.
type supply struct {
	sim     *sim
	orderer orderer
	// kinds are the kinds of supply that may be ordered.
	kinds []lagoonhead.Supply
	// spent adds up prices over time, in units.
	spent float64
}

// startSupply runs the orderer and the reclaim.
func (s *sim) startSupply(o orderer, kinds ...lagoonhead.Supply) {
	s.supply = &supply{sim: s, orderer: o, kinds: kinds}
	s.after(orderInterval, s.supply.look)
	s.after(time.Second, s.supply.pay)
	s.after(reclaimAt, s.supply.reclaim)
}

func (u *supply) pay() {
	u.sim.after(time.Second, u.pay)
	if u.sim.now < u.sim.warmUp || u.sim.now >= u.sim.length {
		return
	}
	for _, e := range u.sim.engines {
		if !e.gone {
			u.spent += e.endpoint.Price() / time.Hour.Seconds()
		}
	}
}

// reclaim ends all reclaimable engines of one failure domain without notice.
func (u *supply) reclaim() {
	for _, e := range u.sim.engines {
		if !e.gone && e.endpoint.FailureDomain() == reclaimDomain && e.endpoint.Supply() == lagoonhead.SupplyReclaimable {
			e.gone = true
			u.sim.lose(e)
		}
	}
}

// none reports whether the platform has no endpoint to give.
func (u *supply) none(d lagoonhead.FailureDomain, s lagoonhead.Supply) bool {
	if s != lagoonhead.SupplyReclaimable {
		return false
	}
	reclaimed := u.sim.now >= reclaimAt && u.sim.now < reclaimAt+reclaimFor
	return d == emptyDomain || (d == reclaimDomain && reclaimed)
}

func (u *supply) look() {
	s := u.sim
	s.after(orderInterval, u.look)
	urgent, later := s.demand.take(orderInterval)
	need := plan.Need{Urgent: urgent.Prefill + urgent.Decode, Deferrable: later.Prefill + later.Decode}
	pools := u.pools()
	for i, t := range u.orderer.Plan(s.now, need, pools) {
		have := pools[i].Ready + pools[i].Starting
		if t.Total > have && u.none(t.FailureDomain, t.Supply) {
			u.orderer.Exhausted(s.now, t.FailureDomain, t.Supply)
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

// pools returns what runs, by failure domain and kind.
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
				case !same(p, e.endpoint) || e.gone || e.changing:
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

// add orders an engine, which serves once it has loaded its weights.
func (u *supply) add(p plan.Pool) {
	s := u.sim
	x := lagoonhead.NewEndpoint(engineName(len(s.engines)), lagoonhead.KindEngine, "m", "", p.FailureDomain)
	x = x.WithSlots(slots).WithSupply(p.Supply).WithPrice(p.Price)
	e := newEngine(x)
	e.down = true
	s.engines = append(s.engines, e)
	s.announce(x.WithLeaving(true))
	s.after(loadTime, func() {
		if !e.gone {
			e.down = false
			s.announce(x)
			s.sendReport(e)
		}
	})
}

// remove drains the newest engine of a pool.
func (u *supply) remove(p plan.Pool) {
	s := u.sim
	for i := len(s.engines) - 1; i >= 0; i-- {
		e := s.engines[i]
		if !same(p, e.endpoint) || e.gone || e.changing {
			continue
		}
		e.changing = true
		s.announce(e.endpoint.WithLeaving(true))
		s.after(confirmTime, func() { u.removed(e) })
		return
	}
}

func (u *supply) removed(e *engine) {
	if u.sim.inFlight(e) > 0 {
		u.sim.after(time.Second, func() { u.removed(e) })
		return
	}
	e.down, e.gone = true, true
}

func same(p plan.Pool, e lagoonhead.Endpoint) bool {
	return p.FailureDomain == e.FailureDomain() && p.Supply == e.Supply()
}

// cheapFirst orders reclaimable engines for all work and firm ones only when none of
// the others is to be had. It keeps no reserve.
type cheapFirst struct {
	exhausted map[lagoonhead.FailureDomain]time.Duration
}

// Exhausted notes that the failure domain had none.
func (o *cheapFirst) Exhausted(now time.Duration, d lagoonhead.FailureDomain, _ lagoonhead.Supply) {
	if o.exhausted == nil {
		o.exhausted = make(map[lagoonhead.FailureDomain]time.Duration)
	}
	o.exhausted[d] = now
}

// Plan spreads the work evenly over the failure domains that give reclaimable
// engines.
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
