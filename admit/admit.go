package admit

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fair"
	"github.com/lagoonhead/lagoonhead/limit"
)

const (
	defaultRetryAfter = time.Second
	maxRetryAfter     = 5 * time.Minute
)

// waiter is a request that waits for tokens.
type waiter struct {
	request     *lagoonhead.Request
	book        *book
	since       time.Duration
	expected    float64 // tokens counted as demand
	handle      fair.Handle
	reservation *reservation
	done        chan answer
}

type answer struct {
	reservation *reservation
	err         error
}

// answer ends the wait. It is called once for each waiter.
func (w *waiter) answer(r *reservation, err error) { w.done <- answer{r, err} }

// reservation is the tokens of one admitted request.
type reservation struct {
	runner   *Runner
	book     *book
	hold     limit.Hold
	priority lagoonhead.Priority
	expected float64
	settled  bool
}

var _ lagoonhead.Reservation = (*reservation)(nil)

// Admit reserves the charge of q, waiting for tokens until the deadline of q, but
// at most MaxWait. A charge of zero is admitted at once. Errors: KindInvalid when the charge is larger than the burst,
// KindExhausted with the time to wait when the workspace is over its rate,
// KindNotFound when the workspace is unknown, KindUnavailable when the daemon is
// not fresh, and KindTimeout when ctx ends first.
func (r *Runner) Admit(ctx context.Context, q *lagoonhead.Request) (lagoonhead.Reservation, error) {
	r.init()
	res, w, err := r.start(q)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return res, nil
	}
	r.signal()
	return r.wait(ctx, w)
}

// start admits the request at once, or queues it.
func (r *Runner) start(q *lagoonhead.Request) (*reservation, *waiter, error) {
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fresh(now); err != nil {
		return nil, nil, err
	}
	b := r.book(now, q.Workspace())
	if b == nil || !b.known {
		return nil, nil, faultf("admit.admit", lagoonhead.KindNotFound, "workspace %s is unknown", q.Workspace())
	}
	charge := q.Charge()
	if charge < 0 || charge > b.quota.Burst {
		return nil, nil, faultf("admit.admit", lagoonhead.KindInvalid,
			"the request needs %d tokens (prompt %d, output up to %d) and the burst of workspace %s is %d",
			charge, q.PromptTokens(), q.MaxTokens(), b.workspace, b.quota.Burst)
	}
	expected := b.expect(charge)
	b.demand.add(now, expected)
	if charge == 0 {
		b.open++
		return &reservation{runner: r, book: b, priority: q.Priority()}, nil, nil
	}
	if b.waiting == 0 && !r.slots.Suspended() {
		if res, ok := r.take(now, b, q, expected); ok {
			r.counters.admitted.Add(1)
			return res, nil, nil
		}
	}
	w, err := r.enqueue(now, b, q, expected)
	return nil, w, err
}

func (r *Runner) enqueue(now time.Duration, b *book, q *lagoonhead.Request, expected float64) (*waiter, error) {
	until := now + r.MaxWait
	if d := q.Deadline(); d > 0 {
		until = min(until, d)
	}
	w := &waiter{request: q, book: b, since: now, expected: expected, done: make(chan answer, 1)}
	h, ok := r.queue.Push(fair.Entry{
		Workspace: b.workspace, Priority: q.Priority(),
		Cost: q.Charge(), Weight: max(1, b.quota.Rate), Deadline: until,
	}, w)
	if !ok {
		r.counters.refused.Add(1)
		e := fault("admit.admit", lagoonhead.KindExhausted, "too many requests wait for tokens")
		e.after = defaultRetryAfter
		return nil, e
	}
	w.handle = h
	b.waiting += q.Charge()
	r.want(b)
	r.pump(now)
	return w, nil
}

func (r *Runner) wait(ctx context.Context, w *waiter) (lagoonhead.Reservation, error) {
	select {
	case a := <-w.done:
		if a.err != nil {
			return nil, a.err
		}
		return a.reservation, nil
	case <-ctx.Done():
		r.abandon(w)
		return nil, &Error{Fault: lagoonhead.Fault{Op: "admit.admit", Kind: lagoonhead.KindTimeout, Err: ctx.Err()}}
	}
}

// abandon takes a request whose caller is gone out of the queue, or gives back its
// tokens when it was admitted meanwhile.
func (r *Runner) abandon(w *waiter) {
	r.mu.Lock()
	_, waiting := r.queue.Remove(w.handle)
	if waiting {
		w.book.waiting -= w.request.Charge()
	}
	r.mu.Unlock()
	if waiting {
		return
	}
	if a := <-w.done; a.reservation != nil {
		a.reservation.Settle(0)
	}
}

// Settle ends the reservation with the tokens that were really used.
func (s *reservation) Settle(used int64) {
	r, b := s.runner, s.book
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.settled {
		return
	}
	s.settled = true
	b.open--
	b.learn(now, s.hold.Charged(), used, s.expected)
	unused := float64(s.hold.Charged() - used)
	b.spent.add(now, -unused)
	if s.priority < lagoonhead.PriorityDeferrable {
		b.prompt.add(now, -unused)
	}
	b.bucket.Refund(now, s.hold, used)
	r.sendBack(b)
	r.pump(now)
}

func (r *Runner) explain(now time.Duration, w *waiter, rate float64, wrongful bool) {
	if r.Decisions == nil {
		return
	}
	result := "refused: over the rate"
	if wrongful {
		result = "refused although inside the rate"
	}
	r.Decisions.RecordDecision(lagoonhead.Decision{
		At: now, Topic: "admission", Subject: string(w.book.workspace), Result: result,
		Reason: fmt.Sprintf("request %s needs %d tokens; %d free here, recent demand %.0f of %.0f tokens/s, %d tokens waited for",
			w.request.ID(), w.request.Charge(), w.book.bucket.Available(now), rate, w.book.quota.Rate, w.book.waiting),
	})
}
