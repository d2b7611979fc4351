package limit

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// LoanTTL is how long a borrower may spend borrowed tokens, by its own clock,
	// counted from before it sent the request for the loan.
	LoanTTL = time.Second
	// LoanMargin is added to LoanTTL at the lender. It covers the difference in
	// clock rates, which is 0.4 ms over a second at twice MaxDrift.
	LoanMargin = 100 * time.Millisecond
	// MaxDrift is the largest relative error of a daemon's clock rate. Buckets
	// refill slower by this factor, so that a fast clock creates no tokens.
	MaxDrift = 200e-6

	// lentLoanRetention is how long a lender accepts returned tokens after the end of a loan.
	// Streams end within minutes; tokens returned later are lost.
	lentLoanRetention = 2 * time.Minute
	// maxLentLoans bounds the loans that a lender keeps records of for one workspace.
	maxLentLoans = 1024
	// maxMinima bounds the recorded headroom minima of one bucket. Each open request
	// needs at most one.
	maxMinima = 256
)

// microtokens is an amount in millionths of a token. Integers keep sums exact.
type microtokens int64

const microtokensPerToken microtokens = 1_000_000

func fromTokens(tokens int64) microtokens { return microtokens(tokens) * microtokensPerToken }

func (m microtokens) tokens() int64 { return int64(m / microtokensPerToken) }

// headroomMinimum records the smallest headroom since a point in the bucket's history.
// It applies to the points after that of the preceding entry, up to and including point.
type headroomMinimum struct {
	point    uint64
	headroom microtokens
}

// Bucket is the token bucket of one workspace at one daemon. Its zero value is an
// empty bucket without capacity. It is not safe for concurrent use. The time that
// is passed to its methods is the time since boot and must not decrease.
type Bucket struct {
	rate       float64 // microtokens per nanosecond
	capacity   microtokens
	debt       microtokens   // how far a charge or a loan may take a positive level below zero
	level      microtokens   // negative after a debt, or a request that used more than its charge
	lent       microtokens   // sum of the amounts of the live loans granted
	refilledAt time.Duration // end of the last refill; later than now while the refill is suspended

	// point is the number of the newest point in the history that a refund can refer
	// to. minima hold the smallest headroom since each of these points, in ascending
	// order of both fields.
	point  uint64
	minima []headroomMinimum

	lentLoans []lentLoan // in order of expiry
	firstLive int        // index of the first unexpired loan in lentLoans
	lastLoan  uint64
	received  []*Loan // in order of expiry
	messages  []LoanReturn
}

// Share is the part of a workspace's quota that is assigned to a daemon's slots.
type Share struct {
	rate     float64 // tokens per second
	capacity microtokens
	debt     microtokens
}

// Rate returns the refill rate in tokens per second.
func (s Share) Rate() float64 { return s.rate }

// Burst returns the capacity in whole tokens.
func (s Share) Burst() int64 { return s.capacity.tokens() }

// Debt returns the tokens by which a charge may exceed those in the bucket.
func (s Share) Debt() int64 { return s.debt.tokens() }

// SetShare sets rate, capacity and debt from now on. Tokens above the new capacity are
// dropped. Added capacity starts empty.
func (b *Bucket) SetShare(now time.Duration, s Share) {
	b.advanceTo(now)
	b.rate = s.rate * (1 - MaxDrift) * float64(microtokensPerToken) / float64(time.Second)
	b.capacity, b.debt = s.capacity, s.debt
	b.level = min(b.level, max(0, b.capacity-b.lent))
	b.recordHeadroom()
}

// Owe takes tokens out of the bucket when a slot comes into use: its former holder may have
// left that debt.
func (b *Bucket) Owe(now time.Duration, tokens int64) {
	b.advanceTo(now)
	b.level -= fromTokens(tokens)
	b.nextPoint()
}

// Forgive reduces the debt of the bucket when a slot is no longer in use. The next holder
// of the slot takes it over.
func (b *Bucket) Forgive(now time.Duration, tokens int64) {
	b.advanceTo(now)
	if b.level < 0 {
		b.level = min(0, b.level+fromTokens(tokens))
		b.recordHeadroom()
	}
}

// headroom returns the amount that still fits into the bucket. It is negative while the
// loans granted exceed a capacity that was lowered after them.
func (b *Bucket) headroom() microtokens { return b.capacity - b.lent - b.level }

// advanceTo updates the bucket to the time now: it refills, ends granted loans in order of
// expiry and drops received loans that have expired.
func (b *Bucket) advanceTo(now time.Duration) {
	for b.firstLive < len(b.lentLoans) && b.lentLoans[b.firstLive].expires <= now {
		l := &b.lentLoans[b.firstLive]
		b.refill(l.expires)
		b.endLoan(l)
		b.firstLive++
	}
	b.refill(now)
	if len(b.received) > 0 {
		b.dropExpired(now)
	}
	if len(b.lentLoans) > 0 {
		b.forgetLoans(now)
	}
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	headroom := b.headroom()
	gained := math.Floor(b.rate * float64(now-b.refilledAt))
	b.refilledAt = now
	if headroom <= 0 {
		return
	}
	if gained >= float64(headroom) {
		b.level += headroom
	} else {
		b.level += microtokens(gained)
	}
	b.recordHeadroom()
}

// recordHeadroom replaces the recorded minima that are not below the current headroom by
// one entry with the current headroom.
func (b *Bucket) recordHeadroom() {
	headroom := max(0, b.headroom())
	n := len(b.minima)
	for n > 0 && b.minima[n-1].headroom >= headroom {
		n--
	}
	if n < len(b.minima) {
		b.minima = append(b.minima[:n], headroomMinimum{b.point, headroom})
	}
}

// nextPoint starts a new point in the history at the current headroom and returns its
// number.
func (b *Bucket) nextPoint() uint64 {
	b.point++
	headroom := max(0, b.headroom())
	if n := len(b.minima); n > 0 && b.minima[n-1].headroom >= headroom {
		b.recordHeadroom()
		return b.point
	}
	if len(b.minima) == maxMinima {
		b.mergeMinima()
	}
	b.minima = append(b.minima, headroomMinimum{b.point, headroom})
	return b.point
}

// mergeMinima merges the two adjacent minima that differ least. The merged entry keeps the
// smaller headroom, so that merging can only reduce a refund.
func (b *Bucket) mergeMinima() {
	best := 1
	for i := 2; i < len(b.minima); i++ {
		if b.minima[i].headroom-b.minima[i-1].headroom < b.minima[best].headroom-b.minima[best-1].headroom {
			best = i
		}
	}
	b.minima[best-1].point = b.minima[best].point
	b.minima = append(b.minima[:best], b.minima[best+1:]...)
}

// credit adds up to amount as if it had never been charged at point, and returns
// how much it added. The caller must have called advanceTo.
func (b *Bucket) credit(point uint64, amount microtokens) microtokens {
	first := len(b.minima)
	for first > 0 && b.minima[first-1].point >= point {
		first--
	}
	if first == len(b.minima) {
		return 0
	}
	amount = min(amount, b.minima[first].headroom)
	if amount <= 0 {
		return 0
	}
	for i := first; i < len(b.minima); i++ {
		b.minima[i].headroom -= amount
	}
	b.level += amount
	kept := first
	for kept > 0 && b.minima[kept-1].headroom >= b.minima[first].headroom {
		kept--
	}
	b.minima = append(b.minima[:kept], b.minima[first:]...)
	return amount
}

// Receipt is the charge of one request. It must be passed to Refund at most once.
type Receipt struct {
	point    uint64
	charged  int64
	borrowed []borrowedPart
}

// borrowedPart is the part of a charge that was paid from one loan.
type borrowedPart struct {
	loan   *Loan
	amount microtokens
}

// Charged returns the number of tokens charged.
func (r *Receipt) Charged() int64 { return r.charged }

// Charge charges the tokens of a request that is dispatched now. It charges all of
// them or none; ok is false when there are too few. A bucket that is not empty may go into
// debt, so that a request larger than its capacity can be charged and large requests do not
// wait for a full bucket while small ones empty it. Borrowed tokens are spent first,
// because they expire. tokens must not be negative.
func (b *Bucket) Charge(now time.Duration, tokens int64) (r Receipt, ok bool) {
	b.advanceTo(now)
	need := fromTokens(tokens)
	if need > b.available(need) {
		return Receipt{}, false
	}
	r.charged = tokens
	for need > 0 && len(b.received) > 0 {
		l := b.received[0]
		used := min(need, l.left)
		r.borrowed = append(r.borrowed, borrowedPart{l, used})
		need -= used
		l.left -= used
		if l.left == 0 {
			b.received = slices.Delete(b.received, 0, 1)
			b.queueLoanReturn(l)
		}
	}
	b.level -= need
	r.point = b.nextPoint()
	return r, true
}

const (
	// smallCharge is the largest charge, as a fraction of the debt, that may use all of it.
	// Larger ones leave largeCharges of the debt to the small ones, which a large request
	// would otherwise block for seconds: a prompt may take as many tokens as a hundred
	// small requests.
	smallCharge  = 1.0 / 16
	largeCharges = 0.25
)

// spendable returns what one charge or loan of the given size may take from the bucket
// itself. It is not positive if it may take nothing.
func (b *Bucket) spendable(size microtokens) microtokens {
	switch {
	case size <= microtokens(smallCharge*float64(b.debt)):
		return b.level + b.debt
	case b.level <= 0:
		return b.level
	default:
		return b.level + b.debt - microtokens(largeCharges*float64(b.debt))
	}
}

// available returns what a charge of the given size may take, including borrowed tokens.
func (b *Bucket) available(size microtokens) microtokens {
	sum := b.spendable(size)
	for _, l := range b.received {
		sum += l.left
	}
	return sum
}

// Available returns the whole tokens that a large request can be charged now, including
// borrowed ones. It is negative while the bucket is in debt.
func (b *Bucket) Available(now time.Duration) int64 {
	b.advanceTo(now)
	return b.available(b.debt).tokens()
}

// OwnTokens returns the whole tokens that can be lent for a charge of the given size, which
// excludes borrowed ones.
func (b *Bucket) OwnTokens(now time.Duration, size int64) int64 {
	b.advanceTo(now)
	return b.spendable(fromTokens(size)).tokens()
}

// HeadroomTokens returns the whole tokens that still fit into the bucket.
func (b *Bucket) HeadroomTokens(now time.Duration) int64 {
	b.advanceTo(now)
	return max(0, b.headroom()).tokens()
}

// Idle reports whether the bucket is full and has no loans, neither granted nor received,
// so that a new bucket that has refilled since the start of its share would be equal to it.
func (b *Bucket) Idle(now time.Duration) bool {
	b.advanceTo(now)
	return b.headroom() <= 0 && b.level >= 0 && len(b.lentLoans) == 0 && len(b.received) == 0
}

// Wait returns how long the refill takes until the given tokens are available, and
// false when they do not fit into the bucket or it does not refill.
func (b *Bucket) Wait(now time.Duration, tokens int64) (time.Duration, bool) {
	b.advanceTo(now)
	size := fromTokens(tokens)
	short := size - b.available(size)
	if short <= 0 {
		return 0, true
	}
	if b.level <= 0 && size > microtokens(smallCharge*float64(b.debt)) {
		// The debt counts once the level is positive.
		short = max(1-b.level, short-b.debt+microtokens(largeCharges*float64(b.debt)))
	}
	if b.rate <= 0 || short > b.headroom() {
		return 0, false
	}
	return time.Duration(math.Ceil(float64(short) / b.rate)), true
}

// Refund settles the charge of a request that has ended and used the given number of
// tokens. The rest is credited to this bucket as far as it would have fitted since the
// dispatch. Tokens that do not fit are returned to the lenders of the loans that the
// charge was paid from. A request that used more than its charge leaves a debt.
func (b *Bucket) Refund(now time.Duration, r Receipt, used int64) {
	b.advanceTo(now)
	unused := fromTokens(r.charged - max(0, used))
	if unused < 0 {
		b.level += unused
		b.nextPoint()
		return
	}
	unused -= b.credit(r.point, unused)
	for _, p := range r.borrowed {
		returned := fromTokens(min(unused, p.amount).tokens())
		if returned <= 0 {
			continue
		}
		unused -= returned
		p.loan.returned += returned.tokens()
		b.queueLoanReturn(p.loan)
	}
}

// lenderID identifies the process that granted a loan.
type lenderID struct {
	vm          lagoonhead.VMID
	incarnation lagoonhead.Incarnation
}
