package admit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// minRetryAfter and maxAskRetryAfter bound the Retry-After time of a refusal that
	// follows the lenders' estimates.
	minRetryAfter    = 100 * time.Millisecond
	maxAskRetryAfter = 10 * time.Second
	// retrySpread is the random part of a Retry-After time, as a fraction of it.
	retrySpread = 0.25
	// denialTime is the time for which a denial of the lenders holds for other requests of
	// the workspace that are at least as large. Without it each refused request of a
	// workspace far above its rate would cost several calls to peers.
	denialTime = 200 * time.Millisecond
	// maxAsks bounds the requests that ask lenders at the same time, and askRetryInterval is
	// the time between two attempts of the others to begin. When peers are slow, the calls
	// would take all descriptors otherwise.
	maxAsks          = 24
	askRetryInterval = 5 * time.Millisecond
	// unknownWait is the estimate of a lender whose bucket does not refill or is too small.
	unknownWait = 2 * time.Second
)

// waitFor returns when a bucket is expected to have the tokens of a request that is refused
// now, and counts the request as one that comes again. Those that were refused before come
// first, so that refused requests return spread over the time in which there is room.
func (ws *workspaceState) waitFor(now time.Duration, tokens int64) time.Duration {
	rate := ws.share.Rate()
	if rate <= 0 {
		return unknownWait
	}
	ws.refusedTokens = max(0, ws.refusedTokens-rate*(now-ws.refusedAt).Seconds())
	ws.refusedAt = now
	wait, ok := ws.bucket.Wait(now, tokens)
	if !ok {
		wait = unknownWait
	}
	wait += time.Duration(ws.refusedTokens / rate * float64(time.Second))
	if wait < maxAskRetryAfter {
		ws.refusedTokens += float64(tokens)
	}
	return min(wait, maxAskRetryAfter)
}

// denial is the last answer of the lenders that they have too few tokens.
type denial struct {
	// charge is that of the smallest request that was denied.
	charge int64
	// until is the end of the time for which the denial holds, and readyAt the time at which
	// the lenders expect to have the tokens.
	until, readyAt time.Duration
}

// deniedFor returns after what time the tokens of a request are expected if the lenders have
// just denied as many, or 0.
func (ws *workspaceState) deniedFor(now time.Duration, charge int64) time.Duration {
	if now >= ws.denied.until || charge < ws.denied.charge {
		return 0
	}
	return max(time.Millisecond, ws.denied.readyAt-now)
}

// deny records that the lenders expect the tokens of a request after the given time.
func (ws *workspaceState) deny(now time.Duration, charge int64, wait time.Duration) {
	if now >= ws.denied.until {
		ws.denied = denial{charge: charge, until: now + denialTime, readyAt: now + wait}
	}
	ws.denied.charge = min(ws.denied.charge, charge)
}

// askLenders asks the lenders for the tokens of a request, unless they have just denied as
// many. If they expect to have them within the time that the request may wait, it asks a
// second time then.
func (r *Runner) askLenders(ctx context.Context, w *waiter) (lagoonhead.Reservation, error) {
	if err := r.beginAsk(ctx, w); err != nil {
		return nil, err
	}
	defer func() { <-r.asking }()
	for round := 0; ; round++ {
		if res := r.askOnce(ctx, w); res != nil {
			return res, nil
		}
		now := r.Timer.Now()
		wait := r.expectedWait(now, w)
		if round > 0 || now+wait > w.until {
			r.mu.Lock()
			w.workspace.deny(now, w.request.Charge(), wait)
			r.mu.Unlock()
			return nil, r.refuseAsked(now, w, wait)
		}
		if err := r.Timer.Sleep(ctx, wait); err != nil {
			return nil, &Error{Fault: lagoonhead.Fault{Op: "admit.admit", Kind: lagoonhead.KindTimeout, Err: err}}
		}
	}
}

// beginAsk waits until the request may ask the lenders. It returns an error if they have
// just denied as many tokens, or if the request's time to wait is over.
func (r *Runner) beginAsk(ctx context.Context, w *waiter) error {
	for {
		now := r.Timer.Now()
		r.mu.Lock()
		wait := w.workspace.deniedFor(now, w.request.Charge())
		r.mu.Unlock()
		if wait > 0 {
			return r.refuseAsked(now, w, wait)
		}
		select {
		case r.asking <- struct{}{}:
			return nil
		default:
		}
		if now >= w.until {
			return r.refuseAsked(now, w, unknownWait)
		}
		if err := r.Timer.Sleep(ctx, askRetryInterval); err != nil {
			return &Error{Fault: lagoonhead.Fault{Op: "admit.admit", Kind: lagoonhead.KindTimeout, Err: err}}
		}
	}
}

// askOnce asks the lenders one after another until the request can be charged, and returns
// its reservation, or nil.
func (r *Runner) askOnce(ctx context.Context, w *waiter) *reservation {
	ws, charge := w.workspace, w.request.Charge()
	for _, l := range r.sortedLenders(ws) {
		if ctx.Err() != nil {
			break
		}
		r.mu.Lock()
		need := charge - max(0, ws.bucket.Available(r.Timer.Now()))
		r.mu.Unlock()
		if need > 0 {
			r.borrowFrom(ctx, ws, l, need, r.Timer.Now()-w.since)
		}
		if res := r.tryReserve(w); res != nil {
			return res
		}
	}
	return r.tryReserve(w)
}

func (r *Runner) tryReserve(w *waiter) *reservation {
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checkFresh(now) != nil || r.slots.Suspended() {
		return nil
	}
	res, ok := r.reserve(now, w.workspace, w.request, w.expected)
	if !ok {
		return nil
	}
	r.counters.waited.Add(1)
	return res
}

// expectedWait returns the shortest time after which this daemon or a lender expects to have
// the tokens of a request.
func (r *Runner) expectedWait(now time.Duration, w *waiter) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	ws := w.workspace
	wait, found := unknownWait, false
	for _, v := range ws.lenders {
		if v.at >= w.since && (!found || v.wait < wait) {
			wait, found = v.wait, true
		}
	}
	if ws.share.Rate() > 0 {
		if own := ws.waitFor(now, w.request.Charge()); !found || own < wait {
			wait = own
		}
	}
	return max(wait, time.Millisecond)
}

// refuseAsked returns the error for a request whose tokens nobody has in time, and returns
// what was borrowed for it.
func (r *Runner) refuseAsked(now time.Duration, w *waiter, wait time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	ws := w.workspace
	ws.bucket.DepositLoans(now, 0)
	r.queueLoanReturns(ws)
	r.counters.refused.Add(1)
	ws.refused++
	e := faultf("admit.admit", lagoonhead.KindExhausted,
		"%d tokens are expected in %s; workspace %s has a rate of %.0f tokens/s",
		w.request.Charge(), wait.Round(time.Millisecond), ws.id, ws.quota.Rate)
	e.after = min(maxAskRetryAfter, max(minRetryAfter, time.Duration(float64(wait)*(1+retrySpread*rand.Float64()))))
	return e
}
