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
	// askTimeout bounds one ask of a peer. Peers are about a millisecond away.
	askTimeout = 200 * time.Millisecond
	// silentTime is how long a peer that did not answer is asked after the others.
	silentTime = 2 * time.Second
	// askAgain and askAgainMost bound the pause after a round that did not get enough.
	// Between them it is the time in which the workspace's rate covers the need.
	askAgain     = 50 * time.Millisecond
	askAgainMost = 500 * time.Millisecond

	giveBackSenders = 4
)

// due returns the books for which a round of borrowing is to start and marks them
// as asking.
func (r *Runner) due(now time.Duration) []*book {
	var rounds []*book
	r.wanting = slices.DeleteFunc(r.wanting, func(b *book) bool {
		if b.asking {
			return false
		}
		if b.need(now) <= 0 {
			b.wanting = b.waiting > 0
			return !b.wanting
		}
		if b.askNext <= now {
			b.asking = true
			rounds = append(rounds, b)
		}
		return false
	})
	return rounds
}

// borrow asks the lenders one after another, those that had most first, until the
// need of the workspace is covered.
func (r *Runner) borrow(ctx context.Context, b *book) {
	for _, l := range r.order(b) {
		r.mu.Lock()
		need := b.need(r.Timer.Now())
		r.mu.Unlock()
		if need <= 0 || ctx.Err() != nil {
			break
		}
		r.ask(ctx, b, l, need)
	}
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b.asking = false
	pause := time.Duration(float64(b.need(now)) / max(1, b.quota.Rate) * float64(time.Second))
	b.askNext = now + min(max(pause, askAgain), askAgainMost)
	if b.waiting == 0 {
		b.bucket.Pour(now, 0)
		r.sendBack(b)
	}
}

// order returns the lenders that hold a home slot of the workspace, by what they
// lent last for it. A lender that was not asked lately counts as well stocked; one
// that did not answer goes last.
func (r *Runner) order(b *book) []Lender {
	lenders := slices.Clone(r.Peers.Lenders())
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, _ := r.slots.Table(); len(t.Slots) > 0 {
		lenders = slices.DeleteFunc(lenders, func(l Lender) bool {
			return !slices.ContainsFunc(r.homes(b), func(h int) bool { return t.Slots[h].VM == l.VM })
		})
	}
	score := func(l Lender) int64 {
		if until, ok := r.silent[l.VM]; ok && now < until {
			return -1
		}
		if v, ok := b.lenders[l.VM]; ok && now-v.at < silentTime {
			return v.tokens
		}
		return b.quota.Burst
	}
	slices.SortStableFunc(lenders, func(x, y Lender) int { return cmp.Compare(score(y), score(x)) })
	return lenders
}

// ask borrows from one lender.
func (r *Runner) ask(ctx context.Context, b *book, l Lender, need int64) {
	r.counters.asks.Add(1)
	r.mu.Lock()
	_, revision := r.slots.Table()
	asked := r.Timer.Now()
	waited := b.waited(asked)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := l.Commands.Borrow(ctx, &peer.BorrowRequest{
		Vm: string(r.VM), Incarnation: string(r.Incarnation), Workspace: string(b.workspace),
		Tokens: need, TtlMs: limit.LoanLife.Milliseconds(), SlotsRevision: revision,
		WaitedUs: waited.Microseconds(),
	})
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.counters.failedAsks.Add(1)
		r.silent[l.VM] = now + silentTime
		return
	}
	delete(r.silent, l.VM)
	r.learnTable(now, resp)
	if b.lenders == nil {
		b.lenders = make(map[lagoonhead.VMID]lenderView)
	}
	b.lenders[l.VM] = lenderView{tokens: resp.GetTokens(), rate: resp.GetRecentRate(), at: now}
	if b.bucket.Receive(now, asked, l.VM, lagoonhead.Incarnation(resp.GetIncarnation()), resp.GetLoan(), resp.GetTokens()) {
		r.counters.borrowed.Add(resp.GetTokens())
	}
	r.sendBack(b)
	r.pump(now)
}

// learnTable takes in a slot table that a peer had read. It is how a daemon that
// does not reach the store ends a suspension.
func (r *Runner) learnTable(now time.Duration, resp *peer.BorrowResponse) {
	if len(resp.GetSlotTable()) == 0 {
		return
	}
	t, err := limit.ParseTable(resp.GetSlotTable())
	if err != nil {
		return
	}
	r.observeTable(now, t, resp.GetSlotsRevision())
}

// Borrow handles a peer's request for tokens of a workspace.
func (r *Runner) Borrow(_ context.Context, req *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	r.init()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	resp := &peer.BorrowResponse{Incarnation: string(r.Incarnation)}
	if t, revision := r.slots.Table(); revision > req.GetSlotsRevision() {
		resp.SlotTable, resp.SlotsRevision = t.Encode(), revision
	}
	if req.GetTokens() <= 0 || req.GetTtlMs() > limit.LoanLife.Milliseconds() ||
		r.fresh(now) != nil || r.slots.Suspended() {
		return resp, nil
	}
	b := r.book(now, lagoonhead.WorkspaceID(req.GetWorkspace()))
	if b == nil {
		return resp, nil
	}
	want := min(req.GetTokens(), b.spare(now, time.Duration(req.GetWaitedUs())*time.Microsecond))
	if want > 0 {
		resp.Loan, resp.Tokens = b.bucket.Lend(now, want)
		r.counters.lent.Add(resp.Tokens)
	}
	r.sendBack(b)
	resp.RecentRate = b.demand.rate(now)
	return resp, nil
}

// GiveBack handles tokens that a borrower returns.
func (r *Runner) GiveBack(_ context.Context, req *peer.GiveBackRequest) (*peer.GiveBackResponse, error) {
	r.init()
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.books[lagoonhead.WorkspaceID(req.GetWorkspace())]
	if b != nil && req.GetIncarnation() == string(r.Incarnation) {
		r.counters.takenBack.Add(b.bucket.TakeBack(now, req.GetLoan(), req.GetReturned(), req.GetDone()))
		r.pump(now)
	}
	return &peer.GiveBackResponse{}, nil
}

// sendGiveBacks sends the tokens that lenders get back. One that fails is lost
// until the next message about the same loan.
func (r *Runner) sendGiveBacks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-r.backs.C():
			r.sendGiveBack(ctx, g)
		}
	}
}

func (r *Runner) sendGiveBack(ctx context.Context, g giveBack) {
	lenders := r.Peers.Lenders()
	i := slices.IndexFunc(lenders, func(l Lender) bool { return l.VM == g.Lender() })
	if i < 0 {
		r.counters.lostBacks.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := lenders[i].Commands.GiveBack(ctx, &peer.GiveBackRequest{
		Vm: string(r.VM), Workspace: string(g.workspace), Incarnation: string(g.Incarnation()),
		Loan: g.Loan(), Returned: g.Returned(), Done: g.Done(),
	})
	if err != nil {
		r.counters.lostBacks.Add(1)
		return
	}
	r.counters.givenBack.Add(1)
}
