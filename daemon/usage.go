package daemon

import (
	"context"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/billing"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/jsoncall"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/usage"
)

// buddies chooses the VM that keeps a copy of this daemon's usage.
type buddies struct {
	config *config.Runner
	pool   *peer.Pool
	self   lagoonhead.VMID
	domain lagoonhead.FailureDomain
}

// Buddy returns the first VM by rendezvous hashing that has been heard from lately,
// in another failure domain if there is one.
func (b buddies) Buddy() (billing.Buddy, bool) {
	heard := make(map[lagoonhead.VMID]lagoonhead.Incarnation)
	for _, h := range b.config.HeardFrom() {
		heard[h.VM] = h.Incarnation
	}
	vms := b.config.VMs()
	var near *lagoonhead.VM
	for _, v := range lease.Candidates(vms, "buddy/"+string(b.self), len(vms)) {
		if _, ok := heard[v.ID()]; !ok || v.ID() == b.self {
			continue
		}
		if v.FailureDomain() != b.domain {
			return b.buddy(v, heard), true
		}
		if near == nil {
			near = &v
		}
	}
	if near == nil {
		return billing.Buddy{}, false
	}
	return b.buddy(*near, heard), true
}

func (b buddies) buddy(v lagoonhead.VM, heard map[lagoonhead.VMID]lagoonhead.Incarnation) billing.Buddy {
	return billing.Buddy{VM: v.ID(), Incarnation: heard[v.ID()], Commands: b.pool.Commands(v.PeerAddress())}
}

// lapseInterval is the time between looks at whether a tenure has lapsed.
const lapseInterval = 500 * time.Millisecond

// usageReports returns the work of the duty that seals and reports usage windows.
func (b *builder) usageReports(t *lease.Tenure) part {
	r := &billing.Reporter{
		Incarnation: b.incarnation, Timer: b.timer, Store: b.store, Log: b.log,
		Window: b.settings.Usage.Window,
		Usage:  &usage.Client{Platform: jsoncall.Client{BaseURL: b.settings.Platform.Usage}, Authority: t.Check},
	}
	r.Gain(t.Check)
	b.vars.Set("usageReports", r.Vars())
	return func(ctx context.Context) error { return t.While(ctx, lapseInterval, r.Run) }
}
