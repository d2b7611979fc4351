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

// deadline cancels a context after a time of its timer.Timer, unless it is disarmed
// before.
type deadline struct {
	decided atomic.Bool // set by expiry or by disarm, whichever comes first
	cancel  context.CancelCauseFunc
	stop    context.CancelFunc
}

// newDeadline returns a context that is cancelled after d with the cause errDeadline.
// The deadline must be closed.
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

// disarm prevents the deadline from cancelling the context. It returns false when the
// deadline has already passed.
func (d *deadline) disarm() bool {
	d.stop()
	return d.decided.CompareAndSwap(false, true)
}

// close cancels the context and frees the resources of the deadline.
func (d *deadline) close() {
	d.stop()
	d.cancel(context.Canceled)
}

// deadlineError returns an error of KindTimeout when ctx was cancelled by its deadline,
// unless err has a more specific kind. Otherwise it returns err.
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
