package config

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// acceptTimeout bounds the wait for the acceptance of a revision when the caller
	// does not also wait for all VMs. An accepted revision must be in force everywhere
	// within 4 s.
	acceptTimeout = 4 * time.Second
	// stateTimeout bounds one query for the revision of a VM.
	stateTimeout = time.Second
	// stateInterval is the pause between two queries to the same VM.
	stateInterval = 100 * time.Millisecond
)

// Result states which VMs have a committed revision in force.
type Result struct {
	Revision int64
	// Accepted is true once a majority of the listed VMs had the revision in force at
	// the same moment. An accepted revision is never lost.
	Accepted bool
	// Confirmed are the listed VMs that have reported the revision as in force, and
	// Unconfirmed the others.
	Confirmed   []lagoonhead.VMID
	Unconfirmed []lagoonhead.VMID
}

// Apply commits an edit as Commit does and then waits as Await does.
func (c *Committer) Apply(ctx context.Context, baseRevision int64, wait time.Duration, edit Edit) (Result, error) {
	revision, err := c.Commit(ctx, baseRevision, edit)
	if err != nil {
		return Result{}, err
	}
	return c.Await(ctx, revision, wait), nil
}

// Await waits until the revision is accepted, for at most 4 s. If wait is positive,
// it instead waits until the revision is accepted and every listed VM has confirmed
// it, for at most that long.
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
	var queries sync.WaitGroup
	for _, vm := range vms {
		queries.Go(func() { p.queryVM(ctx, vm) })
	}
	result := p.await(ctx, revision, all)
	cancel()
	queries.Wait()
	if result.Accepted {
		c.vars.Add("accepted", 1)
	} else {
		c.vars.Add("notAccepted", 1)
	}
	return result
}

// poll queries each listed VM periodically for the revision that it has in force.
type poll struct {
	committer *Committer
	listed    []lagoonhead.VMID
	// changed is signalled after each answer.
	changed chan struct{}

	mu    sync.Mutex
	state *Acceptance
}

// await returns once the revision is accepted and, if all is true, confirmed by every
// listed VM; or with what is known when ctx ends.
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

// queryVM queries one VM until ctx ends.
func (p *poll) queryVM(ctx context.Context, vm lagoonhead.VM) {
	c := p.committer
	for ctx.Err() == nil {
		sent := c.Timer.Now()
		if in, revision, ok := c.queryState(ctx, vm); ok {
			p.mu.Lock()
			p.state.RecordAnswer(vm.ID(), in, revision, sent, c.Timer.Now())
			p.mu.Unlock()
			select {
			case p.changed <- struct{}{}:
			default:
			}
		}
		_ = c.Timer.Sleep(ctx, stateInterval)
	}
}

// queryState returns the incarnation of a VM and the revision that it has in force. The
// last result is false when the VM does not answer or another VM answers at its address.
func (c *Committer) queryState(ctx context.Context, vm lagoonhead.VM) (lagoonhead.Incarnation, int64, bool) {
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
