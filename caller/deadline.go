package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

var errDeadline = errors.New("the deadline of the request has passed")

// deadline cancels a context at a time of the timer service, unless it is
// disarmed before.
type deadline struct {
	decided atomic.Bool
	cancel  context.CancelCauseFunc
	stop    context.CancelFunc
}

// newDeadline returns a context that ends after d. The deadline must be closed.
func newDeadline(ctx context.Context, t timer.Timer, d time.Duration) (context.Context, *deadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	wait, stop := context.WithCancel(ctx)
	dl := &deadline{cancel: cancel, stop: stop}
	go func() {
		if t.Sleep(wait, d) == nil && dl.decided.CompareAndSwap(false, true) {
			cancel(errDeadline)
		}
	}()
	return ctx, dl
}

// disarm keeps the context alive past the deadline. It reports false when the
// deadline has passed already.
func (d *deadline) disarm() bool {
	d.stop()
	return d.decided.CompareAndSwap(false, true)
}

// close ends the context.
func (d *deadline) close() {
	d.stop()
	d.cancel(context.Canceled)
}

// deadlineError returns an error of KindTimeout when err came from the end of the
// deadline of ctx, and err otherwise. Kinds that say more than that are kept.
func deadlineError(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errDeadline) {
		return err
	}
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindInternal, lagoonhead.KindUnknown, lagoonhead.KindTimeout:
		return fault("caller.deadline", lagoonhead.KindTimeout, errors.CombineErrors(errDeadline, err))
	}
	return err
}
