package fakeengine

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// run is the execution of one request. It goes on for the resume window while no
// connection reads it, so that a stream can be resumed.
type run struct {
	id       lagoonhead.RequestID
	prompt   prompt
	words    []string
	created  int64
	cached   int // prompt tokens found in the prefix cache
	cancel   context.CancelCauseFunc
	priority lagoonhead.Priority

	mu        sync.Mutex
	ready     int // words generated so far
	complete  bool
	err       error         // the error that ended the run
	wake      chan struct{} // closed and replaced at each change of the fields above
	readers   int           // connections that read the run
	idleSince time.Duration // when the run started or readers last changed
}

// snapshot returns how many words are ready, whether the run is complete, a channel
// that is closed at the next change, and the error that ended the run.
func (r *run) snapshot() (ready int, complete bool, wake <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready, r.complete, r.wake, r.err
}

// update calls f under the lock and wakes the readers.
func (r *run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.wake)
	r.wake = make(chan struct{})
}

// slotQueue grants the slots of the batch by priority, then in order of arrival.
// It is not safe for concurrent use.
type slotQueue struct {
	free    int
	running int
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority lagoonhead.Priority
	granted  chan struct{}
}

// enter adds a request to the queue. The channel granted of the result is closed
// once the request has a slot.
func (q *slotQueue) enter(p lagoonhead.Priority) *slotWaiter {
	w := &slotWaiter{priority: p, granted: make(chan struct{})}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > p {
		at--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = w
	q.grant()
	return w
}

// grant gives the free slots to the first requests of the queue.
func (q *slotQueue) grant() {
	for q.free > 0 && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.free--
		q.running++
		close(w.granted)
	}
}

// leave releases the slot of w, or removes w from the queue if it has none.
func (q *slotQueue) leave(w *slotWaiter) {
	for i, v := range q.waiting {
		if v == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	q.free++
	q.running--
	q.grant()
}

// start runs the request in the background. A run with the same request identifier
// is cancelled. The caller holds e.mu.
func (e *Engine) start(id lagoonhead.RequestID, p prompt, priority lagoonhead.Priority) *run {
	ctx, cancel := context.WithCancelCause(e.runsCtx)
	r := &run{
		id: id, prompt: p, words: p.answer(), created: e.Timer.Wall().Unix(),
		cancel: cancel, priority: priority, wake: make(chan struct{}), idleSince: e.Timer.Now(),
	}
	if old := e.runs[id]; old != nil {
		old.cancel(errCancelled)
	} else {
		e.runOrder = append(e.runOrder, id)
	}
	e.runs[id] = r
	e.trimRuns()
	tokens := p.tokens()
	e.queuedTokens += tokens
	w := e.slots.enter(priority)
	go e.execute(ctx, e.processCtx, r, w, tokens)
	return r
}

// trimRuns cancels and removes the oldest runs beyond maxRuns.
func (e *Engine) trimRuns() {
	for len(e.runOrder) > maxRuns {
		id := e.runOrder[0]
		e.runOrder = e.runOrder[1:]
		if r := e.runs[id]; r != nil {
			r.cancel(errCancelled)
			delete(e.runs, id)
		}
	}
}

// execute runs the request through queue, prefill and decode. It updates the queued
// tokens and the slots of the engine only if the process that started the request,
// whose context is processCtx, has not ended, because a restart resets them. tokens is
// the number of prompt tokens that the request has in Engine.queuedTokens; runPrefill
// sets it to 0.
func (e *Engine) execute(ctx, processCtx context.Context, r *run, w *slotWaiter, tokens int) {
	err := e.executeSteps(ctx, r, w, &tokens)
	e.mu.Lock()
	if processCtx.Err() == nil {
		e.queuedTokens -= tokens
		e.slots.leave(w)
	}
	e.mu.Unlock()
	r.update(func() {
		r.err = err
		r.complete = err == nil
	})
	r.cancel(nil)
}

func (e *Engine) executeSteps(ctx context.Context, r *run, w *slotWaiter, tokens *int) error {
	select {
	case <-w.granted:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := e.runPrefill(ctx, r, tokens); err != nil {
		return err
	}
	return e.runDecode(ctx, r)
}

// runPrefill waits until the prompts before this one are prefilled, since an engine
// prefills one prompt at a time, and then as long as the tokens of this prompt take
// that are not cached.
func (e *Engine) runPrefill(ctx context.Context, r *run, tokens *int) error {
	if e.crashesAt(r, 0) {
		e.Crash()
		return errCrash
	}
	blocks := e.promptBlocks(r.prompt)
	e.mu.Lock()
	r.cached = min(e.cache.hits(blocks)*e.blockTokens(), *tokens)
	now := e.Timer.Now()
	start := max(now, e.prefillBusyUntil)
	e.prefillBusyUntil = start + e.processingTime(*tokens-r.cached, e.PrefillRate)
	wait := e.prefillBusyUntil - now
	e.mu.Unlock()
	if err := e.sleep(ctx, wait); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedTokens -= *tokens
	*tokens = 0
	e.cache.store(blocks, e.Timer.Now())
	return nil
}

func (e *Engine) runDecode(ctx context.Context, r *run) error {
	due := e.Timer.Now()
	for i := range r.words {
		if e.crashesAt(r, i) {
			e.Crash()
			return errCrash
		}
		e.mu.Lock()
		due += e.processingTime(1, e.DecodeRate)
		e.mu.Unlock()
		if err := e.sleep(ctx, due-e.Timer.Now()); err != nil {
			return err
		}
		if e.abandoned(r) {
			return errCancelled
		}
		r.update(func() { r.ready = i + 1 })
	}
	return nil
}

// abandoned reports whether no connection has read the run for longer than the
// resume window.
func (e *Engine) abandoned(r *run) bool {
	window := e.ResumeWindow
	if window == 0 {
		window = defaultResumeWindow
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && e.Timer.Now()-r.idleSince > window
}

// crashesAt reports whether the fault CrashPrompt is due before the given token of
// the answer, counted from 0.
func (e *Engine) crashesAt(r *run, token int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.matchesCrashPrompt(r.prompt) && token == min(e.faults.CrashAfter, len(r.words)-1)
}

// processingTime returns how long n tokens take at a rate in tokens per second; a
// rate of 0 takes no time. The caller holds e.mu.
func (e *Engine) processingTime(n int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	d := time.Duration(float64(n) / rate * float64(time.Second))
	if e.faults.Slow {
		d *= slowFactor
	}
	return d
}

// sleep waits for d, or returns the cause of the end of ctx.
func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if d > 0 && e.Timer.Sleep(ctx, d) != nil {
		return context.Cause(ctx)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}

func (e *Engine) blockTokens() int {
	if e.BlockTokens > 0 {
		return e.BlockTokens
	}
	return defaultBlockTokens
}

func (e *Engine) promptBlocks(p prompt) []uint64 {
	if e.Blocks != nil {
		return e.Blocks(p.text)
	}
	return chainedBlocks(p.text, e.blockTokens())
}
