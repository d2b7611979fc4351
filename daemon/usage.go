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

// buddies chooses the buddy of this daemon: the VM that keeps a copy of its usage.
type buddies struct {
	config *config.Runner
	pool   *peer.Pool
	self   lagoonhead.VMID
	domain lagoonhead.FailureDomain
}

// Buddy returns the first VM, by rendezvous hashing, that was heard from recently. It
// prefers VMs in other failure domains. The second result is false when there is none.
func (b buddies) Buddy() (billing.Buddy, bool) {
	heard := make(map[lagoonhead.VMID]lagoonhead.Incarnation)
	for _, h := range b.config.RecentPeers() {
		heard[h.VM] = h.Incarnation
	}
	vms := b.config.VMs()
	var sameDomain *lagoonhead.VM
	for _, v := range lease.Candidates(vms, "buddy/"+string(b.self), len(vms)) {
		if _, ok := heard[v.ID()]; !ok || v.ID() == b.self {
			continue
		}
		if v.FailureDomain() != b.domain {
			return b.buddy(v, heard), true
		}
		if sameDomain == nil {
			sameDomain = &v
		}
	}
	if sameDomain == nil {
		return billing.Buddy{}, false
	}
	return b.buddy(*sameDomain, heard), true
}

func (b buddies) buddy(v lagoonhead.VM, heard map[lagoonhead.VMID]lagoonhead.Incarnation) billing.Buddy {
	return billing.Buddy{VM: v.ID(), Incarnation: heard[v.ID()], Commands: b.pool.Commands(v.PeerAddress())}
}

// tenureInterval is the time between checks whether a tenure has lapsed.
const tenureInterval = 500 * time.Millisecond

// usageReports returns the task of the duty that closes usage windows and reports them to
// the platform.
func (b *builder) usageReports(t *lease.Tenure) task {
	r := &billing.Reporter{
		Incarnation: b.incarnation, Timer: b.timer, Store: b.store, Log: b.log,
		Window: b.settings.Usage.Window,
		Usage:  &usage.Client{Platform: jsoncall.Client{BaseURL: b.settings.Platform.Usage}, Authority: t.Check},
	}
	r.GainDuty(t.Check)
	b.vars.Set("usageReports", r.Vars())
	return func(ctx context.Context) error { return t.RunWhileHeld(ctx, tenureInterval, r.Run) }
}
