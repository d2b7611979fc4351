package daemon

import (
	"context"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/control"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// reportAge is the oldest load report on which a role change relies.
	reportAge = 3 * time.Second
	// settleTime passes between the last VM's confirmation of a mark and the counts
	// of requests in flight on which a role change relies. A request that was placed
	// right before the mark came into force is counted by then.
	settleTime = time.Second
)

// editor changes the configuration by compare-and-swap.
type editor interface {
	Edit(ctx context.Context, what string, change func(*inventory.Inventory) error) error
}

// confirmations tells which VMs have a revision in force.
type confirmations interface {
	Confirmed(revision int64) (confirmed, unconfirmed []lagoonhead.VMID)
}

// engineFleet gives the duty of engine orders its view of the engines.
type engineFleet struct {
	source        lagoonhead.DirectorySource
	poller        *enginePoller
	beats         *heartbeats
	confirmations confirmations
	editor        editor
	timer         timer.Timer
	self          lagoonhead.VMID
	vms           func() []lagoonhead.VM

	// confirmed tells since when every listed VM is known to have the mark of an
	// engine.
	confirmed map[lagoonhead.EndpointID]time.Duration
}

var _ control.Fleet = (*engineFleet)(nil)

// marks tells which engines are being changed. inventory.Directory has it.
type marks interface {
	Changing(id lagoonhead.EndpointID) bool
}

// Views returns one view for each engine of the configuration in force.
func (f *engineFleet) Views() []control.View {
	d := f.source.Directory()
	m, ok := d.(marks)
	if !ok {
		return nil
	}
	now := f.timer.Now()
	_, missing := f.confirmations.Confirmed(d.Revision())
	list := engines(f.source)
	changing := make(map[lagoonhead.FailureDomain]int)
	for _, e := range list {
		if m.Changing(e.ID()) {
			changing[e.FailureDomain()]++
		}
	}
	views := make([]control.View, 0, len(list))
	for _, e := range list {
		v := f.view(now, e, m.Changing(e.ID()), len(missing) == 0)
		v.OthersChanging = changing[e.FailureDomain()]
		if v.Changing {
			v.OthersChanging--
		}
		views = append(views, v)
	}
	return views
}

func (f *engineFleet) view(now time.Duration, e lagoonhead.Endpoint, changing, confirmed bool) control.View {
	v := control.View{Endpoint: e, Wanted: e.Role(), Changing: changing}
	if s, ok := f.poller.last(e.ID()); ok && now-s.asked <= reportAge {
		v.Report = s.report
		v.Reported = true
	}
	if changing && confirmed {
		v.InFlight, v.Confirmed = f.inFlight(now, e.ID())
		return v
	}
	delete(f.confirmed, e.ID())
	return v
}

// inFlight returns the requests on an engine that every listed VM has marked. known
// is false until the VMs have been asked after settleTime.
func (f *engineFleet) inFlight(now time.Duration, id lagoonhead.EndpointID) (n int, known bool) {
	if f.confirmed == nil {
		f.confirmed = make(map[lagoonhead.EndpointID]time.Duration)
	}
	since, ok := f.confirmed[id]
	if !ok {
		f.confirmed[id] = now
		return 0, false
	}
	if now < since+settleTime {
		return 0, false
	}
	return f.beats.total(id, f.vms(), f.self, since+settleTime)
}

// SetChanging commits the mark of one engine.
func (f *engineFleet) SetChanging(ctx context.Context, id lagoonhead.EndpointID, on bool) error {
	what := "take engine " + string(id) + " out for a role change"
	if !on {
		what = "return engine " + string(id) + " to service"
	}
	return f.editor.Edit(ctx, what, func(inv *inventory.Inventory) error { return inv.SetChanging(id, on) })
}
