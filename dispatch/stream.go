package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/sse"
	"github.com/lagoonhead/lagoonhead/steer"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// minSilenceTimeout is the shortest silence after which an attempt is abandoned. It is
	// above the usual pauses of an engine whose batch is full.
	minSilenceTimeout = 500 * time.Millisecond
	// prefillTimeoutFactor is the timeout of a prefill in multiples of its expected time. With
	// a smaller one, prompts that only wait in a queue would be prefilled twice.
	prefillTimeoutFactor = 3
	// minPrefillTimeout is the shortest timeout of a prefill. An engine that has crashed is
	// noticed sooner, by its connection; this is for one that hangs.
	minPrefillTimeout = 1500 * time.Millisecond
	// expectedFirstEventTime is the expected time from the end of a separate prefill to the
	// first event at the caller, with a batch that is half full.
	expectedFirstEventTime = 150 * time.Millisecond
	// releaseTimeout bounds the release of an unused KV cache.
	releaseTimeout = time.Second
	// reservationTime is the time within which a reserved run must begin. Runs that are
	// reserved in one period and begin in another must not add up to more than an endpoint
	// with a limit takes.
	reservationTime = 500 * time.Millisecond
)

// serveStream serves a request whose answer is a series of events.
func (r *request) serveStream(ctx context.Context) error {
	var handle *lagoonhead.KVHandle
	defer func() {
		r.release(handle)
		r.release(r.spare)
		r.returnReservation()
	}()
	for {
		if err := r.checkSuspects(); err != nil {
			return r.finalError(ctx, err)
		}
		choice, err := r.prefill(ctx, &handle)
		if err != nil {
			return r.finalError(ctx, err)
		}
		e, err := r.beginRun(choice, handle)
		if err != nil && handle == nil {
			return r.finalError(ctx, err)
		}
		if err == nil {
			err = r.run(ctx, e, choice, handle)
		}
		if err == nil {
			handle = nil
			r.Suspects.Finished(r.demand.Fingerprint())
			return nil
		}
		if !errors.Is(err, lagoonhead.ErrNotReached) {
			// The engine has fetched the KV cache of the handle, or could not fetch it.
			if lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
				r.release(handle)
			}
			handle = nil
		}
		if !r.mayRetry(ctx, err) {
			return r.finalError(ctx, err)
		}
		if r.started {
			r.vars.resumes.Add(1)
			r.addStep("resume behind event %s, %s", r.call.LastEventID, r.version)
		}
	}
}

// callerGiveUpTime returns when the caller gives up on a stream that has sent no event.
func (r *request) callerGiveUpTime() time.Duration {
	if r.route.AssumedCallerTimeout == 0 {
		return r.deadline
	}
	return min(r.deadline, r.arrived+r.route.AssumedCallerTimeout)
}

// prefill chooses the engine that prefills the prompt. If that engine only prefills, the
// prefill is complete when this method returns, handle names the KV cache, and the returned
// choice is nil. Otherwise the prefill begins with the run. A handle that is left from an
// attempt that did not reach its engine is used again. The choice is also nil when the caller
// did not describe the prompt.
func (r *request) prefill(ctx context.Context, handle **lagoonhead.KVHandle) (*steer.PrefillChoice, error) {
	if !r.call.HasPrompt || *handle != nil {
		return nil, nil
	}
	// The first prefill that an engine accepts is no repeat. A later one is, besides the run
	// behind it, which mayRetry has counted.
	uncounted := r.prefilled
	for {
		v, ok := r.pickPrefill()
		if !ok {
			return nil, r.refuse(r.version, "the prompt")
		}
		r.addStep("read at %s: apart %t, %d tokens, expected in %s%s", v.Endpoint.ID(), v.PrefillOnly, v.Tokens, v.Wait.Round(time.Millisecond), v.Estimate)
		if v.CacheSource != nil {
			r.addStep("shared part fetched from %s", v.CacheSource.ID())
		}
		if err := r.judgePrompt(v); err != nil {
			r.cancelPrefill(v)
			return nil, err
		}
		if !v.PrefillOnly {
			r.beginJudged()
			return &v, nil
		}
		if uncounted && !r.takeRetry() {
			r.cancelPrefill(v)
			return nil, failf("prefill", lagoonhead.KindUnavailable, "the retry budget of %s is used up", r.service)
		}
		uncounted = false
		h, err := r.prefillSeparately(ctx, v)
		if err == nil {
			*handle, r.prefilled = &h, true
			return nil, r.checkSuspects()
		}
		if ctx.Err() != nil || !r.mayRetry(ctx, fail("prefill", lagoonhead.KindUnavailable, err)) {
			return nil, err
		}
		if err := r.checkSuspects(); err != nil {
			return nil, err
		}
	}
}

func (r *request) pickPrefill() (v steer.PrefillChoice, ok bool) {
	now := r.Timer.Now()
	q := r.prefillRequest()
	r.returnReservation()
	r.WithBoard(func(b *steer.Board) {
		if v, ok = b.PickPrefill(now, q); !ok {
			return
		}
		if v.PrefillOnly {
			var e lagoonhead.Endpoint
			var reserved bool
			if e, reserved, ok = b.ReserveRun(now, r.runRequest(&v.Endpoint)); !ok {
				b.ReturnToLimit(v.Endpoint)
				return
			}
			if reserved {
				r.reserved, r.reservedUntil = &e, now+reservationTime
			}
		}
		b.BeginPrefill(v)
	})
	return v, ok
}

// prefillRequest describes the next prefill.
func (r *request) prefillRequest() steer.PrefillRequest {
	return steer.PrefillRequest{
		Service: r.service, Prompt: r.call.Prompt, Due: r.prefillDue(), MaxPause: r.route.PauseObjective,
		Retryable: r.retryable(), Avoid: r.avoid, Version: r.version, Regions: r.regions,
	}
}

// returnReservation gives up the place that was reserved for a run.
func (r *request) returnReservation() {
	if r.reserved != nil {
		r.WithBoard(func(b *steer.Board) { b.ReturnToLimit(*r.reserved) })
		r.reserved = nil
	}
}

func (r *request) endPrefill(v steer.PrefillChoice, took time.Duration) {
	now := r.Timer.Now()
	r.WithBoard(func(b *steer.Board) { b.EndPrefill(now, v, r.call.Prompt, took) })
	r.endJudged(now, took > 0)
}

// cancelPrefill ends a prefill that is not sent.
func (r *request) cancelPrefill(v steer.PrefillChoice) {
	r.endPrefill(v, 0)
	r.WithBoard(func(b *steer.Board) { b.ReturnToLimit(v.Endpoint) })
}

// prefillDue returns when the prompt must be prefilled for the first event to be in time.
func (r *request) prefillDue() time.Duration {
	if r.route.Objective == 0 {
		return r.deadline
	}
	return r.arrived + r.route.Objective - expectedFirstEventTime
}

// prefillSeparately has an engine that only prefills prefill the prompt.
func (r *request) prefillSeparately(ctx context.Context, v steer.PrefillChoice) (lagoonhead.KVHandle, error) {
	r.sends++
	r.vars.prefills.Add(1)
	began := r.Timer.Now()
	attemptCtx, cancel := context.WithTimeoutCause(ctx, max(prefillTimeoutFactor*max(v.Wait, r.decision.Expected), minPrefillTimeout), errSilent)
	defer cancel()
	a := r.describeSend(v.Endpoint)
	a.CacheSource = v.CacheSource
	a.Urgency = r.decision.Urgency
	r.beginJudged()
	h, err := r.Sender.Prefill(attemptCtx, a)
	if err != nil {
		r.endPrefill(v, 0)
		r.recordFailure(ctx, v.Endpoint, "prefill", err)
		return h, err
	}
	r.endPrefill(v, r.Timer.Now()-began)
	r.recordResult(v.Endpoint, steer.Good)
	return h, nil
}

// run has the engine that beginRun chose run the request and forwards its events. If the engine
// falls silent, another one that accepts the request goes on. If v is set, the engine also prefills
// the prompt.
func (r *request) run(ctx context.Context, e lagoonhead.Endpoint, v *steer.PrefillChoice, h *lagoonhead.KVHandle) error {
	next, err := r.runOnce(ctx, r.newAttempt(ctx, e, v, h))
	for next != nil {
		r.goOn(next)
		next, err = r.runOnce(ctx, next)
	}
	return err
}

// runOnce makes one attempt, or goes on with one that an engine has accepted. It returns the next one
// if another engine has accepted the request.
func (r *request) runOnce(ctx context.Context, a *attempt) (next *attempt, err error) {
	defer a.end()
	watch := r.watchSilence(ctx, a)
	defer func() { next = r.endWatch(watch, err) }()
	watch.restart(r.silenceTimeout(), r)
	if a.answer == nil {
		err = r.send(ctx, a)
	}
	if err == nil {
		err = r.forward(ctx, a, watch)
	}
	return nil, err
}

// sendStream sends the copy of a request for one move to another engine, and prefills the prompt
// first if needed. It returns once the engine has accepted the request.
func sendStream(ctx context.Context, r *request) (_ *attempt, err error) {
	h := r.spare
	r.spare = nil
	defer func() {
		if lagoonhead.IsKind(err, lagoonhead.KindUnavailable) { // no engine has fetched the KV cache
			r.spare = h
		}
	}()
	if err := r.checkSuspects(); err != nil {
		return nil, err
	}
	v, err := r.prefill(ctx, &h)
	if err != nil {
		return nil, err
	}
	e, err := r.beginRun(v, h)
	if err != nil {
		return nil, err
	}
	a := r.newAttempt(ctx, e, v, h)
	err = r.sendMove(ctx, a)
	if err == nil && a.answer.Status != http.StatusOK {
		err = r.rejectMove(ctx, a)
	}
	if err != nil {
		a.end()
		return nil, err
	}
	return a, nil
}

// forward gives the caller what the engine of an attempt sends.
func (r *request) forward(ctx context.Context, a *attempt, watch *silenceWatch) error {
	defer a.answer.Body.Close()
	if a.answer.Status != http.StatusOK {
		return r.forwardNonStream(ctx, a, watch)
	}
	answered := false
	err := r.relayEvents(a.answer, watch, func() {
		answered = true
		r.beginVersion(ctx, a.endpoint)
		a.endPrefill(r.Timer.Now() - a.began)
		if a.handle != nil {
			now := r.Timer.Now()
			r.WithBoard(func(b *steer.Board) { b.AddCached(now, a.endpoint, r.call.Prompt) })
		}
	})
	if err != nil {
		r.recordFailure(ctx, a.endpoint, "stream", err)
		return err
	}
	if answered {
		r.Parts.Finished(r.parts)
	}
	r.recordResult(a.endpoint, steer.Good)
	return nil
}

// beginRun chooses the engine that runs the request and counts the run there.
func (r *request) beginRun(v *steer.PrefillChoice, h *lagoonhead.KVHandle) (lagoonhead.Endpoint, error) {
	if v != nil {
		r.WithBoard(func(b *steer.Board) { b.AddRunning(v.Endpoint, 1) })
		return v.Endpoint, nil
	}
	if h != nil {
		if e, ok := r.beginReservedRun(); ok {
			return e, nil
		}
		return r.pickRun(&h.Engine)
	}
	return r.pickRun(nil)
}

// beginReservedRun counts the run at the engine that was reserved for it, if there is one that
// can still be used.
func (r *request) beginReservedRun() (e lagoonhead.Endpoint, ok bool) {
	if r.reserved == nil {
		return e, false
	}
	e = *r.reserved
	now := r.Timer.Now()
	r.WithBoard(func(b *steer.Board) {
		if ok = now < r.reservedUntil && b.StartReserved(now, e); ok {
			b.AddRunning(e, 1)
		}
	})
	if !ok {
		r.returnReservation()
		return e, false
	}
	r.reserved = nil
	r.addStep("run at %s in %s, as reserved", e.ID(), e.FailureDomain())
	return e, true
}

// silenceTimeout returns how long an engine may send no whole event before another one is
// tried.
func (r *request) silenceTimeout() time.Duration {
	now := r.Timer.Now()
	if r.started {
		return max(r.route.AssumedCallerTimeout/2, 2*r.route.PauseObjective, minSilenceTimeout)
	}
	half := halfUntil(now, r.callerGiveUpTime(), minSilenceTimeout)
	if r.judged && r.decision.Place.Behind() {
		return max(half, prefillTimeoutFactor*r.decision.Expected)
	}
	return half
}

// forwardNonStream gives the caller an answer that is not a stream, unless another engine may
// succeed.
func (r *request) forwardNonStream(ctx context.Context, a *attempt, watch *silenceWatch) error {
	e, ans := a.endpoint, a.answer
	w, err := r.readFull(a.ctx, ans)
	if err != nil {
		r.recordFailure(ctx, e, "run", err)
		return err
	}
	defer w.end()
	if ans.Status >= http.StatusInternalServerError {
		err := failf("run", lagoonhead.KindUnknown, "status %d", ans.Status)
		r.recordFailure(ctx, e, "run", err)
		if r.started || (r.retryable() && r.runs < r.route.MaxAttempts) {
			return err
		}
	}
	if r.started {
		return failf("run", lagoonhead.KindUnknown, "status %d for a stream that goes on", ans.Status)
	}
	if !watch.heard() {
		return fail("run", lagoonhead.KindUnknown, errSilent)
	}
	return r.deliver(w)
}

// relayEvents forwards whole events as they arrive, until another engine has accepted the request. It
// calls onFirst with the first one.
func (r *request) relayEvents(ans *lagoonhead.Answer, watch *silenceWatch, onFirst func()) error {
	counted := countedReader{in: ans.Body, total: &r.buffered}
	defer counted.release()
	events := sse.NewReader(&counted, maxEventBytes)
	for n := 0; ; n++ {
		v, err := events.Next()
		if errors.Is(err, io.EOF) && n == 0 && ans.Unframed {
			return failf("relay", lagoonhead.KindCrashed, "the connection ended before the first event")
		}
		if (err == nil || errors.Is(err, io.EOF)) && !watch.heard() {
			return fail("relay", lagoonhead.KindUnknown, errSilent)
		}
		if errors.Is(err, io.EOF) {
			// An engine may end a stream without an event when the caller already has all.
			r.startAnswer(ans)
			return nil
		}
		if err != nil {
			return fail("relay", readErrorKind(err), err)
		}
		counted.release()
		if n == 0 {
			onFirst()
		}
		r.startAnswer(ans)
		if err := r.sink.Write(v.Raw); err != nil {
			return fail("deliver", lagoonhead.KindUnknown, err)
		}
		if v.ID != "" {
			r.call.LastEventID = v.ID
		}
		if !events.Ready() {
			if err := r.sink.Flush(); err != nil {
				return fail("deliver", lagoonhead.KindUnknown, err)
			}
		}
		watch.restart(r.silenceTimeout(), r)
	}
}

// startAnswer gives the caller the header of the first answer, together with its first event.
func (r *request) startAnswer(ans *lagoonhead.Answer) {
	r.countUsage()
	if r.started {
		return
	}
	r.started = true
	r.addStep("first event, %s", r.version)
	r.vars.firstEventLatency.Record(r.Timer.Now() - r.arrived)
	r.sink.Start(ans.Status, ans.Header)
}

// release frees the KV cache of a prompt that does not run, in the background.
func (r *request) release(h *lagoonhead.KVHandle) {
	if h == nil {
		return
	}
	evacuated := false
	r.WithBoard(func(b *steer.Board) { evacuated = b.Evacuated[h.Engine.FailureDomain()] })
	if evacuated { // it gets nothing more, and frees the cache when the handle expires
		return
	}
	r.vars.unusedHandles.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.Sender.Release(ctx, *h); err != nil {
			// The engine frees the cache itself when the handle expires.
			r.Log.Debug("KV cache not released", zap.String("request", string(r.call.ID)), zap.Error(err))
		}
	}()
}

// readErrorKind returns the kind of an error while reading an answer: KindCrashed if the
// sender found that the endpoint crashed, or if a stream ended within an event; else
// KindUnknown.
func readErrorKind(err error) lagoonhead.Kind {
	if lagoonhead.IsKind(err, lagoonhead.KindCrashed) || errors.Is(err, io.ErrUnexpectedEOF) {
		return lagoonhead.KindCrashed
	}
	return lagoonhead.KindUnknown
}

// halfUntil returns half of the time until t, but at least minimum.
func halfUntil(now, t, minimum time.Duration) time.Duration { return max((t-now)/2, minimum) }
