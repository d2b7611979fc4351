package admit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
	"github.com/lagoonhead/lagoonhead/peer"
)

const (
	// peerTimeout bounds one call to a peer. The round trip to a peer takes about 1 ms.
	peerTimeout = 200 * time.Millisecond
	// unresponsiveTime is how long a peer that did not respond comes last in the order
	// of lenders. It is also how long the amount of a lender's last loan is used in
	// that order.
	unresponsiveTime = 2 * time.Second
	// minBorrowPause and maxBorrowPause bound the pause after a borrowing round. Within
	// these bounds it is the time in which the workspace's rate yields the tokens that
	// are still needed.
	minBorrowPause = 50 * time.Millisecond
	maxBorrowPause = 500 * time.Millisecond

	loanReturnSenders = 4
)

// dueForBorrowing returns the workspaces for which a borrowing round is to start and
// marks them as borrowing. It removes candidates that need no tokens and have no
// waiting requests.
func (r *Runner) dueForBorrowing(now time.Duration) []*workspaceState {
	var rounds []*workspaceState
	r.borrowCandidates = slices.DeleteFunc(r.borrowCandidates, func(ws *workspaceState) bool {
		if ws.borrowing {
			return false
		}
		if ws.borrowNeed(now) <= 0 {
			ws.borrowCandidate = ws.waitingTokens > 0
			return !ws.borrowCandidate
		}
		if ws.nextBorrow <= now {
			ws.borrowing = true
			rounds = append(rounds, ws)
		}
		return false
	})
	return rounds
}

// borrow runs one borrowing round: it asks the lenders one after another, in the
// order of sortedLenders, until the workspace needs no more tokens.
func (r *Runner) borrow(ctx context.Context, ws *workspaceState) {
	for _, l := range r.sortedLenders(ws) {
		r.mu.Lock()
		now := r.Timer.Now()
		need, waited := ws.borrowNeed(now), ws.headWaited(now)
		r.mu.Unlock()
		if need <= 0 || ctx.Err() != nil {
			break
		}
		r.borrowFrom(ctx, ws, l, need, waited)
	}
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ws.borrowing = false
	pause := time.Duration(float64(ws.borrowNeed(now)) / max(1, ws.quota.Rate) * float64(time.Second))
	ws.nextBorrow = now + min(max(pause, minBorrowPause), maxBorrowPause)
	if ws.waitingTokens == 0 {
		ws.bucket.DepositLoans(now, 0)
		r.queueLoanReturns(ws)
	}
}

// sortedLenders returns the lenders that hold a home slot of the workspace, by the
// amount of their last loan for it, largest first. A lender that was not asked
// within unresponsiveTime counts as able to lend the whole burst; one that did not
// respond comes last.
func (r *Runner) sortedLenders(ws *workspaceState) []Lender {
	lenders := slices.Clone(r.Peers.Lenders())
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, _ := r.slots.Table(); len(t.Slots) > 0 {
		lenders = slices.DeleteFunc(lenders, func(l Lender) bool {
			return !slices.ContainsFunc(r.homeSlots(ws), func(h int) bool { return t.Slots[h].VM == l.VM })
		})
	}
	score := func(l Lender) int64 {
		if until, ok := r.unresponsive[l.VM]; ok && now < until {
			return -1
		}
		if v, ok := ws.lenders[l.VM]; ok && now-v.at < unresponsiveTime {
			return v.tokens
		}
		return ws.quota.Burst
	}
	slices.SortStableFunc(lenders, func(x, y Lender) int { return cmp.Compare(score(y), score(x)) })
	return lenders
}

// borrowFrom asks one lender for the needed tokens, for a request that has waited for the
// given time.
func (r *Runner) borrowFrom(ctx context.Context, ws *workspaceState, l Lender, need int64, waited time.Duration) {
	r.counters.asks.Add(1)
	r.mu.Lock()
	_, revision := r.slots.Table()
	sent := r.Timer.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := l.Commands.Borrow(ctx, &peer.BorrowRequest{
		Vm: string(r.VM), Incarnation: string(r.Incarnation), Workspace: string(ws.id),
		Tokens: need, TtlMs: limit.LoanTTL.Milliseconds(), SlotsRevision: revision,
		WaitedUs: waited.Microseconds(),
	})
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.counters.failedAsks.Add(1)
		r.unresponsive[l.VM] = now + unresponsiveTime
		return
	}
	delete(r.unresponsive, l.VM)
	r.observePeerTable(now, resp)
	if ws.lenders == nil {
		ws.lenders = make(map[lagoonhead.VMID]lenderView)
	}
	ws.lenders[l.VM] = lenderView{
		tokens: resp.GetTokens(), wait: time.Duration(resp.GetWaitMs()) * time.Millisecond, rate: resp.GetRecentRate(), at: now,
	}
	if ws.bucket.Receive(now, sent, l.VM, lagoonhead.Incarnation(resp.GetIncarnation()), resp.GetLoan(), resp.GetTokens()) {
		r.counters.borrowed.Add(resp.GetTokens())
	}
	r.queueLoanReturns(ws)
	r.admitWaiting(now)
}

// observePeerTable applies the slot table in a peer's response, if there is one. It
// ends the suspension of a daemon that cannot reach the store. The caller holds the
// lock.
func (r *Runner) observePeerTable(now time.Duration, resp *peer.BorrowResponse) {
	if len(resp.GetSlotTable()) == 0 {
		return
	}
	t, err := limit.ParseTable(resp.GetSlotTable())
	if err != nil {
		return
	}
	r.observeTable(now, t, resp.GetSlotsRevision())
}

// Borrow handles a peer's request to borrow tokens of a workspace.
func (r *Runner) Borrow(_ context.Context, req *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	r.init()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	resp := &peer.BorrowResponse{Incarnation: string(r.Incarnation)}
	if t, revision := r.slots.Table(); revision > req.GetSlotsRevision() {
		resp.SlotTable, resp.SlotsRevision = t.Encode(), revision
	}
	if req.GetTokens() <= 0 || req.GetTtlMs() > limit.LoanTTL.Milliseconds() ||
		r.checkFresh(now) != nil || r.slots.Suspended() {
		return resp, nil
	}
	ws := r.workspaceState(now, lagoonhead.WorkspaceID(req.GetWorkspace()))
	if ws == nil {
		return resp, nil
	}
	want := min(req.GetTokens(), ws.lendable(now, time.Duration(req.GetWaitedUs())*time.Microsecond, req.GetTokens()))
	if want > 0 {
		resp.Loan, resp.Tokens = ws.bucket.Lend(now, want)
		r.counters.lent.Add(resp.Tokens)
	}
	r.queueLoanReturns(ws)
	if short := req.GetTokens() - resp.GetTokens(); short > 0 {
		resp.WaitMs = ws.waitFor(now, req.GetTokens()).Milliseconds()
	}
	resp.RecentRate = ws.demand.rate(now)
	return resp, nil
}

// GiveBack handles a borrower's return of tokens.
func (r *Runner) GiveBack(_ context.Context, req *peer.GiveBackRequest) (*peer.GiveBackResponse, error) {
	r.init()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ws := r.workspaces[lagoonhead.WorkspaceID(req.GetWorkspace())]
	if ws != nil && req.GetIncarnation() == string(r.Incarnation) {
		r.counters.takenBack.Add(ws.bucket.HandleReturn(now, req.GetLoan(), req.GetReturned(), req.GetDone()))
		r.admitWaiting(now)
	}
	return &peer.GiveBackResponse{}, nil
}

// sendLoanReturns sends the queued returns of tokens to their lenders. A failed message
// is not retried: the next message about the same loan carries the total.
func (r *Runner) sendLoanReturns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-r.loanReturns.C():
			r.sendLoanReturn(ctx, g)
		}
	}
}

// sendLoanReturn makes one attempt to send a return of tokens.
func (r *Runner) sendLoanReturn(ctx context.Context, g loanReturn) {
	lenders := r.Peers.Lenders()
	i := slices.IndexFunc(lenders, func(l Lender) bool { return l.VM == g.Lender() })
	if i < 0 {
		r.counters.lostGiveBacks.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := lenders[i].Commands.GiveBack(ctx, &peer.GiveBackRequest{
		Vm: string(r.VM), Workspace: string(g.workspace), Incarnation: string(g.Incarnation()),
		Loan: g.Loan(), Returned: g.Returned(), Done: g.Done(),
	})
	if err != nil {
		r.counters.lostGiveBacks.Add(1)
		return
	}
	r.counters.givenBack.Add(1)
}
