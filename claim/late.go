package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// lateWrite is the last word of a holder on its claim, which the store did not
// confirm in time.
type lateWrite struct {
	key   string
	final record
	tries int
}

func (k *Keeper) pushLate(w lateWrite) {
	k.vars.late.Add(1)
	if !k.late.Push(w) {
		k.dropped(w)
	}
}

func (k *Keeper) dropped(w lateWrite) {
	k.vars.lateDropped.Add(1)
	k.Log.Warn("late outcome of a claim is given up; repeats hear that it is not known", zap.String("claim", w.key))
}

// Run makes late writes until ctx ends. Without it claims are as safe, but more of
// them stay without an outcome.
func (k *Keeper) Run(ctx context.Context) error {
	k.once.Do(k.setUp)
	timer.Every(ctx, k.Timer, k.LateEvery, func(time.Duration) { k.writeLate(ctx) })
	return nil
}

// writeLate tries each waiting write once.
func (k *Keeper) writeLate(ctx context.Context) {
	for range k.late.Len() {
		w := <-k.late.C()
		if k.tryLate(ctx, w) {
			continue
		}
		w.tries++
		if w.tries == maxLateTries || !k.late.Push(w) {
			k.dropped(w)
		}
	}
}

// tryLate reports whether the write needs no further try.
func (k *Keeper) tryLate(ctx context.Context, w lateWrite) bool {
	v, err := k.get(ctx, w.key)
	switch {
	case lagoonhead.IsKind(err, lagoonhead.KindNotFound):
		// The claim may still arrive: the answer to its creation was lost.
		return false
	case err != nil:
		return false
	case v.Nonce == w.final.Nonce:
		return true
	case v.Claim != w.final.Claim:
		// The claim was to take over a released one, which is still there, so it may
		// still arrive. Over any other record it cannot.
		return v.State != released
	}
	_, err = k.put(ctx, w.key, w.final, v.revision)
	return err == nil || lagoonhead.IsKind(err, lagoonhead.KindConflict)
}
