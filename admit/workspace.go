package admit

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
)

// meterTimeConstant is the time constant of the decay with which the recent use of
// a workspace is averaged.
const meterTimeConstant = 10 * time.Second

// meter is an exponentially decaying sum of tokens.
type meter struct {
	sum float64
	at  time.Duration // time of the last decay
}

func (m *meter) add(now time.Duration, tokens float64) {
	m.decay(now)
	m.sum = max(0, m.sum+tokens)
}

func (m *meter) decay(now time.Duration) {
	if now > m.at {
		m.sum *= math.Exp(-float64(now-m.at) / float64(meterTimeConstant))
		m.at = now
	}
}

// rate returns the recent tokens per second.
func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return m.sum / meterTimeConstant.Seconds()
}

// lenderView is the last response of a lender about one workspace.
type lenderView struct {
	tokens int64 // tokens lent
	// wait is the time after which the lender expects to have the tokens that it did not
	// lend.
	wait time.Duration
	rate float64       // recent demand at the lender, in tokens per second
	at   time.Duration // arrival of the response
}

// workspaceState is the state of one workspace at this daemon.
type workspaceState struct {
	id                lagoonhead.WorkspaceID
	quota             lagoonhead.Quota
	known             bool        // the directory has the workspace
	directoryRevision int64       // revision of the directory that quota was read from
	slotCount         int         // size of the slot table that homeSlots was computed for
	homeSlots         []int       // slots that share the quota
	debt              int64       // sum of the debts that the buckets of the home slots may have
	largest           int64       // the largest charge that is admitted
	share             limit.Share // this daemon's share of the quota
	bucket            limit.Bucket

	refused, wronglyRefused int64
	unsettled               int     // reservations that are not settled yet
	waitingTokens           int64   // sum of the charges of the waiting requests
	blockedRound            uint64  // Runner.admitRound in which a request was short of tokens
	head                    *waiter // the last request found short of tokens
	spent                   meter   // tokens charged, less refunds
	nonDeferrable           meter   // like spent, but without deferrable requests
	// demand counts the tokens that requests are expected to use, refused requests
	// included.
	demand       meter
	usedFraction float64 // moving average of tokens used per token charged

	borrowCandidate bool          // listed in Runner.borrowCandidates
	borrowing       bool          // a borrowing round is running
	nextBorrow      time.Duration // earliest start of the next borrowing round
	lenders         map[lagoonhead.VMID]lenderView
	// refused are the tokens of refused requests that are expected again and not yet
	// covered by the refill, as of refusedAt.
	refusedTokens float64
	refusedAt     time.Duration
	denied        denial
}

const (
	// reserveTime sets the tokens that a deferrable request must leave in the bucket:
	// the recent use by non-deferrable requests in this time.
	reserveTime = time.Second
	// prefetchThreshold and prefetchTarget are amounts of tokens, given as the time in
	// which the recent use consumes them. A busy workspace with less than the threshold
	// borrows up to the target before requests have to wait.
	prefetchThreshold = 200 * time.Millisecond
	prefetchTarget    = 400 * time.Millisecond
	// usedFractionGain is the weight of the newest request in usedFraction.
	usedFractionGain = 0.05
)

// leavesReserve reports whether a deferrable request with this charge leaves enough
// tokens for other requests: their recent use in reserveTime, but at most half the
// burst of this daemon's share.
func (ws *workspaceState) leavesReserve(now time.Duration, charge int64) bool {
	reserve := min(ws.nonDeferrable.rate(now)*reserveTime.Seconds(), float64(ws.share.Burst())/2)
	return float64(ws.bucket.Available(now)-charge) >= math.Floor(reserve)
}

// shouldPrefetch reports whether the workspace uses more than this daemon's share of
// its rate and is nearly out of tokens, so that it should borrow before requests
// have to wait.
func (ws *workspaceState) shouldPrefetch(now time.Duration) bool {
	rate := ws.spent.rate(now)
	return rate > ws.share.Rate() && float64(ws.bucket.Available(now)) < rate*prefetchThreshold.Seconds()
}

// borrowNeed returns the tokens to borrow now: those of the waiting requests, at most
// what the rate yields in prefetchTarget, but at least those of the head request.
// Borrowing more at once does not pay, since a lender's bucket cannot refill the part
// of its capacity that is lent.
func (ws *workspaceState) borrowNeed(now time.Duration) int64 {
	ahead := int64(ws.quota.Rate * prefetchTarget.Seconds())
	need := min(ws.waitingTokens, ahead)
	if ws.waitingTokens > 0 && ws.head != nil {
		need = max(need, ws.head.request.Charge())
	}
	if ws.shouldPrefetch(now) {
		stock := int64(ws.spent.rate(now) * prefetchTarget.Seconds())
		need = max(need, min(stock, ws.bucket.OwnTokens(now, stock)+ws.bucket.HeadroomTokens(now)))
	}
	return min(need, ws.largest) - ws.bucket.Available(now)
}

// lendable returns how many of the given tokens may be lent to a peer whose request has
// waited for the given time. Tokens needed by a request that has waited at least as long at
// this daemon are not lent. Without this order, requests larger than a share could each
// hold a part of the tokens that any of them needs, at several daemons, and none
// would be admitted.
func (ws *workspaceState) lendable(now, waited time.Duration, tokens int64) int64 {
	if waited > ws.headWaited(now) {
		ws.bucket.DepositLoans(now, 0)
		return ws.bucket.OwnTokens(now, tokens)
	}
	return ws.bucket.OwnTokens(now, tokens) - ws.waitingTokens - int64(ws.spent.rate(now)*prefetchThreshold.Seconds())
}

// headWaited returns how long the head request has waited, or 0 when no request
// waits or the head request is deferrable.
func (ws *workspaceState) headWaited(now time.Duration) time.Duration {
	if ws.waitingTokens == 0 || ws.head == nil || ws.head.request.Priority() >= lagoonhead.PriorityDeferrable {
		return 0
	}
	return max(time.Microsecond, now-ws.head.since) // BorrowRequest.WaitedUs has a resolution of 1 µs
}

// expectedUse returns the tokens that a request with this charge is expected to use.
func (ws *workspaceState) expectedUse(charge int64) float64 { return float64(charge) * ws.usedFraction }

// recordUse replaces the expected use of a request by its actual use in demand, and
// updates usedFraction.
func (ws *workspaceState) recordUse(now time.Duration, charge, used int64, expected float64) {
	ws.demand.add(now, float64(used)-expected)
	if charge > 0 {
		ws.usedFraction += (min(1, float64(used)/float64(charge)) - ws.usedFraction) * usedFractionGain
	}
}

// fleetDemand returns the recent demand of the workspace over the fleet, in tokens
// per second, as far as this daemon knows it. A lender that has not responded within
// meterTimeConstant counts as zero.
func (ws *workspaceState) fleetDemand(now time.Duration) float64 {
	sum := ws.demand.rate(now)
	for _, v := range ws.lenders {
		if now-v.at < meterTimeConstant {
			sum += v.rate
		}
	}
	return sum
}

// workspaceState returns the state of a workspace and creates it if necessary. It
// returns nil when the workspace is unknown.
func (r *Runner) workspaceState(now time.Duration, w lagoonhead.WorkspaceID) *workspaceState {
	dir := r.Directory.Directory()
	ws := r.workspaces[w]
	if dir == nil {
		return ws
	}
	if ws == nil {
		if _, ok := dir.Quota(w); !ok {
			return nil
		}
		ws = &workspaceState{id: w, usedFraction: 1}
		r.created++
		ws.bucket.SetLastLoan(r.created << 32)
		r.workspaces[w] = ws
		r.replay(ws, dir)
	}
	if ws.directoryRevision != dir.Revision() {
		r.setQuota(now, ws, dir)
	}
	return ws
}

// replay applies the slots in use to a new bucket, each at the time when its use
// began, so that the bucket has the tokens that it would have if it had existed
// since then.
func (r *Runner) replay(ws *workspaceState, dir lagoonhead.Directory) {
	q, known := dir.Quota(ws.id)
	ws.known = known
	r.applyQuota(ws, q)
	ws.directoryRevision = dir.Revision()
	slots := make([]int, 0, len(r.activeSlots))
	for _, s := range r.activeSlots {
		slots = append(slots, s.Slot)
		ws.share = limit.ShareOf(ws.quota, ws.debt, r.homeSlots(ws), slots)
		ws.bucket.SetShare(s.Since, ws.share)
		r.beginSlot(s.Since, ws, s)
	}
}

// applyQuota sets a quota and what follows from it.
func (r *Runner) applyQuota(ws *workspaceState, q lagoonhead.Quota) {
	ws.quota, ws.debt = q, r.Tolerance.Debt(q)
	ws.largest = q.Burst + ws.debt
}

// beginSlot sets the initial tokens of a slot that comes into use: an advance, or the
// debt that its former holder may have left.
func (r *Runner) beginSlot(now time.Duration, ws *workspaceState, s limit.ActiveSlot) {
	if s.Advanced {
		tokens := limit.AdvanceShare(r.Tolerance.Advance(ws.quota), r.homeSlots(ws), []int{s.Slot})
		ws.bucket.AddAdvance(now, tokens, s.Refill)
		return
	}
	if debt := r.slotDebt(ws, s.Slot); debt > 0 {
		ws.bucket.Owe(now, debt)
	}
}

// slotDebt returns the debt that the bucket of one slot may have.
func (r *Runner) slotDebt(ws *workspaceState, slot int) int64 {
	return limit.ShareOf(ws.quota, ws.debt, r.homeSlots(ws), []int{slot}).Debt()
}

// homeSlots returns the home slots of a workspace, recomputed after a change of their
// number.
func (r *Runner) homeSlots(ws *workspaceState) []int {
	t, _ := r.slots.Table()
	if n := len(t.Slots); ws.slotCount != n {
		ws.slotCount, ws.homeSlots = n, limit.HomeSlots(ws.id, n, r.MaxHomes)
	}
	return ws.homeSlots
}

// setQuota applies a new revision of the directory. A workspace that was removed
// keeps its bucket, without refill, until its requests have ended.
func (r *Runner) setQuota(now time.Duration, ws *workspaceState, dir lagoonhead.Directory) {
	ws.directoryRevision = dir.Revision()
	q, ok := dir.Quota(ws.id)
	ws.known = ok
	if q == ws.quota {
		return
	}
	r.applyQuota(ws, q)
	r.setShare(now, ws)
}

func (r *Runner) setShare(now time.Duration, ws *workspaceState) {
	ws.share = limit.ShareOf(ws.quota, ws.debt, r.homeSlots(ws), r.slotsInUse())
	ws.bucket.SetShare(now, ws.share)
}

// sweep deletes the state of idle workspaces, whose buckets are full and can be
// created again without loss.
func (r *Runner) sweep(now time.Duration) {
	for w, ws := range r.workspaces {
		if ws.unsettled == 0 && ws.waitingTokens == 0 && !ws.borrowCandidate && !ws.borrowing && ws.bucket.Idle(now) {
			delete(r.workspaces, w)
			r.queue.Forget(w)
		}
	}
}

// addBorrowCandidate makes runQueue check whether the workspace needs to borrow.
func (r *Runner) addBorrowCandidate(ws *workspaceState) {
	if !ws.borrowCandidate {
		ws.borrowCandidate = true
		r.borrowCandidates = append(r.borrowCandidates, ws)
	}
}
