package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/steer"
)

// defaultTimeout bounds a request whose route and caller name no time.
const defaultTimeout = time.Minute

// request is one call under way.
type request struct {
	*Dispatcher
	call     *Call
	sink     Sink
	route    *catalog.Route
	version  int64
	holder   *catalog.Workspace
	service  string
	urgency  int
	arrived  time.Duration
	deadline time.Duration
	demand   *lagoonhead.Request

	avoid   []lagoonhead.EndpointID
	sends   int
	runs    int // endpoints that may have run the request
	counted bool
	// started is true once the sink has the beginning of an answer.
	started bool
	// steps tells each decision on the request with its time since the arrival.
	steps []string
}

func (r *request) setDeadline() {
	limit := defaultTimeout
	if r.route.Timeout > 0 {
		limit = r.route.Timeout
	}
	if r.call.Patience > 0 {
		limit = min(limit, r.call.Patience)
	}
	r.deadline = r.arrived + limit
}

func (r *request) left() time.Duration { return r.deadline - r.Timer.Now() }

// serve admits the request and has it answered.
func (r *request) serve(ctx context.Context) error {
	if !r.route.Streaming && r.route.Repeat == catalog.RepeatNever {
		// A caller that leaves must not leave the outcome open.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.left(), errDeadline)
	defer cancel()
	if _, err := r.Suspects.Check(r.demand.Fingerprint()); err != nil {
		return fail("suspect", lagoonhead.KindUnavailable, err)
	}
	reservation, err := r.admit(ctx)
	if err != nil {
		return err
	}
	r.Retries.Earn(r.service)
	if r.route.Streaming {
		err = r.stream(ctx)
	} else {
		err = r.plain(ctx)
	}
	if reservation != nil {
		reservation.Settle(r.used(err))
	}
	return err
}

// admit reserves the tokens of the workspace, if it has a bound.
func (r *request) admit(ctx context.Context) (lagoonhead.Reservation, error) {
	if r.holder == nil || r.holder.Quota.Rate <= 0 {
		return nil, nil
	}
	res, err := r.Admitter.Admit(ctx, r.demand)
	if err == nil {
		r.step("admitted with %d tokens", r.demand.Charge())
		return res, nil
	}
	k := lagoonhead.KindOf(err)
	if k == lagoonhead.KindInvalid {
		// A request that is larger than the burst is over the limit for good.
		k = lagoonhead.KindExhausted
	}
	e := fail("admit", k, err)
	e.after = RetryAfter(err)
	return nil, e
}

// used returns the tokens to charge. A request that has not run costs nothing.
func (r *request) used(err error) int64 {
	if r.runs == 0 && err != nil {
		return 0
	}
	return r.demand.Charge()
}

// began counts the request for usage once an endpoint has begun to run it.
func (r *request) began() {
	if r.counted || r.holder == nil {
		return
	}
	r.counted = true
	r.Usage.Began(r.holder.ID)
}

// attempt describes the next send to an endpoint.
func (r *request) attempt(e lagoonhead.Endpoint) *lagoonhead.Attempt {
	a := &lagoonhead.Attempt{
		Endpoint: e, ID: r.call.ID, Method: r.call.Method, Host: r.call.Host, URL: r.call.URL,
		Header: r.call.Header, Body: r.call.Body, Urgency: r.urgency, TimeLeft: max(r.left(), time.Millisecond),
		After: r.call.After,
	}
	if r.holder != nil {
		a.Workspace = r.holder.ID
	}
	return a
}

// mayRepeat reports whether one more send is allowed after err: within the time, the
// budget of the fleet, and what the route says of requests that may have run.
func (r *request) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || r.sends >= maxSends {
		return false
	}
	if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) && (!r.repeatable() || r.runs >= r.route.MaxAttempts) {
		return false
	}
	if !r.Retries.Take(r.service) {
		r.step("not repeated: the retry budget of %s is used up", r.service)
		return false
	}
	r.vars.repeats.Add(1)
	return true
}

// maxSends bounds the sends of one request, refused ones included, so that a request
// does not visit every endpoint of a service that is full.
const maxSends = 5

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool {
	if r.route.Streaming {
		return r.route.Resumable
	}
	return r.route.Repeat == catalog.RepeatSafe
}

// step notes a decision for the log.
func (r *request) step(format string, args ...any) {
	at := (r.Timer.Now() - r.arrived).Round(100 * time.Microsecond)
	r.steps = append(r.steps, at.String()+" "+fmt.Sprintf(format, args...))
}

// failed notes a failed attempt at an endpoint.
func (r *request) failed(ctx context.Context, e lagoonhead.Endpoint, step string, err error) {
	k := lagoonhead.KindOf(err)
	r.step("%s at %s failed: %v", step, e.ID(), err)
	result := steer.Neutral
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		// The caller left.
	case errors.Is(err, lagoonhead.ErrNotReached):
		result = steer.Unreachable
	case k == lagoonhead.KindUnavailable:
		result = steer.Refused
	default:
		result = steer.Bad
	}
	if k == lagoonhead.KindCrashed {
		r.Suspects.Crashed(r.demand.Fingerprint(), e.ID())
	}
	r.avoid = append(r.avoid, e.ID())
	r.judge(e, result)
}

func (r *request) judge(e lagoonhead.Endpoint, result steer.Result) {
	now := r.Timer.Now()
	var out time.Duration
	var failing float64
	r.Board(func(b *steer.Board) {
		if out = b.Judge(now, e, result); out > 0 {
			failing = b.Failing(now, e)
		}
	})
	// Refusals are short and follow each other; they are in the steps of the requests.
	if out > 0 && result != steer.Refused {
		r.Log.Info("endpoint left out", zap.String("endpoint", string(e.ID())), zap.Stringer("result", result),
			zap.Duration("for", out), zap.Float64("failingPart", failing), zap.String("request", string(r.call.ID)))
	}
}

// pickRun chooses the endpoint of the next run and counts it there.
func (r *request) pickRun(near lagoonhead.FailureDomain) (lagoonhead.Endpoint, error) {
	now := r.Timer.Now()
	var e lagoonhead.Endpoint
	var ok bool
	r.Board(func(b *steer.Board) {
		if e, ok = b.PickRun(now, steer.RunRequest{Service: r.service, Near: near, Repeatable: r.repeatable(), Avoid: r.avoid}); ok {
			b.Running(e, 1)
		}
	})
	if !ok {
		return e, r.refuse("no endpoint of %s can take the request", r.service)
	}
	r.step("run at %s in %s", e.ID(), e.FailureDomain())
	return e, nil
}

func (r *request) endRun(e lagoonhead.Endpoint) {
	r.Board(func(b *steer.Board) { b.Running(e, -1) })
}

// busyRetry is when a caller may come back after it found no endpoint: endpoints that
// failed are tried again after some hundred milliseconds.
const busyRetry = 300 * time.Millisecond

func (r *request) refuse(format string, args ...any) error {
	e := failf("place", lagoonhead.KindUnavailable, format, args...)
	e.after = busyRetry
	return e
}

// verdict turns the error of the last attempt into that of the request: once an
// attempt may have run, nobody can say any more that the request has not.
func (r *request) verdict(ctx context.Context, err error) error {
	k := lagoonhead.KindOf(err)
	if r.runs > 0 && (k == lagoonhead.KindUnavailable || k == lagoonhead.KindTimeout) {
		k = lagoonhead.KindUnknown
	}
	if r.runs == 0 && (k == lagoonhead.KindUnknown || k == lagoonhead.KindCrashed) {
		// Only reads of the prompt have failed.
		k = lagoonhead.KindUnavailable
	}
	if errors.Is(context.Cause(ctx), errDeadline) && k != lagoonhead.KindUnavailable {
		err = errors.CombineErrors(errDeadline, err)
	}
	e := fail("serve", k, err)
	if k == lagoonhead.KindUnavailable {
		e.after = max(RetryAfter(err), busyRetry)
	}
	return e
}

// TimeUp reports whether an error of Serve came from the end of the request's time.
func TimeUp(err error) bool { return errors.Is(err, errDeadline) }
