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
	// vmListInterval is the time between two reads of the platform's VM list.
	vmListInterval = time.Second
	// vmListTimeout bounds one read.
	vmListTimeout = 2 * time.Second
)

// vmPoller keeps the newest VM list. The last good list stays in force while the
// platform does not answer.
type vmPoller struct {
	lister lagoonhead.VMLister
	timer  timer.Timer
	// changed is called with each list that was read and the time at which it was
	// asked for.
	changed func(list []lagoonhead.VM, asked time.Duration)

	list atomic.Pointer[vmList]
	vars expvar.Map
}

// vmList is a list and when it was asked for.
type vmList struct {
	vms   []lagoonhead.VM
	asked time.Duration
}

// VMs returns the newest list.
func (p *vmPoller) VMs() []lagoonhead.VM {
	list, _, _ := p.newest()
	return list
}

// newest returns the newest list and when it was asked for. ok is false before the
// first one.
func (p *vmPoller) newest() (list []lagoonhead.VM, asked time.Duration, ok bool) {
	l := p.list.Load()
	if l == nil {
		return nil, 0, false
	}
	return l.vms, l.asked, true
}

// Run reads the list until ctx ends.
func (p *vmPoller) Run(ctx context.Context) error {
	p.step(ctx)
	timer.Every(ctx, p.timer, vmListInterval, func(time.Duration) { p.step(ctx) })
	return nil
}

func (p *vmPoller) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	asked := p.timer.Now()
	list, err := p.lister.VMs(ctx)
	if err != nil {
		p.vars.Add("failed", 1)
		return
	}
	p.vars.Add("read", 1)
	p.list.Store(&vmList{vms: list, asked: asked})
	p.changed(list, asked)
}
