package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/lease"
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
	// lapseInterval is the time between looks at whether a tenure has lapsed.
	lapseInterval = 250 * time.Millisecond
)

func (d *Daemon) buildDuties() {
	work := map[lease.Duty]func(*lease.Tenure) part{dutyUsage: d.usageReports, dutyFleet: d.fleetOrders}
	d.keeper = &lease.Keeper{
		Store: d.store, Session: d.session, Timer: d.Timer, Log: d.Log, VM: d.Settings.VM, Incarnation: d.incarnation,
		Duties: []lease.Duty{dutyUsage, dutyFleet}, Attempt: attemptInterval, FirstAtOnce: true,
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for !t.Lapsed() && d.Timer.Sleep(ctx, lapseInterval) == nil {
		}
		cancel()
	}()
	if err := work(ctx); err != nil {
		d.Log.Error("duty ended with a fault", zap.Stringer("duty", t.Duty()), zap.Error(err))
	}
}

func (d *Daemon) usageReports(t *lease.Tenure) part {
	r := &billing.WindowReporter{
		Tally: d.tally, Timer: d.Timer, Store: d.store, Usage: d.Platform.Usage(t), Authority: t.Check, Log: d.Log,
	}
	d.vars.Set("usageReports", r.Vars())
	return r.Run
}

// fleetOrders orders engines and their roles.
func (d *Daemon) fleetOrders(*lease.Tenure) part {
	return func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
}
