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
	// leastSilence is the shortest silence after which an endpoint is given up on. It
	// is above the usual pauses of an engine whose batch is full.
	leastSilence = 500 * time.Millisecond
	// lateFactor is how many times its expected time the reading of a prompt may take before
	// the engine is given up on. Less would have prompts read twice that only wait.
	lateFactor = 3
	// readSilence is the shortest time after which a prompt is read elsewhere. An engine
	// that is gone is noticed sooner, by its connection; this is for one that hangs.
	readSilence = 1500 * time.Millisecond
	// firstEventTime is the time from a prompt that has been read apart to the first event
	// at the caller, with a batch that is half full.
	firstEventTime = 150 * time.Millisecond
	// releaseTimeout bounds the release of a KV cache that nobody takes.
	releaseTimeout = time.Second
)

// stream serves a request whose answer is a series of events.
func (r *request) stream(ctx context.Context) error {
	var handle *lagoonhead.KVHandle
	defer func() { r.release(handle) }()
	for {
		var err error
		if handle == nil {
			if handle, err = r.prefill(ctx); err != nil {
				return r.verdict(ctx, err)
			}
		}
		err = r.run(ctx, handle)
		if err == nil {
			handle = nil
			r.Suspects.Finished(r.demand.Fingerprint())
			return nil
		}
		if !errors.Is(err, lagoonhead.ErrNotReached) {
			// The handle was taken, or the engine could not fetch it.
			if lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
				r.release(handle)
			}
			handle = nil
		}
		if !r.mayRepeat(ctx, err) {
			return r.verdict(ctx, err)
		}
		if r.started {
			r.vars.resumes.Add(1)
		}
	}
}

// giveUpAt returns when the caller takes the silence of a stream for its end.
func (r *request) giveUpAt() time.Duration {
	if r.route.Patience == 0 {
		return r.deadline
	}
	return min(r.deadline, r.arrived+r.route.Patience)
}

// prefill has an engine read the prompt. It returns nil when the engine that runs the
// request is to read it itself.
func (r *request) prefill(ctx context.Context) (*lagoonhead.KVHandle, error) {
	if !r.call.Declared {
		return nil, nil
	}
	for {
		c, ok := r.pickPrefill()
		if !ok {
			return nil, nil
		}
		if late := r.Timer.Now() + c.Wait - r.giveUpAt(); late > 0 {
			r.Board(func(b *steer.Board) { b.EndPrefill(c, r.call.Prompt, 0) })
			e := failf("forecast", lagoonhead.KindUnavailable, "the prompt would be read in %s", c.Wait)
			e.after = late + busyRetry
			return nil, e
		}
		h, err := r.prefillAt(ctx, c)
		if err == nil {
			return &h, nil
		}
		if ctx.Err() != nil || !r.mayRepeat(ctx, fail("prefill", lagoonhead.KindUnavailable, err)) {
			return nil, err
		}
	}
}

func (r *request) pickPrefill() (c steer.Prefill, ok bool) {
	now := r.Timer.Now()
	r.Board(func(b *steer.Board) {
		if b.Short(r.service, r.call.Prompt) {
			return
		}
		if c, ok = b.PickPrefill(now, r.service, r.call.Prompt, r.readDue(), r.avoid); ok {
			b.BeginPrefill(c)
		}
	})
	return c, ok
}

// readDue returns when the prompt must be read for the first event to be on time.
func (r *request) readDue() time.Duration {
	if r.route.Objective == 0 {
		return r.deadline
	}
	return r.arrived + r.route.Objective - firstEventTime
}

func (r *request) prefillAt(ctx context.Context, c steer.Prefill) (lagoonhead.KVHandle, error) {
	r.sends++
	r.vars.prefills.Add(1)
	began := r.Timer.Now()
	attempt, cancel := context.WithTimeoutCause(ctx, max(lateFactor*c.Wait, readSilence), errSilent)
	defer cancel()
	h, err := r.Sender.Prefill(attempt, r.attempt(c.Endpoint))
	now := r.Timer.Now()
	var took time.Duration
	if err == nil {
		took = now - began
	}
	r.Board(func(b *steer.Board) { b.EndPrefill(c, r.call.Prompt, took) })
	if err != nil {
		r.failed(ctx, c.Endpoint, "prefill", err)
		return h, err
	}
	r.judge(c.Endpoint, steer.Good)
	return h, nil
}

// run has an engine run the request and passes its events on.
func (r *request) run(ctx context.Context, h *lagoonhead.KVHandle) error {
	near, unread := r.Domain, r.call.Prompt.Tokens
	if h != nil {
		near, unread = h.Engine.FailureDomain(), 0
	}
	e, err := r.pickRun(near, unread)
	if err != nil {
		return err
	}
	defer r.endRun(e)
	r.sends++
	r.vars.sends.Add(1)
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(r.silence(), func() { cancel(errSilent) })
	defer silence.Stop()
	a := r.attempt(e)
	a.Source = h
	ans, err := r.Sender.Send(attempt, a)
	if err != nil {
		if !lagoonhead.IsKind(err, lagoonhead.KindUnavailable) {
			r.runs++
		}
		r.failed(ctx, e, "run", err)
		return err
	}
	defer ans.Body.Close()
	r.runs++
	if ans.Status != http.StatusOK {
		return r.passOn(ctx, e, ans)
	}
	err = r.relay(ans, silence)
	if err != nil {
		r.failed(ctx, e, "stream", err)
		return err
	}
	r.judge(e, steer.Good)
	return nil
}

// silence returns how long an engine may be silent before another one is asked. An
// engine whose request cannot go on elsewhere has all the time.
func (r *request) silence() time.Duration {
	now := r.Timer.Now()
	if !r.repeatable() || r.runs+1 >= r.route.MaxAttempts {
		return r.deadline - now
	}
	if r.started {
		return max(2*r.route.PauseObjective, leastSilence)
	}
	return half(now, r.giveUpAt(), leastSilence)
}

// passOn gives the caller an answer that is no stream, unless another engine may do
// better.
func (r *request) passOn(ctx context.Context, e lagoonhead.Endpoint, ans *lagoonhead.Answer) error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswerBytes))
	if err != nil {
		r.failed(ctx, e, "run", err)
		return fail("read", lagoonhead.KindUnknown, err)
	}
	if ans.Status >= http.StatusInternalServerError {
		err := failf("run", lagoonhead.KindUnknown, "status %d", ans.Status)
		r.failed(ctx, e, "run", err)
		if r.started || (r.repeatable() && r.runs < r.route.MaxAttempts) {
			return err
		}
	}
	if r.started {
		return failf("run", lagoonhead.KindUnknown, "status %d for a stream that goes on", ans.Status)
	}
	return r.deliver(&whole{ans, body})
}

// relay passes whole events on as they arrive.
func (r *request) relay(ans *lagoonhead.Answer, silence *time.Timer) error {
	events := sse.NewReader(ans.Body, maxEventBytes)
	for {
		v, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.ended(ans)
		}
		if err != nil {
			return fail("relay", readKind(err), err)
		}
		silence.Stop()
		r.begin(ans)
		if err := r.sink.Write(v.Raw); err != nil {
			return fail("deliver", lagoonhead.KindUnknown, err)
		}
		if v.ID != "" {
			r.call.After = v.ID
		}
		if !events.Buffered() {
			if err := r.sink.Flush(); err != nil {
				return fail("deliver", lagoonhead.KindUnknown, err)
			}
		}
		silence.Reset(r.silence())
	}
}

// begin gives the caller the headers of the first engine with its first event.
func (r *request) begin(ans *lagoonhead.Answer) {
	r.began()
	if r.started {
		return
	}
	r.started = true
	r.sink.Start(ans.Status, ans.Header)
}

// ended ends the answer. An engine may end a stream without an event when the caller
// has them all.
func (r *request) ended(ans *lagoonhead.Answer) error {
	r.begin(ans)
	return nil
}

// release frees the KV cache of a prompt that is not run.
func (r *request) release(h *lagoonhead.KVHandle) {
	if h == nil {
		return
	}
	r.vars.wastedHandle.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := r.Sender.Release(ctx, *h); err != nil {
			// The engine frees the cache by itself when its time is over.
			r.Log.Debug("KV cache not released", zap.String("request", string(r.call.ID)), zap.Error(err))
		}
	}()
}

// readKind returns the kind of a failure to read an answer: unknown, unless the sender
// says that the endpoint ended.
func readKind(err error) lagoonhead.Kind {
	if lagoonhead.IsKind(err, lagoonhead.KindCrashed) {
		return lagoonhead.KindCrashed
	}
	return lagoonhead.KindUnknown
}
