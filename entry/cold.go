package entry

import (
	"expvar"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// maxViewAge is the age of the list of VMs from which on this VM does not count as knowing the
	// fleet. The list of an attached VM is up to 3 s old: fleetInterval, and two hubs.
	maxViewAge = 5 * time.Second
	// viewSettleTime is how long a VM must have been the holder of a share in all its lists before
	// it uses the share. A former holder has heard by then that it is none, or knows that its list
	// is old, and the requests that it sent before are more than a second past.
	viewSettleTime = maxViewAge + 2500*time.Millisecond
)

// view is a list of VMs that was in force from a time on.
type view struct {
	vms  []lagoonhead.VM
	from time.Duration
}

// coldShares determines this VM's share in the requests that cold endpoints take. The VMs that hold
// shares of an endpoint are those with the highest rendezvous hashes. Since lists of VMs differ, a VM
// has a full share only if it was a holder in all its lists of the last viewSettleTime and the newest
// is at most maxViewAge old. So no two VMs use the same share: the one that has lost it stops before
// the other one begins, whether or not the two can communicate. It is safe for concurrent use.
type coldShares struct {
	self      lagoonhead.VMID
	timer     timer.Timer
	tolerance ColdTolerance

	mu sync.Mutex
	// views holds the newest list and those that were in force within viewSettleTime, the newest
	// last.
	views []view
	// synced is true once a list has matched the store, and syncedAt the newest time at which it did.
	synced   bool
	syncedAt time.Duration
}

// changed takes over a new list of VMs. restarted is true for the first list if it has a presence
// entry of an earlier process of this VM: then the other VMs have counted this VM before.
func (c *coldShares) changed(vms []lagoonhead.VM, restarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	v := view{vms: vms, from: now}
	if len(c.views) == 0 && restarted {
		v.from = now - viewSettleTime
	}
	if n := len(c.views); n > 0 && slices.EqualFunc(byID(c.views[n-1].vms), byID(vms), func(a, b lagoonhead.VM) bool { return a.ID() == b.ID() }) {
		return
	}
	c.views = append(c.views, v)
}

// matched records that the newest list matched the store at a time. After a gap, in which other VMs
// may have taken over shares, the list has to settle again.
func (c *coldShares) matched(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.views); c.synced && at-c.syncedAt > maxViewAge && n > 0 {
		c.views = []view{{c.views[n-1].vms, c.timer.Now()}}
	}
	c.synced, c.syncedAt = true, max(c.syncedAt, at)
}

// share returns this VM's share in the requests that an endpoint takes while it is cold.
func (c *coldShares) share(e lagoonhead.EndpointID, perSecond float64) steer.ColdShare {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, n := c.timer.Now(), len(c.views)
	if n == 0 {
		return steer.ColdShare{}
	}
	for len(c.views) > 1 && now-c.views[1].from >= viewSettleTime {
		c.views = c.views[1:]
	}
	bound := c.tolerance.bound(perSecond)
	if c.synced && now-c.syncedAt <= maxViewAge && now-c.views[0].from >= viewSettleTime {
		return c.part(c.views, e, perSecond, bound, true)
	}
	return c.part(c.views[len(c.views)-1:], e, perSecond, bound, false)
}

// part returns the share of this VM if it is a holder in all views.
func (c *coldShares) part(views []view, e lagoonhead.EndpointID, perSecond, bound float64, settled bool) (s steer.ColdShare) {
	most := 0
	for _, v := range views {
		holders, w := steer.PlanCold(perSecond, bound, len(v.vms), settled)
		if !lease.IsCandidate(v.vms, c.self, "cold/"+string(e), holders) {
			return steer.ColdShare{}
		}
		if holders > most {
			most, s = holders, w
		}
	}
	return s
}

// coldTraits returns how the endpoints of a service behave after their start.
func coldTraits(cat *catalog.Catalog) func(service string) steer.ColdTraits {
	return func(service string) steer.ColdTraits {
		if cat == nil || cat.Service(service) == nil {
			return steer.ColdTraits{}
		}
		s := cat.Service(service)
		if s.ColdStart == 0 || s.ColdPerSecond == 0 {
			return steer.ColdTraits{}
		}
		return steer.ColdTraits{Start: s.ColdStart, PerSecond: s.ColdPerSecond}
	}
}

// logCold logs which endpoints have become cold.
func (d *Daemon) logCold(now time.Duration, begun map[lagoonhead.EndpointID]time.Duration) {
	for id, until := range begun {
		d.coldSeen.Add(1)
		d.Log.Info("endpoint is cold", zap.String("endpoint", string(id)), zap.Duration("for", until-now))
	}
}

// coldVars returns the number of endpoints that are cold now, that of times that one became cold, the
// requests sent to cold ones, and how often one was passed over.
func (d *Daemon) coldVars() *expvar.Map {
	v := new(expvar.Map)
	get := func(f func(c steer.ColdCounts) int64) expvar.Func {
		return func() (n any) {
			d.dispatcher.WithBoard(func(b *steer.Board) { n = f(b.ColdCounts(d.Timer.Now())) })
			return n
		}
	}
	v.Set("now", get(func(c steer.ColdCounts) int64 { return int64(c.Cold) }))
	v.Set("seen", &d.coldSeen)
	v.Set("sent", get(func(c steer.ColdCounts) int64 { return c.Sent }))
	v.Set("withheld", get(func(c steer.ColdCounts) int64 { return c.Withheld }))
	return v
}
