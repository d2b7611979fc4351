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
	workspace   *workspaceState
	since       time.Duration // start of the wait
	until       time.Duration // latest end of the wait
	expected    float64       // tokens counted as demand
	handle      fair.Handle
	reservation *reservation
	done        chan admission
}

// admission is the result of a wait: a reservation or an error.
type admission struct {
	reservation *reservation
	err         error
}

// finish ends the wait. It must be called exactly once for each waiter.
func (w *waiter) finish(r *reservation, err error) { w.done <- admission{r, err} }

// reservation holds the tokens charged for one admitted request.
type reservation struct {
	runner    *Runner
	workspace *workspaceState
	receipt   limit.Receipt
	priority  lagoonhead.Priority
	expected  float64 // tokens counted as demand
	settled   bool
}

var _ lagoonhead.Reservation = (*reservation)(nil)

// Admit reserves the charge of q. It waits for tokens until the deadline of q, but
// at most MaxWait. A charge of zero is admitted at once. Errors: KindInvalid when
// the charge is larger than the burst, KindExhausted with a Retry-After time when
// the tokens are not available in time or the queue is full, KindNotFound when the
// workspace is unknown, KindUnavailable when the daemon's view of the fleet is stale
// or the daemon is shutting down, and KindTimeout when ctx ends first.
func (r *Runner) Admit(ctx context.Context, q *lagoonhead.Request) (lagoonhead.Reservation, error) {
	r.init()
	res, w, err := r.admitOrQueue(q)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return res, nil
	}
	if r.AskDirectly {
		return r.askLenders(ctx, w)
	}
	r.wakeQueue()
	return r.wait(ctx, w)
}

// admitOrQueue admits the request at once if it can, and queues it otherwise.
func (r *Runner) admitOrQueue(q *lagoonhead.Request) (*reservation, *waiter, error) {
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkFresh(now); err != nil {
		return nil, nil, err
	}
	ws := r.workspaceState(now, q.Workspace())
	if ws == nil || !ws.known {
		return nil, nil, faultf("admit.admit", lagoonhead.KindNotFound, "workspace %s is unknown", q.Workspace())
	}
	charge := q.Charge()
	if charge < 0 || charge > ws.largest {
		return nil, nil, faultf("admit.admit", lagoonhead.KindInvalid,
			"the request needs %d tokens (prompt %d, output up to %d) and workspace %s may use at most %d at once",
			charge, q.PromptTokens(), q.MaxTokens(), ws.id, ws.largest)
	}
	expected := ws.expectedUse(charge)
	ws.demand.add(now, expected)
	if charge == 0 {
		ws.unsettled++
		return &reservation{runner: r, workspace: ws, priority: q.Priority()}, nil, nil
	}
	if ws.waitingTokens == 0 && !r.slots.Suspended() {
		if res, ok := r.reserve(now, ws, q, expected); ok {
			r.counters.admitted.Add(1)
			return res, nil, nil
		}
	}
	if r.AskDirectly {
		return nil, r.newWaiter(now, ws, q, expected), nil
	}
	w, err := r.enqueue(now, ws, q, expected)
	return nil, w, err
}

func (r *Runner) newWaiter(now time.Duration, ws *workspaceState, q *lagoonhead.Request, expected float64) *waiter {
	until := now + r.MaxWait
	if d := q.Deadline(); d > 0 {
		until = min(until, d)
	}
	return &waiter{request: q, workspace: ws, since: now, until: until, expected: expected, done: make(chan admission, 1)}
}

func (r *Runner) enqueue(now time.Duration, ws *workspaceState, q *lagoonhead.Request, expected float64) (*waiter, error) {
	w := r.newWaiter(now, ws, q, expected)
	h, ok := r.queue.Push(fair.Entry{
		Workspace: ws.id, Priority: q.Priority(),
		Cost: q.Charge(), Weight: max(1, ws.quota.Rate), Deadline: w.until,
	}, w)
	if !ok {
		r.counters.refused.Add(1)
		e := fault("admit.admit", lagoonhead.KindExhausted, "the queue of requests waiting for tokens is full")
		e.after = defaultRetryAfter
		return nil, e
	}
	w.handle = h
	ws.waitingTokens += q.Charge()
	r.addBorrowCandidate(ws)
	r.admitWaiting(now)
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

// abandon removes a request from the queue after its context has ended. If it was
// admitted in the meantime, its tokens are refunded.
func (r *Runner) abandon(w *waiter) {
	r.mu.Lock()
	_, waiting := r.queue.Remove(w.handle)
	if waiting {
		w.workspace.waitingTokens -= w.request.Charge()
	}
	r.mu.Unlock()
	if waiting {
		return
	}
	if a := <-w.done; a.reservation != nil {
		a.reservation.Settle(0)
	}
}

// Settle ends the reservation of a request that used the given number of tokens. It
// refunds the unused part of the charge, or charges the tokens used beyond it. Only
// the first call has an effect.
func (s *reservation) Settle(used int64) {
	r, ws := s.runner, s.workspace
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.settled {
		return
	}
	s.settled = true
	ws.unsettled--
	ws.recordUse(now, s.receipt.Charged(), used, s.expected)
	unused := float64(s.receipt.Charged() - used)
	ws.spent.add(now, -unused)
	if s.priority < lagoonhead.PriorityDeferrable {
		ws.nonDeferrable.add(now, -unused)
	}
	ws.bucket.Refund(now, s.receipt, used)
	r.queueLoanReturns(ws)
	r.admitWaiting(now)
}

// recordRefusal passes a refusal with its reason to Decisions.
func (r *Runner) recordRefusal(now time.Duration, w *waiter, rate float64, wrongful bool) {
	if r.Decisions == nil {
		return
	}
	result := "refused: over the rate"
	if wrongful {
		result = "refused although inside the rate"
	}
	r.Decisions.RecordDecision(lagoonhead.Decision{
		At: now, Topic: "admission", Subject: string(w.workspace.id), Result: result,
		Reason: fmt.Sprintf("request %s needs %d tokens; %d available on this daemon, recent demand %.0f of %.0f tokens/s, waiting requests need %d tokens",
			w.request.ID(), w.request.Charge(), w.workspace.bucket.Available(now), rate, w.workspace.quota.Rate, w.workspace.waitingTokens),
	})
}
