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
	a := r.newAttempt(v.Endpoint)
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

// run has the engine that beginRun chose run the request and forwards its events. If v is set, that
// engine also prefills the prompt.
func (r *request) run(ctx context.Context, e lagoonhead.Endpoint, v *steer.PrefillChoice, h *lagoonhead.KVHandle) error {
	defer r.endRun(e)
	began := r.Timer.Now()
	endPrefillOnce := func(took time.Duration) {
		if v != nil {
			r.endPrefill(*v, took)
			v = nil
		}
	}
	defer func() { endPrefillOnce(0) }()
	r.sends++
	r.vars.sends.Add(1)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pauseWatch, restartWatch := func() {}, func() {}
	if r.mayMove() {
		watch := r.watchSilence(e, cancel)
		defer r.endWatch(watch)
		pauseWatch, restartWatch = watch.pause, func() { watch.restart(r.silenceTimeout(), r.version) }
		restartWatch()
	}
	a := r.newAttempt(e)
	a.KVSource = h
	if v != nil {
		a.CacheSource = v.CacheSource
	}
	a.Urgency = r.runUrgency(v, h)
	ans, err := r.Sender.Send(attemptCtx, a)
	if err != nil {
		if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
			r.runs++
		}
		r.recordFailure(ctx, e, "run", err)
		return err
	}
	defer ans.Body.Close()
	r.runs++
	if ans.Status != http.StatusOK {
		return r.forwardNonStream(ctx, e, ans)
	}
	answered := false
	err = r.relayEvents(ans, pauseWatch, restartWatch, func() {
		answered = true
		r.beginVersion(ctx, e)
		endPrefillOnce(r.Timer.Now() - began)
		if h != nil {
			now := r.Timer.Now()
			r.WithBoard(func(b *steer.Board) { b.AddCached(now, e, r.call.Prompt) })
		}
	})
	if err != nil {
		r.recordFailure(ctx, e, "stream", err)
		return err
	}
	if answered {
		r.Parts.Finished(r.parts)
	}
	r.recordResult(e, steer.Good)
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
func (r *request) forwardNonStream(ctx context.Context, e lagoonhead.Endpoint, ans *lagoonhead.Answer) error {
	w, err := r.readFull(ctx, ans)
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
	return r.deliver(w)
}

// relayEvents forwards whole events as they arrive. It calls onEvent with each, onFirst with the
// first one, and onWait before it waits for the next.
func (r *request) relayEvents(ans *lagoonhead.Answer, onEvent, onWait, onFirst func()) error {
	counted := countedReader{in: ans.Body, total: &r.buffered}
	defer counted.release()
	events := sse.NewReader(&counted, maxEventBytes)
	for n := 0; ; n++ {
		v, err := events.Next()
		if errors.Is(err, io.EOF) && n == 0 && ans.Unframed {
			return failf("relay", lagoonhead.KindCrashed, "the connection ended before the first event")
		}
		if errors.Is(err, io.EOF) {
			// An engine may end a stream without an event when the caller already has all.
			r.startAnswer(ans)
			return nil
		}
		if err != nil {
			return fail("relay", readErrorKind(err), err)
		}
		onEvent()
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
		onWait()
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
