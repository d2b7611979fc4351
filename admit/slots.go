package admit

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
	"github.com/lagoonhead/lagoonhead/peer"
)

const (
	// slotInterval is how often the slot table is read. 390 daemons make 195 reads/s
	// of the 2,000 reads/s that the store can serve.
	slotInterval = 2 * time.Second
	// storeTimeout bounds one call to the store, which normally responds within
	// milliseconds.
	storeTimeout = time.Second
	// releaseTimeout bounds the release of the slots at shutdown.
	releaseTimeout    = 3 * time.Second
	releaseRetryDelay = 100 * time.Millisecond
	// maxTableAttempts bounds the attempts to read and write the slot table in one call
	// of updateSlots.
	maxTableAttempts = 8
)

// SlotsRevision returns the newest revision of the slot table that this daemon has
// read or that a peer's heartbeat carried. This daemon's heartbeat carries it. It
// takes no lock.
func (r *Runner) SlotsRevision() int64 { return max(r.readRevision.Load(), r.peerRevision.Load()) }

// ObserveSlotsRevision records the revision of the slot table in a peer's heartbeat. It
// must be called before the heartbeat is counted for the freshness of the daemon's
// view. It takes no lock.
func (r *Runner) ObserveSlotsRevision(revision int64) {
	r.init()
	for {
		known := r.peerRevision.Load()
		if known >= revision {
			return
		}
		if r.peerRevision.CompareAndSwap(known, revision) {
			break
		}
	}
	if revision > r.readRevision.Load() {
		r.ReadSlots()
	}
}

// ReadSlots makes Run read the slot table at once. It takes no lock and does not block.
func (r *Runner) ReadSlots() {
	r.init()
	select {
	case r.reread <- struct{}{}:
	default:
	}
}

// SlotsInUse returns the numbers of the slots in use.
func (r *Runner) SlotsInUse() []int {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slotsInUse()
}

// slotsInUse returns the numbers of the slots in use. The caller holds the lock.
func (r *Runner) slotsInUse() []int {
	slots := make([]int, len(r.activeSlots))
	for i, s := range r.activeSlots {
		slots[i] = s.Slot
	}
	return slots
}

// runSlots keeps the daemon's slots up to date until ctx ends, and then releases them.
func (r *Runner) runSlots(ctx context.Context) {
	ticks := r.Timer.Subscribe(slotInterval)
	defer ticks.Stop()
	for {
		r.listVMs(ctx)
		if err := r.updateSlots(ctx); err != nil {
			r.counters.slotFailures.Add(1)
		}
		// Peers are asked also after a successful read, since a store that returns an old
		// table must not keep this daemon suspended.
		r.fetchPeerTable(ctx)
		select {
		case <-ctx.Done():
			r.releaseSlots(context.WithoutCancel(ctx))
			return
		case <-ticks.C():
		case <-r.reread:
		}
	}
}

// listVMs applies the platform's list of VMs.
func (r *Runner) listVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vms, err := r.VMs.VMs(ctx)
	if err != nil {
		return
	}
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.ObserveVMs(now, vms)
}

// updateSlots reads and writes the slot table until this daemon wants no further
// change. After a write that had a conflict or an unknown outcome, the table is read
// again, which shows whether the write took effect.
func (r *Runner) updateSlots(ctx context.Context) error {
	for range maxTableAttempts {
		e, err := r.readTable(ctx)
		if err != nil {
			return err
		}
		t, want := r.applyTable(e)
		if !want {
			return nil
		}
		if err := r.writeTable(ctx, t, e.Revision); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			return err
		}
	}
	return nil
}

// readTable reads the slot table. If there is none, a daemon that may hold slots creates it. A
// table that the daemon has seen was lost by the store, and is written again as it was: in a new
// one others could take slots whose holders still use them.
func (r *Runner) readTable(ctx context.Context) (lagoonhead.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, r.SlotsKey)
	if lagoonhead.IsKind(err, lagoonhead.KindNotFound) && r.mayHoldSlots() {
		if err := r.writeTable(ctx, r.knownTable(), 0); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindConflict) {
			return e, err
		}
		e, err = r.Store.Get(ctx, r.SlotsKey)
	}
	return e, err
}

// knownTable returns the last table that was read, or a new one.
func (r *Runner) knownTable() limit.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, revision := r.slots.Table(); revision > 0 {
		return t
	}
	return limit.NewTable(r.SlotCount)
}

func (r *Runner) mayHoldSlots() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots.MayHold()
}

// applyTable applies the slot table that was read. It returns the table that this
// daemon wants to write, and whether it wants to.
func (r *Runner) applyTable(e lagoonhead.Entry) (limit.Table, bool) {
	t, err := limit.ParseTable(e.Value)
	if err != nil {
		r.Log.Error("slot table cannot be parsed", zap.Error(err))
		return t, false
	}
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.activeSlots)
	r.observeTable(now, t, e.Revision)
	next, want := r.slots.NextTable(now)
	r.applySlots(now)
	if len(r.activeSlots) != before {
		r.Log.Info("rate limit slots in use changed", zap.Int("before", before), zap.Int("now", len(r.activeSlots)))
	}
	return next, want
}

// observeTable applies a slot table. The caller holds the lock.
func (r *Runner) observeTable(now time.Duration, t limit.Table, revision int64) {
	r.slots.Observe(now, t, revision)
	_, revision = r.slots.Table()
	r.readRevision.Store(revision)
	r.applySlots(now)
}

func (r *Runner) writeTable(ctx context.Context, t limit.Table, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	t.Writer, t.Nonce = r.Incarnation, uuid.NewString()
	r.counters.slotWrites.Add(1)
	_, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: r.SlotsKey, Value: t.Encode(), IfRevision: revision})
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		r.counters.slotConflicts.Add(1)
	}
	return err
}

// fetchPeerTable asks the peers, one after another, for the slot table while this
// daemon is suspended: a peer has reported a newer revision than this daemon has.
func (r *Runner) fetchPeerTable(ctx context.Context) {
	for _, l := range r.Peers.Lenders() {
		r.mu.Lock()
		suspended := r.slots.Suspended()
		_, revision := r.slots.Table()
		r.mu.Unlock()
		if !suspended || ctx.Err() != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		resp, err := l.Commands.Borrow(callCtx, &peer.BorrowRequest{
			Vm: string(r.VM), Incarnation: string(r.Incarnation), SlotsRevision: revision,
		})
		cancel()
		if err != nil {
			continue
		}
		now := r.Timer.Now()
		r.mu.Lock()
		r.observePeerTable(now, resp)
		r.mu.Unlock()
	}
}

// releaseSlots releases the slots, so that other daemons can claim them without a wait.
func (r *Runner) releaseSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	now := r.Timer.Now()
	r.mu.Lock()
	r.slots.Retire()
	r.applySlots(now)
	r.mu.Unlock()
	for r.updateSlots(ctx) != nil {
		if r.Timer.Sleep(ctx, releaseRetryDelay) != nil {
			r.Log.Warn("rate limit slots could not be released; they become free once the platform no longer lists this VM")
			return
		}
	}
}
