package fakeengine

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// run is one request that the engine runs. It goes on while no connection reads
// it, so that a stream can be resumed.
type run struct {
	id       lagoonhead.RequestID
	prompt   prompt
	words    []string
	created  int64
	cached   int
	cancel   context.CancelCauseFunc
	priority lagoonhead.Priority

	mu      sync.Mutex
	ready   int
	whole   bool
	failed  error
	wake    chan struct{}
	readers int
	quiet   time.Duration
}

// snapshot returns how many words are ready, a channel that is closed at the next
// change, and the error that ended the run.
func (r *run) snapshot() (ready int, whole bool, wake <-chan struct{}, failed error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready, r.whole, r.wake, r.failed
}

func (r *run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.wake)
	r.wake = make(chan struct{})
}

// slotQueue hands out the slots of the batch by priority, then by arrival.
type slotQueue struct {
	free    int
	running int
	waiting []*slotWait
}

type slotWait struct {
	priority lagoonhead.Priority
	granted  chan struct{}
}

func (q *slotQueue) enter(p lagoonhead.Priority) *slotWait {
	w := &slotWait{priority: p, granted: make(chan struct{})}
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

func (q *slotQueue) grant() {
	for q.free > 0 && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.free--
		q.running++
		close(w.granted)
	}
}

// leave gives a slot back, or leaves the queue when none was granted.
func (q *slotQueue) leave(w *slotWait) {
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

// start runs the request in the background. The caller holds the lock.
func (e *Engine) start(id lagoonhead.RequestID, p prompt, priority lagoonhead.Priority) *run {
	ctx, cancel := context.WithCancelCause(e.change)
	r := &run{
		id: id, prompt: p, words: p.answer(), created: e.Timer.Wall().Unix(),
		cancel: cancel, priority: priority, wake: make(chan struct{}), quiet: e.Timer.Now(),
	}
	if old := e.runs[id]; old != nil {
		old.cancel(errCancelled)
	} else {
		e.runOrder = append(e.runOrder, id)
	}
	e.runs[id] = r
	e.trimRuns()
	tokens := p.tokens()
	e.queued += tokens
	w := e.slots.enter(priority)
	go e.drive(ctx, e.life, r, w, tokens)
	return r
}

// trimRuns forgets the oldest finished answers beyond the bound.
func (e *Engine) trimRuns() {
	for len(e.runOrder) > keptRuns {
		id := e.runOrder[0]
		e.runOrder = e.runOrder[1:]
		if r := e.runs[id]; r != nil {
			r.cancel(errCancelled)
			delete(e.runs, id)
		}
	}
}

// drive takes the request through the queue, prefill and decode. The counts are
// corrected only if the process that started the request still lives.
func (e *Engine) drive(ctx, life context.Context, r *run, w *slotWait, tokens int) {
	err := e.driveSteps(ctx, r, w, &tokens)
	e.mu.Lock()
	if life.Err() == nil {
		e.queued -= tokens
		e.slots.leave(w)
	}
	e.mu.Unlock()
	r.update(func() {
		r.failed = err
		r.whole = err == nil
	})
	r.cancel(nil)
}

func (e *Engine) driveSteps(ctx context.Context, r *run, w *slotWait, tokens *int) error {
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

// runPrefill waits for the engine's prefill, which serves one prompt after the
// other, and for this prompt's own part that is not cached.
func (e *Engine) runPrefill(ctx context.Context, r *run, tokens *int) error {
	if e.crashesAt(r, 0) {
		e.Crash()
		return errCrash
	}
	blocks := e.promptBlocks(r.prompt)
	e.mu.Lock()
	r.cached = min(e.blocks.hits(blocks)*e.blockTokens(), *tokens)
	now := e.Timer.Now()
	begin := max(now, e.prefill)
	e.prefill = begin + e.pace(*tokens-r.cached, e.PrefillRate)
	wait := e.prefill - now
	e.mu.Unlock()
	if err := e.sleep(ctx, wait); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued -= *tokens
	*tokens = 0
	e.blocks.store(blocks, e.Timer.Now())
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
		due += e.pace(1, e.DecodeRate)
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

// abandoned reports whether no connection has read the request for the resume
// window.
func (e *Engine) abandoned(r *run) bool {
	window := e.ResumeWindow
	if window == 0 {
		window = defaultResumeWindow
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers == 0 && e.Timer.Now()-r.quiet > window
}

func (e *Engine) crashesAt(r *run, token int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashes(r.prompt) && token == min(e.faults.CrashAfter, len(r.words)-1)
}

// pace returns how long n tokens take at a rate. The caller holds the lock.
func (e *Engine) pace(n int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	d := time.Duration(float64(n) / rate * float64(time.Second))
	if e.faults.Slow {
		d *= slowFactor
	}
	return d
}

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
