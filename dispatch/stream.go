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
	// leastUrgent is the last urgency that an attempt can have.
	leastUrgent = 9
	// firstEventTime is the time from a prompt that has been read apart to the first event
	// at the caller, with a batch that is half full.
	firstEventTime = 150 * time.Millisecond
	// releaseTimeout bounds the release of a KV cache that nobody takes.
	releaseTimeout = time.Second
)

// readingClasses are the lengths of readings, in tokens, that bound the classes. A usual
// own part of a prompt is in the first two, a shared part that has to be read as well in
// the third.
var readingClasses = []int{2_000, 6_000, 24_000}

// stream serves a request whose answer is a series of events.
func (r *request) stream(ctx context.Context) error {
	var handle *lagoonhead.KVHandle
	defer func() { r.release(handle) }()
	for {
		reading, err := r.readPrompt(ctx, &handle)
		if err != nil {
			return r.verdict(ctx, err)
		}
		err = r.run(ctx, reading, handle)
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
			r.step("resume behind event %s", r.call.After)
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

// readPrompt finds the engine that reads the prompt. If that one only prefills, it has read
// the prompt when readPrompt returns, and handle names the KV cache; the reading is nil.
// Otherwise the reading begins with the run. A handle that is left from an attempt that did
// not reach its engine is used again. The reading is also nil when the caller has declared
// no prompt.
func (r *request) readPrompt(ctx context.Context, handle **lagoonhead.KVHandle) (*steer.Reading, error) {
	if !r.call.Declared || *handle != nil {
		return nil, nil
	}
	for {
		v, ok := r.pickReading()
		if !ok {
			return nil, r.refuse("no engine of %s can take the prompt", r.service)
		}
		r.step("read at %s: apart %t, %d tokens, expected in %s", v.Endpoint.ID(), v.Apart, v.Tokens, v.Wait.Round(time.Millisecond))
		if late := r.Timer.Now() + v.Wait - r.giveUpAt(); late > 0 {
			r.endReading(v, 0)
			e := failf("forecast", lagoonhead.KindUnavailable, "the prompt would be read in %s", v.Wait)
			e.after = late + busyRetry
			return nil, e
		}
		if !v.Apart {
			return &v, nil
		}
		h, err := r.readApart(ctx, v)
		if err == nil {
			*handle = &h
			return nil, nil
		}
		if ctx.Err() != nil || !r.mayRepeat(ctx, fail("prefill", lagoonhead.KindUnavailable, err)) {
			return nil, err
		}
	}
}

func (r *request) pickReading() (v steer.Reading, ok bool) {
	now := r.Timer.Now()
	q := steer.ReadRequest{
		Service: r.service, Prompt: r.call.Prompt, Due: r.readDue(), Pause: r.route.PauseObjective,
		Repeatable: r.repeatable(), Avoid: r.avoid,
	}
	r.Board(func(b *steer.Board) {
		if v, ok = b.PickReading(now, q); ok {
			b.BeginReading(v)
		}
	})
	return v, ok
}

func (r *request) endReading(v steer.Reading, took time.Duration) {
	now := r.Timer.Now()
	r.Board(func(b *steer.Board) { b.EndReading(now, v, r.call.Prompt, took) })
}

// readDue returns when the prompt must be read for the first event to be on time.
func (r *request) readDue() time.Duration {
	if r.route.Objective == 0 {
		return r.deadline
	}
	return r.arrived + r.route.Objective - firstEventTime
}

// readApart has an engine that only prefills read the prompt.
func (r *request) readApart(ctx context.Context, v steer.Reading) (lagoonhead.KVHandle, error) {
	r.sends++
	r.vars.prefills.Add(1)
	began := r.Timer.Now()
	attempt, cancel := context.WithTimeoutCause(ctx, max(lateFactor*v.Wait, readSilence), errSilent)
	defer cancel()
	a := r.attempt(v.Endpoint)
	a.Urgency = min(leastUrgent, a.Urgency+readingClass(v.Tokens))
	h, err := r.Sender.Prefill(attempt, a)
	if err != nil {
		r.endReading(v, 0)
		r.failed(ctx, v.Endpoint, "prefill", err)
		return h, err
	}
	r.endReading(v, r.Timer.Now()-began)
	r.judge(v.Endpoint, steer.Good)
	return h, nil
}

// readingClass returns by how much a reading goes behind shorter ones of the same urgency
// at an engine. A reading of 40,000 tokens in front of ten of 2,000 would make all of them
// late to be in time itself.
func readingClass(tokens int) int {
	for i, most := range readingClasses {
		if tokens < most {
			return i
		}
	}
	return len(readingClasses)
}

// run has an engine run the request and passes its events on. The engine is that of the
// reading, if there is one that has not ended.
func (r *request) run(ctx context.Context, v *steer.Reading, h *lagoonhead.KVHandle) error {
	e, err := r.beginRun(v, h)
	if err != nil {
		return err
	}
	defer r.endRun(e)
	began := r.Timer.Now()
	read := func(took time.Duration) {
		if v != nil {
			r.endReading(*v, took)
			v = nil
		}
	}
	defer func() { read(0) }()
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
	err = r.relay(ans, silence, func() {
		read(r.Timer.Now() - began)
		if h != nil {
			now := r.Timer.Now()
			r.Board(func(b *steer.Board) { b.Holds(now, e, r.call.Prompt) })
		}
	})
	if err != nil {
		r.failed(ctx, e, "stream", err)
		return err
	}
	r.judge(e, steer.Good)
	return nil
}

// beginRun chooses the engine that runs the request and counts it there.
func (r *request) beginRun(v *steer.Reading, h *lagoonhead.KVHandle) (lagoonhead.Endpoint, error) {
	if v != nil {
		r.Board(func(b *steer.Board) { b.Running(v.Endpoint, 1) })
		return v.Endpoint, nil
	}
	near := r.Domain
	if h != nil {
		near = h.Engine.FailureDomain()
	}
	return r.pickRun(near)
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
	w, err := readWhole(ans)
	if err != nil {
		r.failed(ctx, e, "run", err)
		return err
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
	return r.deliver(w)
}

// relay passes whole events on as they arrive. It calls first with the first one.
func (r *request) relay(ans *lagoonhead.Answer, silence *time.Timer, first func()) error {
	events := sse.NewReader(ans.Body, maxEventBytes)
	for n := 0; ; n++ {
		v, err := events.Next()
		if errors.Is(err, io.EOF) {
			// An engine may end a stream without an event when the caller has them all.
			r.begin(ans)
			return nil
		}
		if err != nil {
			return fail("relay", readKind(err), err)
		}
		silence.Stop()
		if n == 0 {
			first()
		}
		r.begin(ans)
		if err := r.sink.Write(v.Raw); err != nil {
			return fail("deliver", lagoonhead.KindUnknown, err)
		}
		if v.ID != "" {
			r.call.After = v.ID
		}
		if !events.Ready() {
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
	r.step("first event")
	r.vars.firstEvent.Record(r.Timer.Now() - r.arrived)
	r.sink.Start(ans.Status, ans.Header)
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

// half returns half of the time until t, but at least least.
func half(now, t, least time.Duration) time.Duration { return max((t-now)/2, least) }
