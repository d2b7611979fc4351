package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/admit"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/peer"
)

// maxFullyHeardVMs is the size, in VMs, of the largest fleet in which every daemon
// continuously receives heartbeats from, or reports about, every peer. In a larger fleet the
// peers that were heard from recently are a small part of those that hold tokens.
const maxFullyHeardVMs = 33

// lenders lists the peers from which tokens can be borrowed: those that were heard from
// recently, or in a large fleet all that are listed. Package admit asks unresponsive peers
// last.
type lenders struct {
	config *config.Runner
	pool   *peer.Pool
}

// Lenders returns the peers from which tokens can be borrowed.
func (l lenders) Lenders() []admit.Lender {
	vms := l.config.VMs()
	var list []admit.Lender
	if len(vms) > maxFullyHeardVMs {
		for _, v := range vms {
			if v.ID() != l.config.Self {
				list = append(list, admit.Lender{VM: v.ID(), Commands: l.pool.Commands(v.PeerAddress())})
			}
		}
		return list
	}
	addresses := make(map[lagoonhead.VMID]string)
	for _, v := range vms {
		addresses[v.ID()] = v.PeerAddress()
	}
	for _, h := range l.config.RecentPeers() {
		if a, ok := addresses[h.VM]; ok {
			list = append(list, admit.Lender{VM: h.VM, Commands: l.pool.Commands(a)})
		}
	}
	return list
}

// maxVMListAge is the maximum age of a VM list that the slots of limits rely on.
const maxVMListAge = 5 * time.Second

// recentVMs provides the polled VM list to components that must not rely on an old one.
type recentVMs struct{ poller *vmPoller }

// VMs returns the list, or an error of KindUnavailable when it is too old.
func (r recentVMs) VMs(context.Context) ([]lagoonhead.VM, error) {
	list, requestedAt, ok := r.poller.newest()
	if !ok || r.poller.timer.Now()-requestedAt > maxVMListAge {
		return nil, fail("vms", lagoonhead.KindUnavailable, errors.New("the VM list is too old"))
	}
	return list, nil
}
