package config

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// acceptTimeout is how long a commit waits for its acceptance when it waits for
	// nothing more. An accepted revision is to be in force within 4 s.
	acceptTimeout = 4 * time.Second
	// stateTimeout bounds one question to a VM.
	stateTimeout = time.Second
	// stateInterval is the time between two questions to a VM.
	stateInterval = 100 * time.Millisecond
)

// Result tells who has a committed revision in force.
type Result struct {
	Revision int64
	// Accepted is true once a majority of the listed VMs held the revision at one
	// moment. From then on it is never forgotten.
	Accepted    bool
	Confirmed   []lagoonhead.VMID
	Unconfirmed []lagoonhead.VMID
}

// Apply commits an edit and waits until the revision is accepted. With a positive
// wait it goes on waiting, at most that long, until each listed VM has confirmed.
func (c *Committer) Apply(ctx context.Context, on int64, wait time.Duration, edit Edit) (Result, error) {
	revision, err := c.Commit(ctx, on, edit)
	if err != nil {
		return Result{}, err
	}
	return c.Await(ctx, revision, wait), nil
}

// Await waits until the revision is accepted, at most 4 s. With a positive wait it
// waits that long at most, until each listed VM has confirmed.
func (c *Committer) Await(ctx context.Context, revision int64, wait time.Duration) Result {
	all := wait > 0
	if !all {
		wait = acceptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	p := &poll{committer: c, state: NewAcceptance(revision), changed: make(chan struct{}, 1)}
	vms := c.Runner.VMs()
	for _, vm := range vms {
		p.listed = append(p.listed, vm.ID())
	}
	var asking sync.WaitGroup
	for _, vm := range vms {
		asking.Go(func() { p.ask(ctx, vm) })
	}
	result := p.await(ctx, revision, all)
	cancel()
	asking.Wait()
	if result.Accepted {
		c.vars.Add("accepted", 1)
	} else {
		c.vars.Add("notAccepted", 1)
	}
	return result
}

// poll asks each listed VM again and again what it has in force.
type poll struct {
	committer *Committer
	listed    []lagoonhead.VMID
	changed   chan struct{}

	mu    sync.Mutex
	state *Acceptance
}

func (p *poll) await(ctx context.Context, revision int64, all bool) Result {
	for {
		p.mu.Lock()
		r := Result{Revision: revision, Accepted: p.state.Accepted(p.listed)}
		r.Confirmed, r.Unconfirmed = p.state.Split(p.listed)
		p.mu.Unlock()
		if r.Accepted && (!all || len(r.Unconfirmed) == 0) {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-p.changed:
		}
	}
}

func (p *poll) ask(ctx context.Context, vm lagoonhead.VM) {
	c := p.committer
	for ctx.Err() == nil {
		sent := c.Timer.Now()
		if in, revision, ok := c.state(ctx, vm); ok {
			p.mu.Lock()
			p.state.Answer(vm.ID(), in, revision, sent, c.Timer.Now())
			p.mu.Unlock()
			select {
			case p.changed <- struct{}{}:
			default:
			}
		}
		_ = c.Timer.Sleep(ctx, stateInterval)
	}
}

func (c *Committer) state(ctx context.Context, vm lagoonhead.VM) (lagoonhead.Incarnation, int64, bool) {
	if vm.ID() == c.Runner.Self {
		return c.Runner.Incarnation, c.Runner.RevisionState().GetRevision(), true
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	a, err := c.Peers.State(ctx, vm)
	if err != nil || a.GetVm() != string(vm.ID()) {
		return "", 0, false
	}
	return lagoonhead.Incarnation(a.GetIncarnation()), a.GetRevision(), true
}
