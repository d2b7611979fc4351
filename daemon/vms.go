package daemon

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// vmListInterval is the time between two requests for the platform's VM list.
	vmListInterval = time.Second
	// vmListTimeout bounds one request.
	vmListTimeout = 2 * time.Second
)

// vmPoller polls the platform's VM list. The last list stays in force while the platform
// does not respond.
type vmPoller struct {
	lister lagoonhead.VMLister
	timer  timer.Timer
	// received is called with each list and the time since boot at which it was
	// requested.
	received func(list []lagoonhead.VM, requestedAt time.Duration)

	list atomic.Pointer[vmList]
	vars expvar.Map
}

// vmList is a VM list and the time since boot at which it was requested.
type vmList struct {
	vms         []lagoonhead.VM
	requestedAt time.Duration
}

// VMs returns the newest list, or nil before the first one.
func (p *vmPoller) VMs() []lagoonhead.VM {
	list, _, _ := p.newest()
	return list
}

// newest returns the newest list and the time since boot at which it was requested. ok is
// false before the first one.
func (p *vmPoller) newest() (list []lagoonhead.VM, requestedAt time.Duration, ok bool) {
	l := p.list.Load()
	if l == nil {
		return nil, 0, false
	}
	return l.vms, l.requestedAt, true
}

// Run polls the list until ctx ends.
func (p *vmPoller) Run(ctx context.Context) error {
	p.step(ctx)
	timer.Every(ctx, p.timer, vmListInterval, func(time.Duration) { p.step(ctx) })
	return nil
}

func (p *vmPoller) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	requestedAt := p.timer.Now()
	list, err := p.lister.VMs(ctx)
	if err != nil {
		p.vars.Add("failed", 1)
		return
	}
	p.vars.Add("read", 1)
	p.list.Store(&vmList{vms: list, requestedAt: requestedAt})
	p.received(list, requestedAt)
}
