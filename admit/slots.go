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
	// slotInterval is how often the slot table is read: at 390 daemons 195 reads/s
	// of the store's 2,000.
	slotInterval = 2 * time.Second
	// storeTimeout bounds one call of the store, which answers in milliseconds.
	storeTimeout = time.Second
	// giveUpTimeout bounds the attempt to free the slots at shutdown.
	giveUpTimeout = 3 * time.Second
	giveUpRetry   = 100 * time.Millisecond
	// maxSteps bounds the reads and writes of one look at the table.
	maxSteps = 8
)

// SlotsRevision returns the newest revision of the slot table that this daemon
// has read or heard of. The heartbeat carries it. It takes no lock.
func (r *Runner) SlotsRevision() int64 { return max(r.read.Load(), r.heard.Load()) }

// HeardSlotsRevision takes in the revision that a peer's heartbeat carried. It
// must be called before what the same heartbeat says makes the daemon fresh. It
// takes no lock.
func (r *Runner) HeardSlotsRevision(revision int64) {
	r.init()
	for {
		heard := r.heard.Load()
		if heard >= revision {
			return
		}
		if r.heard.CompareAndSwap(heard, revision) {
			break
		}
	}
	if revision > r.read.Load() {
		select {
		case r.reread <- struct{}{}:
		default:
		}
	}
}

// HeldSlots returns the slots in use.
func (r *Runner) HeldSlots() []int {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slotsInUse()
}

// slotsInUse returns the slots in use. The caller holds the lock.
func (r *Runner) slotsInUse() []int {
	slots := make([]int, len(r.starts))
	for i, s := range r.starts {
		slots[i] = s.Slot
	}
	return slots
}

func (r *Runner) runSlots(ctx context.Context) {
	ticks := r.Timer.Subscribe(slotInterval)
	defer ticks.Stop()
	for {
		r.listVMs(ctx)
		if err := r.settleSlots(ctx); err != nil {
			r.counters.slotFailures.Add(1)
		}
		// A store that answers with an old table must not keep this daemon suspended
		// either.
		r.askForTable(ctx)
		select {
		case <-ctx.Done():
			r.giveUp(context.WithoutCancel(ctx))
			return
		case <-ticks.C():
		case <-r.reread:
		}
	}
}

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
	r.slots.List(now, vms)
}

// settleSlots reads the table and writes it until this daemon wants no change.
// After a write whose outcome is unknown or that met a conflict, the table is read
// again; the table itself then shows whether the write took effect.
func (r *Runner) settleSlots(ctx context.Context) error {
	for range maxSteps {
		e, err := r.readTable(ctx)
		if err != nil {
			return err
		}
		t, want := r.observe(e)
		if !want {
			return nil
		}
		if err := r.writeTable(ctx, t, e.Revision); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindConflict) && !lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
			return err
		}
	}
	return nil
}

func (r *Runner) readTable(ctx context.Context) (lagoonhead.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := r.Store.Get(ctx, limit.SlotsKey)
	if lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		if err := r.writeTable(ctx, limit.NewTable(r.SlotCount), 0); err != nil && !lagoonhead.IsKind(err, lagoonhead.KindConflict) {
			return e, err
		}
		e, err = r.Store.Get(ctx, limit.SlotsKey)
	}
	return e, err
}

func (r *Runner) observe(e lagoonhead.Entry) (limit.Table, bool) {
	t, err := limit.ParseTable(e.Value)
	if err != nil {
		r.Log.Error("the slot table cannot be read", zap.Error(err))
		return t, false
	}
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.starts)
	r.observeTable(now, t, e.Revision)
	next, want := r.slots.Next(now)
	r.applySlots(now)
	if len(r.starts) != before {
		r.Log.Info("limit slots in use changed", zap.Int("before", before), zap.Int("now", len(r.starts)))
	}
	return next, want
}

// observeTable takes in a table. The caller holds the lock.
func (r *Runner) observeTable(now time.Duration, t limit.Table, revision int64) {
	r.slots.Observe(now, t, revision)
	_, revision = r.slots.Table()
	r.read.Store(revision)
	r.applySlots(now)
}

func (r *Runner) writeTable(ctx context.Context, t limit.Table, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	t.Writer, t.Nonce = r.Incarnation, uuid.NewString()
	r.counters.slotWrites.Add(1)
	_, err := r.Store.Put(ctx, lagoonhead.PutRequest{Key: limit.SlotsKey, Value: t.Encode(), IfRevision: revision})
	if lagoonhead.IsKind(err, lagoonhead.KindConflict) {
		r.counters.slotConflicts.Add(1)
	}
	return err
}

// askForTable asks the peers for the newer table that this daemon has heard of and
// not got from the store.
func (r *Runner) askForTable(ctx context.Context) {
	for _, l := range r.Peers.Lenders() {
		r.mu.Lock()
		suspended := r.slots.Suspended()
		_, revision := r.slots.Table()
		r.mu.Unlock()
		if !suspended || ctx.Err() != nil {
			return
		}
		ask, cancel := context.WithTimeout(ctx, askTimeout)
		resp, err := l.Commands.Borrow(ask, &peer.BorrowRequest{
			Vm: string(r.VM), Incarnation: string(r.Incarnation), SlotsRevision: revision,
		})
		cancel()
		if err != nil {
			continue
		}
		now := r.Timer.Now()
		r.mu.Lock()
		r.learnTable(now, resp)
		r.mu.Unlock()
	}
}

// giveUp frees the slots, so that others can take them at once.
func (r *Runner) giveUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUpTimeout)
	defer cancel()
	now := r.Timer.Now()
	r.mu.Lock()
	r.slots.GiveUp()
	r.applySlots(now)
	r.mu.Unlock()
	for r.settleSlots(ctx) != nil {
		if r.Timer.Sleep(ctx, giveUpRetry) != nil {
			r.Log.Warn("limit slots could not be given up; they are free again when the platform's list has dropped this VM")
			return
		}
	}
}
