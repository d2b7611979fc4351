package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/steer"
	"github.com/lagoonhead/lagoonhead/triage"
)

// defaultTimeout bounds a request for which neither the route nor the caller sets a timeout.
const defaultTimeout = time.Minute

// request is the state of one call that is being served.
type request struct {
	*Dispatcher
	call          *Call
	sink          Sink
	route         *catalog.Route
	configVersion int64
	workspace     *catalog.Workspace
	service       string
	urgency       int
	arrived       time.Duration
	deadline      time.Duration
	demand        *lagoonhead.Request
	// parts are the identifiers of the prompt's parts that other prompts may share.
	parts []string

	avoid []lagoonhead.EndpointID
	// unwilling holds the endpoints that did not accept the request when it was to move to them.
	unwilling []lagoonhead.EndpointID
	sends     int
	runs      int // number of endpoints that may have run the request
	// prefilled is true once an engine has prefilled the prompt apart from the run.
	prefilled bool
	// reserved is the engine whose limit has a place for the run behind the prefill until
	// reservedUntil, or nil.
	reserved      *lagoonhead.Endpoint
	reservedUntil time.Duration
	// takenRetries is the number of sends that were taken from the retry budget in advance.
	takenRetries int
	// spare is the KV cache of the prompt for a move that another endpoint refused, or nil.
	spare        *lagoonhead.KVHandle
	usageCounted bool
	// unlimited is true if no workspace has a rate limit, so that the decisions of package triage
	// divide the engines.
	unlimited bool
	// prompt and decision are the newest judgement of the prompt. judged is true from the time
	// judgedAt at which the prompt was sent as decided until it is prefilled or failed.
	prompt   triage.Prompt
	decision triage.Decision
	judged   bool
	judgedAt time.Duration
	// started is true once the sink has got the beginning of an answer.
	started bool
	// takeUp is true if the caller takes up a stream that began with another request.
	takeUp bool
	// regions are those in which the request may be prefilled and run.
	regions lagoonhead.RegionSet
	// outsideRegions is true once no endpoint in regions was found.
	outsideRegions bool
	// version is the software version of the stream, which it may not leave. It is set before the
	// caller gets the first event, or is that at which a stream that is taken up began.
	version lagoonhead.VersionPin
	// view is that of the daemon at the time of the last send.
	view mirror.View
	// steps describes each decision on the request, with its time since the arrival.
	steps []string
}

func (r *request) setDeadline() {
	limit := defaultTimeout
	if r.route.Timeout > 0 {
		limit = r.route.Timeout
	}
	if r.call.Timeout > 0 {
		limit = min(limit, r.call.Timeout)
	}
	r.deadline = r.arrived + limit
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration { return r.deadline - r.Timer.Now() }

// serve admits the request and answers it.
func (r *request) serve(ctx context.Context) error {
	if !r.route.Streaming && r.route.RetryPolicy == catalog.RetryNever {
		// The attempt goes on when the caller leaves, so that its outcome becomes known.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer time.AfterFunc(r.remaining(), func() { abort(errDeadline) }).Stop()
	defer r.track(r, abort)()
	if err := r.checkSuspects(); err != nil {
		return err
	}
	if err := r.findVersion(ctx); err != nil {
		return err
	}
	reservation, err := r.admit(ctx)
	if err != nil {
		return err
	}
	r.RetryBudget.CountRequest(r.service)
	if r.route.Streaming {
		err = r.serveStream(ctx)
	} else {
		err = r.serveSingle(ctx)
	}
	if reservation != nil {
		reservation.Settle(r.tokensToCharge(err))
	}
	return err
}

// checkSuspects returns an error if the request, or a part of its prompt, has crashed endpoints.
// It is called before each send, since others may have crashed meanwhile.
func (r *request) checkSuspects() error {
	_, err := r.Suspects.Check(r.demand.Fingerprint())
	if err == nil {
		err = r.Parts.Check(r.call.ID, r.parts)
	}
	if err == nil {
		return nil
	}
	e := fail("suspect", lagoonhead.KindUnavailable, err)
	e.retryAfter = RetryAfter(err)
	return e
}

// admit reserves the tokens of the workspace, if it has a rate limit.
func (r *request) admit(ctx context.Context) (lagoonhead.Reservation, error) {
	if r.workspace == nil || r.workspace.Quota.Rate <= 0 {
		return nil, nil
	}
	res, err := r.Admitter.Admit(ctx, r.demand)
	if err == nil {
		r.addStep("admitted with %d tokens", r.demand.Charge())
		return res, nil
	}
	k := lagoonhead.KindOf(err)
	if k == lagoonhead.KindInvalid {
		// A request that is larger than the burst exceeds the limit at any time.
		k = lagoonhead.KindExhausted
	}
	e := fail("admit", k, err)
	e.retryAfter = RetryAfter(err)
	return nil, e
}

// tokensToCharge returns the tokens to charge. A request that has not run costs nothing.
func (r *request) tokensToCharge(err error) int64 {
	if r.runs == 0 && err != nil {
		return 0
	}
	return r.demand.Charge()
}

// countUsage counts the request for billing once an endpoint has begun to run it.
func (r *request) countUsage() {
	if r.usageCounted || r.workspace == nil {
		return
	}
	r.usageCounted = true
	r.Usage.CountRequest(r.workspace.ID)
}

// describeSend describes the next send to an endpoint.
func (r *request) describeSend(e lagoonhead.Endpoint) *lagoonhead.Attempt {
	chosen := r.Timer.Now()
	if r.View != nil {
		r.view = r.View()
	}
	a := &lagoonhead.Attempt{
		Endpoint: e, ID: r.call.ID, Method: r.call.Method, Host: r.call.Host, URL: r.call.URL,
		Header: r.call.Header, Body: r.call.Body, Urgency: r.urgency, TimeLeft: max(r.remaining(), time.Millisecond),
		LastEventID: r.call.LastEventID, OnConnected: func() { r.recordConnected(e, chosen) }, OnStatus: func(s lagoonhead.EndpointStatus) { r.recordStatus(e, s) },
		OnExtra: func(id lagoonhead.RequestID, status int) { r.recordExtra(e, id, status) },
	}
	if r.workspace != nil {
		a.Workspace = r.workspace.ID
	}
	return a
}

// mayRetry reports whether one more send is allowed after err: by the deadline, maxSends, what
// the route allows for requests that may have run, and the retry budget of the service, from
// which it takes the send.
func (r *request) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || r.sends >= maxSends {
		return false
	}
	if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) && (!r.retryable() || r.runs >= r.route.MaxAttempts) {
		return false
	}
	return r.takeRetry()
}

// mayMove reports whether the request may go to another endpoint.
func (r *request) mayMove() bool {
	return r.retryable() && r.runs < r.route.MaxAttempts && r.sends < maxSends
}

// fork returns a copy of the request that another goroutine can use. It has no steps and nothing
// that the request has reserved or begun.
func (r *request) fork() *request {
	n, call := *r, *r.call
	n.call, n.sink, n.avoid, n.steps = &call, nil, slices.Clone(r.avoid), nil
	n.reserved, n.judged, n.takenRetries, n.spare = nil, false, 0, nil
	return &n
}

// takeReserved takes over from another copy of the request the sends that were taken from the retry
// budget and the KV cache that is left.
func (r *request) takeReserved(from *request) {
	r.takenRetries += from.takenRetries
	from.takenRetries = 0
	if from.spare != nil {
		r.release(r.spare)
		r.spare, from.spare = from.spare, nil
	}
}

// takeRetry takes one send from the retry budget of the service and reports whether the budget
// allowed it.
func (r *request) takeRetry() bool {
	if r.takenRetries > 0 {
		r.takenRetries--
	} else if !r.RetryBudget.Take(r.service) {
		r.addStep("not repeated: the retry budget of %s is used up", r.service)
		return false
	}
	r.vars.retries.Add(1)
	return true
}

// maxSends bounds the sends of one request, including refused ones, so that a request does
// not try every endpoint of a service that is full.
const maxSends = 5

// retryable reports whether the request may run more than once.
func (r *request) retryable() bool {
	if r.route.Streaming {
		return r.route.Resumable
	}
	return r.route.RetryPolicy == catalog.RetrySafe
}

// addStep records a decision for the log.
func (r *request) addStep(format string, args ...any) {
	at := (r.Timer.Now() - r.arrived).Round(100 * time.Microsecond)
	r.steps = append(r.steps, at.String()+" "+fmt.Sprintf(format, args...))
}

// recordFailure records a failed attempt at an endpoint, which the request avoids from then on.
func (r *request) recordFailure(ctx context.Context, e lagoonhead.Endpoint, operation string, err error) {
	k := lagoonhead.KindOf(err)
	r.addStep("%s at %s failed: %v", operation, e.ID(), err)
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
		r.Log.Warn("endpoint crashed", zap.String("endpoint", string(e.ID())), zap.String("request", string(r.call.ID)),
			zap.String("route", r.route.Name), zap.Strings("parts", r.parts))
		// Before Suspects, which sends both to the peers at once.
		r.Parts.Crashed(r.parts, e)
		r.Suspects.Crashed(r.demand.Fingerprint(), e.ID())
	}
	r.avoid = append(r.avoid, e.ID())
	r.recordResult(e, result)
}

func (r *request) recordResult(e lagoonhead.Endpoint, result steer.Result) {
	now := r.Timer.Now()
	var excluded time.Duration
	var failureRate float64
	r.WithBoard(func(b *steer.Board) {
		if excluded = b.RecordResult(now, e, result); excluded > 0 {
			failureRate = b.ExcessFailureRate(now, e)
		}
	})
	// Refusals exclude an endpoint only briefly and are frequent; the steps of the
	// requests show them.
	if excluded > 0 && result != steer.Refused {
		r.Log.Info("endpoint left out", zap.String("endpoint", string(e.ID())), zap.Stringer("result", result),
			zap.Duration("for", excluded), zap.Float64("failingPart", failureRate), zap.String("request", string(r.call.ID)))
	}
}

// recordStatus records what an endpoint says of itself.
func (r *request) recordStatus(e lagoonhead.Endpoint, s lagoonhead.EndpointStatus) {
	if s.HasLimit {
		r.recordLimit(e, s.Limit)
	}
	if s.Leaving && r.Departures.RecordLeaving(e) {
		r.vars.departures.Add(1)
		r.Log.Info("endpoint leaves", zap.String("endpoint", string(e.ID())), zap.String("incarnation", string(e.Incarnation())),
			zap.String("request", string(r.call.ID)))
	}
}

// slowConnection is the time from the choice of an endpoint from which the wait for a connection to it
// is logged.
const slowConnection = 100 * time.Millisecond

// recordConnected records how long after its choice an endpoint gets the request.
func (r *request) recordConnected(e lagoonhead.Endpoint, chosen time.Duration) {
	if waited := r.Timer.Now() - chosen; waited >= slowConnection {
		r.addStep("connected to %s after %s", e.ID(), waited.Round(time.Millisecond))
	}
}

// recordExtra records a response that an endpoint sent once more for an earlier request.
func (r *request) recordExtra(e lagoonhead.Endpoint, id lagoonhead.RequestID, status int) {
	r.vars.extraResponses.Add(1)
	r.addStep("%s sent a response with status %d to request %q once more", e.ID(), status, id)
}

// recordLimit records the limit that an endpoint names.
func (r *request) recordLimit(e lagoonhead.Endpoint, perSecond float64) {
	now := r.Timer.Now()
	var changed bool
	r.WithBoard(func(b *steer.Board) { changed = b.SetLimit(now, e, perSecond) })
	if changed {
		r.Log.Info("endpoint limit", zap.String("endpoint", string(e.ID())), zap.Float64("perSecond", perSecond),
			zap.String("request", string(r.call.ID)))
	}
}

// pickRun chooses the endpoint of the next run and counts the run there. source is the engine that
// keeps the KV cache of the prompt, or nil.
func (r *request) pickRun(source *lagoonhead.Endpoint) (lagoonhead.Endpoint, error) {
	now := r.Timer.Now()
	var e lagoonhead.Endpoint
	var ok bool
	q := r.runRequest(source)
	r.WithBoard(func(b *steer.Board) {
		if e, ok = b.PickRun(now, q); ok {
			b.AddRunning(e, 1)
		}
	})
	if !ok {
		return e, r.refuse(q.Version, "the request")
	}
	r.addStep("run at %s in %s", e.ID(), e.FailureDomain())
	return e, nil
}

// runRequest describes the next run. source is the engine that keeps the KV cache of the prompt, or
// nil. A KV cache is not moved to an engine of another software version.
func (r *request) runRequest(source *lagoonhead.Endpoint) steer.RunRequest {
	q := steer.RunRequest{Service: r.service, Near: r.Domain, Retryable: r.retryable(), Avoid: r.avoid, Version: r.version, Regions: r.regions}
	if source != nil {
		q.Near, q.Transfer, q.Version = source.FailureDomain(), true, lagoonhead.PinVersion(source.Software())
	}
	return q
}

func (r *request) endRun(e lagoonhead.Endpoint) {
	r.WithBoard(func(b *steer.Board) { b.AddRunning(e, -1) })
}

// busyRetryAfter is the retry delay for callers when there was no usable endpoint: endpoints
// that failed are tried again after some hundred milliseconds.
const busyRetryAfter = 300 * time.Millisecond

// refuse returns the error of a request, or a part of it, that no endpoint of its software version
// can take.
func (r *request) refuse(v lagoonhead.VersionPin, what string) error {
	now := r.Timer.Now()
	var wait time.Duration
	serves, evacuated := true, false
	r.WithBoard(func(b *steer.Board) {
		wait = b.LimitWait(now, r.service, v, r.regions)
		serves, evacuated = b.HasVersion(r.service, v, r.regions), len(b.Evacuated) > 0
	})
	return r.refusal(v, what, wait, serves, evacuated)
}

// refusal is refuse with what the board knows: the time until limits allow the request, whether an
// endpoint that suits it is registered, and whether a failure domain is evacuated.
func (r *request) refusal(v lagoonhead.VersionPin, what string, wait time.Duration, serves, evacuated bool) error {
	after := max(busyRetryAfter, wait)
	e := failf("place", lagoonhead.KindUnavailable, "no endpoint of %s at %s can take %s", r.service, v, what)
	if r.regions.Limited() && !serves {
		if !r.outsideRegions {
			r.outsideRegions = true
			r.vars.outsideRegions.Add(1)
			r.addStep("no endpoint in the allowed regions %v", r.regions.Names())
		}
		after = max(after, versionRetryAfter)
	}
	if evacuated && !serves {
		after = max(after, versionRetryAfter)
	}
	if _, bound := v.Version(); bound && !serves {
		e = failf("place", lagoonhead.KindUnavailable, "no endpoint of %s at %s is registered and stays", r.service, v)
		after = max(after, versionRetryAfter)
	}
	e.retryAfter = after
	return e
}

// finalError turns the error of the last attempt into that of the request: once an attempt
// may have run, an error can't state any more that the request has not.
func (r *request) finalError(ctx context.Context, err error) error {
	k := lagoonhead.KindOf(err)
	if r.runs > 0 && (k == lagoonhead.KindUnavailable || k == lagoonhead.KindTimeout) {
		k = lagoonhead.KindUnknown
	}
	if r.runs == 0 && (k == lagoonhead.KindUnknown || k == lagoonhead.KindCrashed) {
		// Only prefills have failed.
		k = lagoonhead.KindUnavailable
	}
	if errors.Is(context.Cause(ctx), errDeadline) && k != lagoonhead.KindUnavailable {
		err = errors.CombineErrors(errDeadline, err)
	}
	e := fail("serve", k, err)
	if k == lagoonhead.KindUnavailable {
		e.retryAfter = r.finalRetryAfter(err)
	}
	return e
}

// IsDeadlineExceeded reports whether an error of Serve was caused by the deadline of the
// request.
func IsDeadlineExceeded(err error) bool { return errors.Is(err, errDeadline) }
