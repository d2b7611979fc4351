package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// lateWrite is the final write of a holder to its claim, queued for retries because the
// store did not confirm it in time.
type lateWrite struct {
	key   string
	final record
	tries int
}

func (k *Keeper) queueLateWrite(w lateWrite) {
	k.counters.lateWrites.Add(1)
	if !k.lateWrites.Push(w) {
		k.dropLateWrite(w)
	}
}

// dropLateWrite counts and logs a late write that is not retried any more.
func (k *Keeper) dropLateWrite(w lateWrite) {
	k.counters.lateWritesDropped.Add(1)
	k.Log.Warn("outcome of a claim could not be recorded; retries of the call fail, as its outcome is unknown", zap.String("claim", w.key))
}

// Run makes late writes until ctx ends. Without Run calls still run at most once, but
// more claims stay without an outcome.
func (k *Keeper) Run(ctx context.Context) error {
	k.once.Do(k.setUp)
	timer.Every(ctx, k.Timer, k.LateWriteInterval, func(time.Duration) { k.writeLate(ctx) })
	return nil
}

// writeLate tries each queued late write once.
func (k *Keeper) writeLate(ctx context.Context) {
	for range k.lateWrites.Len() {
		w := <-k.lateWrites.C()
		if k.tryLateWrite(ctx, w) {
			continue
		}
		w.tries++
		if w.tries == maxLateTries || !k.lateWrites.Push(w) {
			k.dropLateWrite(w)
		}
	}
}

// tryLateWrite makes one try and reports whether no further try is needed.
func (k *Keeper) tryLateWrite(ctx context.Context, w lateWrite) bool {
	v, err := k.get(ctx, w.key)
	switch {
	case lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		// The write that creates the claim may still take effect, since its response was
		// lost.
		return false
	case err != nil:
		return false
	case v.Nonce == w.final.Nonce:
		return true
	case v.Claim != w.final.Claim:
		// The write that creates the claim has not taken effect. If it was to replace a
		// released claim that is still stored, it may do so later. It cannot replace any
		// other record.
		return v.State != stateReleased
	}
	_, err = k.put(ctx, w.key, w.final, v.revision)
	return err == nil || lagoonhead.IsKind(err, lagoonhead.KindConflict)
}
