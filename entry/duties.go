package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/control"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/steer"
)

// The duties of the fleet. Each is run by one daemon at a time, which holds it by a lease.
var (
	dutyUsage = lease.Duty{Kind: "usage"}
	dutyFleet = lease.Duty{Kind: "fleet"}
)

const (
	// candidatesPerDuty is the number of VMs that try to acquire a duty. The others do
	// not, which limits the calls to the store.
	candidatesPerDuty = 3
	// attemptInterval is the time between attempts to acquire a duty. Together with the
	// time to live of a lease it bounds how long a duty has no holder.
	attemptInterval = time.Second
	// demandInterval is the time between two samples of the demand.
	demandInterval = 500 * time.Millisecond
	// fetchTimeout bounds the requests for counts of usage windows to the hubs.
	fetchTimeout = 300 * time.Millisecond
	// tenureInterval is the time between checks whether a tenure has lapsed.
	tenureInterval = 250 * time.Millisecond
)

func (d *Daemon) buildDuties() {
	work := map[lease.Duty]func(*lease.Tenure) task{dutyUsage: d.usageReports, dutyFleet: d.fleetOrders}
	d.keeper = &lease.Keeper{
		Store: d.copied, Session: d.dutySession, KeyPrefix: fleetPrefix, Timer: d.tally.Timer, Log: d.Log, VM: d.Settings.VM, Incarnation: d.incarnation,
		Duties: []lease.Duty{dutyUsage, dutyFleet}, AttemptInterval: attemptInterval, Fenced: d.Settings.FencingEnforced, NoEarlierProcess: true,
		// A duty must not return to a former holder sooner than this.
		MaxOrderFlight: d.Settings.DutyReturnTime,
		Eligible:       d.isCandidate,
		OnGained:       func(t *lease.Tenure) { go d.serveDuty(t, work[t.Duty()](t)) },
	}
}

// isCandidate reports whether this daemon tries to acquire a duty. Only hubs do, since they
// have the state of the whole fleet first.
func (d *Daemon) isCandidate(v lease.Duty) bool {
	return !d.leaving.Load() && lease.IsCandidate(d.members.Hubs(), d.Settings.VM, "duty/"+v.String(), candidatesPerDuty)
}

// needsDutyLease reports whether this daemon holds a duty or may acquire one.
func (d *Daemon) needsDutyLease() bool {
	for _, v := range d.keeper.Duties {
		if d.keeper.Tenure(v) != nil || d.isCandidate(v) {
			return true
		}
	}
	return false
}

// serveDuty runs the task of a tenure until the tenure has lapsed.
func (d *Daemon) serveDuty(t *lease.Tenure, work task) {
	if err := t.RunWhileHeld(context.Background(), tenureInterval, work); err != nil {
		d.Log.Error("duty ended with an error", zap.Stringer("duty", t.Duty()), zap.Error(err))
	}
}

// usageReports returns the task of the duty that reports usage windows to the platform.
func (d *Daemon) usageReports(t *lease.Tenure) task {
	r := &billing.WindowReporter{
		Tally: d.tally, Timer: d.tally.Timer, Store: d.store, Usage: d.Platform.Usage(t), Authority: t.Check, KeptFrom: d.keptFrom(t),
		GatherCounts: d.exchanger.ExchangeNow, FetchCounts: d.fetchCounts, Log: d.Log,
	}
	d.vars.Set("usageReports", r.Vars())
	return r.Run
}

// keptFrom returns the wall time from which on the store has kept all that holders of a duty wrote.
// The era has begun before this process saw it and before its first holder.
func (d *Daemon) keptFrom(t *lease.Tenure) time.Time {
	if era, seen := d.members.lastRestore(); era == t.Era() && seen.Before(t.KeptFrom()) {
		return seen
	}
	return t.KeptFrom()
}

// fleetOrders returns the task of the duty that orders engines from the platform and changes
// their roles.
func (d *Daemon) fleetOrders(t *lease.Tenure) task {
	o := d.Platform.Orders(t)
	f := &control.ServiceController{
		View: fleetView{d}, Endpoints: o, Commander: o, Authority: t.Check, FencingNumber: t.Epoch(), Timer: d.Timer, Log: d.Log,
		Announce: d.announce,
	}
	d.vars.Set("fleetOrders", f.Vars())
	return f.Run
}

// roleChanges holds the engines that are changing their role, with the time since boot by
// which each change ends at the latest. It is safe for concurrent use.
type roleChanges struct {
	mu sync.Mutex
	// own holds the changes that this daemon orders, and others those that peers have
	// announced.
	own, others map[lagoonhead.EndpointID]time.Duration
}

// announced returns the changes to announce to a peer. Hubs hear of those of other daemons
// from the daemon that orders them.
func (c *roleChanges) announced(now time.Duration, hub bool) map[lagoonhead.EndpointID]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[lagoonhead.EndpointID]time.Duration)
	add := func(changes map[lagoonhead.EndpointID]time.Duration) {
		for id, until := range changes {
			if until > now {
				list[id] = max(list[id], until)
			}
		}
	}
	add(c.own)
	if !hub {
		add(c.others)
	}
	return list
}

// heard records a change that a peer has announced.
func (c *roleChanges) heard(now time.Duration, id lagoonhead.EndpointID, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setChange(&c.others, now, id, until)
}

// order records a change that this daemon orders.
func (c *roleChanges) order(now time.Duration, id lagoonhead.EndpointID, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setChange(&c.own, now, id, until)
}

func setChange(m *map[lagoonhead.EndpointID]time.Duration, now time.Duration, id lagoonhead.EndpointID, until time.Duration) {
	if *m == nil {
		*m = make(map[lagoonhead.EndpointID]time.Duration)
	}
	maps.DeleteFunc(*m, func(_ lagoonhead.EndpointID, t time.Duration) bool { return t < now })
	(*m)[id] = until
}

// announce makes this daemon and its peers send no work to an engine until the given time
// since boot.
func (d *Daemon) announce(id lagoonhead.EndpointID, until time.Duration) {
	d.roleChanges.order(d.Timer.Now(), id, until)
	d.dispatcher.WithBoard(func(b *steer.Board) { b.SetChanging(id, until) })
}

// fetchCounts merges the counts of usage windows that the hubs of a large fleet have. In a
// small one heartbeats bring all of them.
func (d *Daemon) fetchCounts(ctx context.Context, oldest int64) {
	if d.members.isFlat() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, v := range d.members.Hubs() {
		if v.ID() == d.Settings.VM {
			continue
		}
		w.Go(func() {
			res, err := d.pool.Queries(v.PeerAddress()).UsageCounts(ctx, &peer.UsageCountsRequest{OldestWindow: oldest})
			if err != nil {
				d.Log.Debug("counts of usage windows not fetched", zap.String("peer", string(v.ID())), zap.Error(err))
				return
			}
			d.tally.Merge(decodeCounts(res.GetCounts(), ""))
		})
	}
	w.Wait()
}

// fleetView is the view of the fleet, as known to this daemon and its peers, on which the
// fleet orders are based.
type fleetView struct{ d *Daemon }

// Services returns the services of the configuration in force.
func (v fleetView) Services() []catalog.Service {
	if c := v.d.config.Catalog(); c != nil {
		return c.Services()
	}
	return nil
}

// Engines returns the live endpoints of a service.
func (v fleetView) Engines(service string) []lagoonhead.Endpoint {
	list, _ := v.d.endpoints.roster.Endpoints()
	return slices.DeleteFunc(list, func(e lagoonhead.Endpoint) bool { return e.Serves() != service })
}

// Evacuated returns the evacuated failure domains.
func (v fleetView) Evacuated() map[lagoonhead.FailureDomain]bool { return v.d.evacuations.current() }

// Demand returns the measured demand for a service.
func (v fleetView) Demand(service string) plan.PeakDemand { return v.d.meters.demand(service) }

// meters measures the demand for each service, over the work of all daemons.
type meters struct {
	mu       sync.Mutex
	services map[string]*plan.DemandMeter
}

func (m *meters) demand(service string) plan.PeakDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.services[service]; v != nil {
		return v.Demand()
	}
	return plan.PeakDemand{}
}

// sampleDemand takes a sample of the demand for each service that has engines.
func (d *Daemon) sampleDemand(now time.Duration) {
	d.meters.mu.Lock()
	defer d.meters.mu.Unlock()
	for _, s := range (fleetView{d}).Services() {
		if s.Engine == nil {
			continue
		}
		if d.meters.services == nil {
			d.meters.services = make(map[string]*plan.DemandMeter)
		}
		m := d.meters.services[s.Name]
		if m == nil {
			m = new(plan.DemandMeter)
			d.meters.services[s.Name] = m
		}
		var w steer.Demand
		d.dispatcher.WithBoard(func(b *steer.Board) { w = b.Demand(now, s.Name) })
		m.Observe(now, plan.WorkSample{
			SentToPrefill: w.SentToPrefill, SentToRun: w.SentToRun, Backlog: w.Backlog, Rate: w.Rate, Running: w.Running, Slots: s.Engine.Slots,
		})
	}
}
