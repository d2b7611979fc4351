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
	// maxReportAge is the maximum age of a load report that a role change relies on or
	// that is sent to peers.
	maxReportAge = 3 * time.Second
	// settleTime is the time between the confirmation of an engine's mark by the last VM
	// and the request for the counts of requests in flight that a role change relies on.
	// A request that was placed right before the mark came into force is counted by then.
	settleTime = time.Second
)

// editor changes the configuration by compare-and-swap.
type editor interface {
	// Edit commits a change. summary describes it in the decision log.
	Edit(ctx context.Context, summary string, change func(*inventory.Inventory) error) error
}

// confirmations reports which VMs have confirmed that a revision is in force.
type confirmations interface {
	// Confirmed returns the VMs that have confirmed the revision and those that have
	// not.
	Confirmed(revision int64) (confirmed, unconfirmed []lagoonhead.VMID)
}

// engineFleet provides the duty of engine orders with the state of the engines. An engine
// that is to change its role is first marked as changing in the configuration, so that all
// daemons stop sending it requests.
type engineFleet struct {
	source        lagoonhead.DirectorySource
	poller        *enginePoller
	heartbeats    *heartbeats
	confirmations confirmations
	editor        editor
	timer         timer.Timer
	self          lagoonhead.VMID
	vms           func() []lagoonhead.VM

	// confirmedSince holds, by engine, the time since boot at which the mark was first
	// seen to be confirmed by every listed VM.
	confirmedSince map[lagoonhead.EndpointID]time.Duration
}

var _ control.Fleet = (*engineFleet)(nil)

// marks reports which engines are marked as changing their role. inventory.Directory
// implements it.
type marks interface {
	Changing(id lagoonhead.EndpointID) bool
}

// Views returns one view for each engine of the configuration in force.
func (f *engineFleet) Views() []control.EngineView {
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
	views := make([]control.EngineView, 0, len(list))
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

func (f *engineFleet) view(now time.Duration, e lagoonhead.Endpoint, changing, confirmed bool) control.EngineView {
	v := control.EngineView{Endpoint: e, Wanted: e.Role(), Changing: changing}
	if s, ok := f.poller.newest(e.ID()); ok && now-s.requestedAt <= maxReportAge {
		v.Report = s.report
		v.Reported = true
	}
	if changing && confirmed {
		v.InFlight, v.Confirmed = f.inFlight(now, e.ID())
		return v
	}
	delete(f.confirmedSince, e.ID())
	return v
}

// inFlight returns the number of requests on an engine whose mark every listed VM has
// confirmed. known is false until all VMs have sent counts that were requested settleTime
// after that.
func (f *engineFleet) inFlight(now time.Duration, id lagoonhead.EndpointID) (n int, known bool) {
	if f.confirmedSince == nil {
		f.confirmedSince = make(map[lagoonhead.EndpointID]time.Duration)
	}
	since, ok := f.confirmedSince[id]
	if !ok {
		f.confirmedSince[id] = now
		return 0, false
	}
	if now < since+settleTime {
		return 0, false
	}
	return f.heartbeats.total(id, f.vms(), f.self, since+settleTime)
}

// SetChanging marks an engine as changing its role, or removes the mark.
func (f *engineFleet) SetChanging(ctx context.Context, id lagoonhead.EndpointID, on bool) error {
	summary := "take engine " + string(id) + " out for a role change"
	if !on {
		summary = "return engine " + string(id) + " to service"
	}
	return f.editor.Edit(ctx, summary, func(inv *inventory.Inventory) error { return inv.SetChanging(id, on) })
}
