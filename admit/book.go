package admit

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/limit"
)

// meterSpan is the time over which the recent use of a workspace is averaged.
const meterSpan = 10 * time.Second

// meter is an exponentially decaying sum of tokens.
type meter struct {
	sum float64
	at  time.Duration
}

func (m *meter) add(now time.Duration, tokens float64) {
	m.decay(now)
	m.sum = max(0, m.sum+tokens)
}

func (m *meter) decay(now time.Duration) {
	if now > m.at {
		m.sum *= math.Exp(-float64(now-m.at) / float64(meterSpan))
		m.at = now
	}
}

// rate returns the recent tokens per second.
func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return m.sum / meterSpan.Seconds()
}

// lenderView is what is known of a lender for one workspace.
type lenderView struct {
	tokens int64         // lent at the last ask
	rate   float64       // recent demand there
	at     time.Duration // of the last answer
}

// book is the state of one workspace at this daemon.
type book struct {
	workspace lagoonhead.WorkspaceID
	quota     lagoonhead.Quota
	known     bool  // the directory has the workspace
	revision  int64 // of the directory that the quota is from
	homes     []int
	share     limit.Share
	bucket    limit.Bucket

	refused, wronglyRefused int64
	open                    int     // reservations that were not settled
	waiting                 int64   // tokens that requests wait for
	heldBack                uint64  // round in which a request was short of tokens
	head                    *waiter // the request that was short of tokens last
	spent                   meter   // tokens charged, less what was not used
	prompt                  meter   // the same without deferrable work
	// demand is the tokens that requests would have used, the refused ones included.
	demand   meter
	usedPart float64 // recent share of a charge that is really used

	wanting bool // listed in Runner.wanting
	asking  bool // a round of borrowing runs
	askNext time.Duration
	lenders map[lagoonhead.VMID]lenderView
}

const (
	// reserveTime is how much of the recent use by other work a deferrable request
	// leaves in the bucket.
	reserveTime = time.Second
	// prefetchBelow and prefetchFor are the stock, in time at the recent use, below
	// which a busy workspace borrows ahead and up to which it does.
	prefetchBelow = 200 * time.Millisecond
	prefetchFor   = 400 * time.Millisecond
	// usedPartGain is the weight of the newest request in usedPart.
	usedPartGain = 0.05
)

func (b *book) leavesReserve(now time.Duration, charge int64) bool {
	reserve := min(b.prompt.rate(now)*reserveTime.Seconds(), float64(b.share.Burst())/2)
	return float64(b.bucket.Available(now)-charge) >= math.Floor(reserve)
}

// short tells whether the workspace uses more here than its share here, so that
// it should borrow before it has to wait.
func (b *book) short(now time.Duration) bool {
	rate := b.spent.rate(now)
	return rate > b.share.Rate() && float64(b.bucket.Available(now)) < rate*prefetchBelow.Seconds()
}

// need returns the tokens to borrow now: for the requests that wait, as far as the
// rate covers them in prefetchFor, but at least for the next one. Tokens on the way
// keep their lender from refilling, so that it does not pay to borrow more at once.
func (b *book) need(now time.Duration) int64 {
	ahead := int64(b.quota.Rate * prefetchFor.Seconds())
	need := min(b.waiting, ahead)
	if b.waiting > 0 && b.head != nil {
		need = max(need, b.head.request.Charge())
	}
	if b.short(now) {
		stock := int64(b.spent.rate(now) * prefetchFor.Seconds())
		need = max(need, min(stock, b.bucket.Own(now)+b.bucket.Room(now)))
	}
	return min(need, b.quota.Burst) - b.bucket.Available(now)
}

// spare returns the tokens that may be lent for a request that has waited as long
// as given. A request that waits here keeps its tokens from one that has waited
// less. Without this order, requests that are larger than a share would each hold a
// part of what one of them needs, at several daemons.
func (b *book) spare(now, waited time.Duration) int64 {
	if waited > b.waited(now) {
		b.bucket.Pour(now, 0)
		return b.bucket.Own(now)
	}
	return b.bucket.Own(now) - b.waiting - int64(b.spent.rate(now)*prefetchBelow.Seconds())
}

// waited returns how long the next request has waited; 0 when none waits or when
// it is deferrable.
func (b *book) waited(now time.Duration) time.Duration {
	if b.waiting == 0 || b.head == nil || b.head.request.Priority() >= lagoonhead.PriorityDeferrable {
		return 0
	}
	return max(time.Microsecond, now-b.head.since) // the smallest that a message carries
}

// expect returns the tokens that a request with this charge is expected to use.
func (b *book) expect(charge int64) float64 { return float64(charge) * b.usedPart }

// learn takes in what a request with this charge really used.
func (b *book) learn(now time.Duration, charge, used int64, expected float64) {
	b.demand.add(now, float64(used)-expected)
	if charge > 0 {
		b.usedPart += (min(1, float64(used)/float64(charge)) - b.usedPart) * usedPartGain
	}
}

// fleetDemand returns the recent demand of the workspace over the fleet, in tokens
// per second, as far as this daemon knows it. A lender that does not answer counts
// as zero.
func (b *book) fleetDemand(now time.Duration) float64 {
	sum := b.demand.rate(now)
	for _, v := range b.lenders {
		if now-v.at < meterSpan {
			sum += v.rate
		}
	}
	return sum
}

// book returns the state of a workspace, or nil when it is unknown.
func (r *Runner) book(now time.Duration, w lagoonhead.WorkspaceID) *book {
	dir := r.Directory.Directory()
	b := r.books[w]
	if dir == nil {
		return b
	}
	if b == nil {
		if _, ok := dir.Quota(w); !ok {
			return nil
		}
		b = &book{workspace: w, usedPart: 1}
		r.made++
		b.bucket.NumberLoansAfter(r.made << 32)
		r.books[w] = b
		r.replay(b, dir)
	}
	if b.revision != dir.Revision() {
		r.setQuota(now, b, dir)
	}
	return b
}

// replay sets a new bucket's shares at the times at which its slots came into
// use, so that it holds what it would hold had it been kept since then.
func (r *Runner) replay(b *book, dir lagoonhead.Directory) {
	b.quota, b.known = dir.Quota(b.workspace)
	b.revision = dir.Revision()
	slots := make([]int, 0, len(r.starts))
	for _, s := range r.starts {
		slots = append(slots, s.Slot)
		b.share = limit.ShareOf(b.quota, r.homes(b), slots)
		b.bucket.SetShare(s.Since, b.share)
		r.advance(s.Since, b, s)
	}
}

// advance gives a book the advance of a slot that comes into use, if it has one.
func (r *Runner) advance(now time.Duration, b *book, s limit.Start) {
	if s.Advanced {
		tokens := limit.AdvanceOf(r.Tolerance.Advance(b.quota), r.homes(b), []int{s.Slot})
		b.bucket.Advance(now, tokens, s.Refill)
	}
}

func (r *Runner) homes(b *book) []int {
	t, _ := r.slots.Table()
	if n := len(t.Slots); len(b.homes) != min(n, limit.MaxHomes) {
		b.homes = limit.Homes(b.workspace, n)
	}
	return b.homes
}

// setQuota applies a new revision of the directory. A workspace that was removed
// keeps its bucket, without refill, until its requests have ended.
func (r *Runner) setQuota(now time.Duration, b *book, dir lagoonhead.Directory) {
	b.revision = dir.Revision()
	q, ok := dir.Quota(b.workspace)
	b.known = ok
	if q == b.quota {
		return
	}
	b.quota = q
	r.setShare(now, b)
}

func (r *Runner) setShare(now time.Duration, b *book) {
	b.share = limit.ShareOf(b.quota, r.homes(b), r.slotsInUse())
	b.bucket.SetShare(now, b.share)
}

// sweep drops the books that can be made anew.
func (r *Runner) sweep(now time.Duration) {
	for w, b := range r.books {
		if b.open == 0 && b.waiting == 0 && !b.wanting && !b.asking && b.bucket.Idle(now) {
			delete(r.books, w)
			r.queue.Forget(w)
		}
	}
}

func (r *Runner) want(b *book) {
	if !b.wanting {
		b.wanting = true
		r.wanting = append(r.wanting, b)
	}
}
