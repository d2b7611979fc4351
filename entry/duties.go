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
	"github.com/lagoonhead/lagoonhead/plan"
	"github.com/lagoonhead/lagoonhead/steer"
)

// The duties of the fleet.
var (
	dutyUsage = lease.Duty{Kind: "usage"}
	dutyFleet = lease.Duty{Kind: "fleet"}
)

const (
	// candidatesPerDuty is the number of VMs that try for a duty; the others leave it
	// alone, so that the store is not asked by all of them.
	candidatesPerDuty = 2
	// attemptInterval is the time between looks at the duties. With the time to live of
	// a lease it bounds how long a duty is without a holder.
	attemptInterval = time.Second
	// measureInterval is the time between two samples of the load.
	measureInterval = 500 * time.Millisecond
	// lapseInterval is the time between looks at whether a tenure has lapsed.
	lapseInterval = 250 * time.Millisecond
)

func (d *Daemon) buildDuties() {
	work := map[lease.Duty]func(*lease.Tenure) part{dutyUsage: d.usageReports, dutyFleet: d.fleetOrders}
	d.keeper = &lease.Keeper{
		Store: d.store, Session: d.session, Timer: d.Timer, Log: d.Log, VM: d.Settings.VM, Incarnation: d.incarnation,
		Duties: []lease.Duty{dutyUsage, dutyFleet}, Attempt: attemptInterval, Fenced: d.Settings.FencesChecked, OneProcess: true,
		// Holders must not take turns faster than this.
		OrderFlight: d.Settings.TurnTime,
		Eligible: func(v lease.Duty) bool {
			return !d.leaving.Load() && lease.IsCandidate(d.members.VMs(), d.Settings.VM, "duty/"+v.String(), candidatesPerDuty)
		},
		Gained: func(t *lease.Tenure) { go d.serveDuty(t, work[t.Duty()](t)) },
	}
}

// serveDuty runs the work of a tenure until it has lapsed.
func (d *Daemon) serveDuty(t *lease.Tenure, work part) {
	if err := t.While(context.Background(), lapseInterval, work); err != nil {
		d.Log.Error("duty ended with a fault", zap.Stringer("duty", t.Duty()), zap.Error(err))
	}
}

func (d *Daemon) usageReports(t *lease.Tenure) part {
	r := &billing.WindowReporter{
		Tally: d.tally, Timer: d.tally.Timer, Store: d.store, Usage: d.Platform.Usage(t), Authority: t.Check,
		Gather: d.exchanger.Urge, Log: d.Log,
	}
	d.vars.Set("usageReports", r.Vars())
	return r.Run
}

// fleetOrders orders engines and their roles.
func (d *Daemon) fleetOrders(t *lease.Tenure) part {
	o := d.Platform.Orders(t)
	f := &control.Shaping{
		View: fleetView{d}, Endpoints: o, Engines: o, Authority: t.Check, Number: t.Epoch(), Timer: d.Timer, Log: d.Log,
		Announce: d.announce,
	}
	d.vars.Set("fleetOrders", f.Vars())
	return f.Run
}

// changes holds the engines that this daemon has change their role, with the time until
// which the change lasts at most.
type changes struct {
	mu    sync.Mutex
	until map[lagoonhead.EndpointID]time.Duration
}

func (c *changes) list() map[lagoonhead.EndpointID]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.until)
}

// announce tells this daemon and its peers that an engine takes no work until the given
// time.
func (d *Daemon) announce(id lagoonhead.EndpointID, until time.Duration) {
	now := d.Timer.Now()
	d.changes.mu.Lock()
	if d.changes.until == nil {
		d.changes.until = make(map[lagoonhead.EndpointID]time.Duration)
	}
	maps.DeleteFunc(d.changes.until, func(_ lagoonhead.EndpointID, t time.Duration) bool { return t < now })
	d.changes.until[id] = until
	d.changes.mu.Unlock()
	d.dispatcher.Board(func(b *steer.Board) { b.Changing(id, until) })
}

// fleetView shows the fleet as this daemon and its peers see it.
type fleetView struct{ d *Daemon }

// Services returns the services in force.
func (v fleetView) Services() []catalog.Service {
	if c := v.d.config.Catalog(); c != nil {
		return c.Services()
	}
	return nil
}

// Engines returns the living endpoints of a service.
func (v fleetView) Engines(service string) []lagoonhead.Endpoint {
	list, _ := v.d.endpoints.roster.Endpoints()
	return slices.DeleteFunc(list, func(e lagoonhead.Endpoint) bool { return e.Serves() != service })
}

// Demand returns the load on a service.
func (v fleetView) Demand(service string) plan.ShapeDemand { return v.d.meters.demand(service) }

// meters measures the load on the services, from the work of all daemons.
type meters struct {
	mu       sync.Mutex
	services map[string]*plan.DemandMeter
}

func (m *meters) demand(service string) plan.ShapeDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.services[service]; v != nil {
		return v.Demand()
	}
	return plan.ShapeDemand{}
}

// measure takes a sample of the load on each service.
func (d *Daemon) measure(now time.Duration) {
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
		d.dispatcher.Board(func(b *steer.Board) { w = b.Demand(now, s.Name) })
		m.Observe(now, plan.WorkSample{
			Sent: w.Sent, SentToRun: w.SentToRun, Backlog: w.Backlog, Rate: w.Rate, Running: w.Running, Slots: s.Engine.Slots,
		})
	}
}
