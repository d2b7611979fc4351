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

// heardReach is the largest fleet in which a daemon hears from or of every peer all
// the time. In a larger one the peers that were heard lately are a small part of
// those that hold tokens.
const heardReach = 33

// lenders are the peers to borrow from: those that have been heard from lately, or in
// a large fleet all that are listed. One that does not answer is asked last.
type lenders struct {
	config *config.Runner
	pool   *peer.Pool
}

// Lenders returns the peers to borrow from.
func (l lenders) Lenders() []admit.Lender {
	vms := l.config.VMs()
	var list []admit.Lender
	if len(vms) > heardReach {
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
	for _, h := range l.config.HeardFrom() {
		if a, ok := addresses[h.VM]; ok {
			list = append(list, admit.Lender{VM: h.VM, Commands: l.pool.Commands(a)})
		}
	}
	return list
}

// vmListAge is the oldest list on which the slots of limits rely.
const vmListAge = 5 * time.Second

// knownVMs gives the polled VM list to parts that must not rely on an old one.
type knownVMs struct{ poller *vmPoller }

// VMs returns the list, or KindUnavailable when it is too old.
func (k knownVMs) VMs(context.Context) ([]lagoonhead.VM, error) {
	list, asked, ok := k.poller.newest()
	if !ok || k.poller.timer.Now()-asked > vmListAge {
		return nil, fail("vms", lagoonhead.KindUnavailable, errors.New("the VM list is too old"))
	}
	return list, nil
}
