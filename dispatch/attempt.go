package dispatch

import (
	"context"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
)

// attempt is one attempt to have an endpoint run the request.
type attempt struct {
	// request is the request, or its copy that has begun the attempt.
	request  *request
	endpoint lagoonhead.Endpoint
	// choice is set until the prompt is prefilled if the endpoint also prefills it. handle is the
	// KV cache of the prompt, or nil.
	choice *steer.PrefillChoice
	handle *lagoonhead.KVHandle
	began  time.Duration
	// ctx is the context of the attempt, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// answer is set once the endpoint has accepted the request.
	answer *lagoonhead.Answer
}

// newAttempt returns the next attempt, at an endpoint at which the run is counted until the end of
// the attempt.
func (r *request) newAttempt(ctx context.Context, e lagoonhead.Endpoint, v *steer.PrefillChoice, h *lagoonhead.KVHandle) *attempt {
	a := &attempt{request: r, endpoint: e, choice: v, handle: h, began: r.Timer.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// send sends the request and returns once the endpoint has accepted it. ctx is that of the request.
func (r *request) send(ctx context.Context, a *attempt) error {
	r.sends++
	r.vars.sends.Add(1)
	s := r.describeSend(a.endpoint)
	if r.route.Streaming {
		s.KVSource, s.Urgency = a.handle, r.runUrgency(a.choice, a.handle)
	} else {
		s.NewConnection = r.route.RetryPolicy == catalog.RetryNever
	}
	if a.choice != nil {
		s.CacheSource = a.choice.CacheSource
	}
	ans, err := r.Sender.Send(a.ctx, s)
	if err != nil {
		if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
			r.runs++
		}
		r.recordFailure(ctx, a.endpoint, "run", err)
		return err
	}
	r.runs++
	a.answer = ans
	return nil
}

// sendMove is send for a request that moves, which is taken from the retry budget.
func (r *request) sendMove(ctx context.Context, a *attempt) error {
	if !r.takeRetry() {
		return failf("move", lagoonhead.KindUnavailable, "the retry budget of %s is used up", r.service)
	}
	return r.send(ctx, a)
}

// rejectMove returns the error of a move to an endpoint that has not accepted the request.
func (r *request) rejectMove(ctx context.Context, a *attempt) error {
	a.answer.Body.Close()
	err := failf("move", lagoonhead.KindUnknown, "status %d", a.answer.Status)
	r.recordFailure(ctx, a.endpoint, "run", err)
	return err
}

// goOn makes the request go on with an attempt that a copy of it has begun.
func (r *request) goOn(a *attempt) {
	n := a.request
	r.prompt, r.decision, r.judged, r.judgedAt = n.prompt, n.decision, n.judged, n.judgedAt
	a.request = r
}

// endPrefill records that the endpoint has prefilled the prompt in the given time, or 0 if it has
// not. Only the first call counts.
func (a *attempt) endPrefill(took time.Duration) {
	if a.choice != nil {
		a.request.endPrefill(*a.choice, took)
		a.choice = nil
	}
}

// end ends the attempt. Its answer must have been closed.
func (a *attempt) end() {
	a.cancel(nil)
	a.endPrefill(0)
	a.request.endRun(a.endpoint)
}

// discard ends an attempt whose answer is not used.
func (a *attempt) discard() {
	a.answer.Body.Close()
	a.end()
}
