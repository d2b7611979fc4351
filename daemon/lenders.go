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

// lenders are the peers that have been heard from lately.
type lenders struct {
	config *config.Runner
	pool   *peer.Pool
}

// Lenders returns the peers to borrow from.
func (l lenders) Lenders() []admit.Lender {
	addresses := make(map[lagoonhead.VMID]string)
	for _, v := range l.config.VMs() {
		addresses[v.ID()] = v.PeerAddress()
	}
	var list []admit.Lender
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
