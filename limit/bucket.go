package limit

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// LoanLife is how long a borrower may spend borrowed tokens, by its own clock,
	// counted from before it asked.
	LoanLife = time.Second
	// LoanMargin is added to LoanLife at the lender. It covers the difference of
	// clock rates, which is 0.4 ms over a second at twice MaxDrift.
	LoanMargin = 100 * time.Millisecond
	// MaxDrift is the largest relative error of a daemon's clock rate. Buckets
	// refill slower by this factor, so that a fast clock creates no tokens.
	MaxDrift = 200e-6

	// loanMemory is how long a lender accepts tokens back after the end of a loan.
	// Streams end within minutes; what comes later is lost.
	loanMemory = 2 * time.Minute
	// maxLoans bounds the loans that a lender remembers for one workspace.
	maxLoans = 1024
	// maxMarks bounds the recorded headrooms of one bucket. Each open request needs
	// at most one.
	maxMarks = 256
)

// micro counts millionths of a token, so that sums are exact.
type micro int64

const tokenMicros micro = 1_000_000

func micros(tokens int64) micro { return micro(tokens) * tokenMicros }

func (m micro) tokens() int64 { return int64(m / tokenMicros) }

// lowMark records the smallest headroom since a point in the bucket's history.
// It covers the points after the mark before it, up to and with point.
type lowMark struct {
	point uint64
	least micro
}

// Bucket is the token bucket of one workspace at one daemon. Its zero value is an
// empty bucket without capacity. It is not safe for concurrent use. The time that
// is passed to its methods is the time since boot and must not decrease.
type Bucket struct {
	rate     float64 // micro per nanosecond
	capacity micro
	level    micro // negative after a request used more than its charge
	lent     micro // sum of the live loans made
	at       time.Duration

	// point numbers the moments that refunds refer to. marks hold the smallest
	// headroom since each of them, in ascending order of both fields.
	point uint64
	marks []lowMark

	made     []loanMade // in order of their ends
	live     int        // index of the first loan in made whose time has not run out
	lastLoan uint64
	received []*Loan // in order of their ends
	messages []GiveBack
}

// Share is the part of a quota that falls to a daemon's slots.
type Share struct {
	rate     float64 // tokens per second
	capacity micro
}

// Rate returns the refill rate in tokens per second.
func (s Share) Rate() float64 { return s.rate }

// Burst returns the capacity in whole tokens.
func (s Share) Burst() int64 { return s.capacity.tokens() }

// SetShare sets rate and capacity from now on. Tokens above the new capacity are
// dropped. Gained capacity starts empty.
func (b *Bucket) SetShare(now time.Duration, s Share) {
	b.advance(now)
	b.rate = s.rate * (1 - MaxDrift) * float64(tokenMicros) / float64(time.Second)
	b.capacity = s.capacity
	b.level = min(b.level, max(0, b.capacity-b.lent))
	b.note()
}

// headroom returns what fits into the bucket. It is negative while loans made
// exceed a capacity that was lowered after them.
func (b *Bucket) headroom() micro { return b.capacity - b.lent - b.level }

// advance brings the bucket to now: it refills, ends loans in the order of their
// ends and drops received loans that have run out.
func (b *Bucket) advance(now time.Duration) {
	for b.live < len(b.made) && b.made[b.live].ends <= now {
		m := &b.made[b.live]
		b.refill(m.ends)
		b.endLoan(m)
		b.live++
	}
	b.refill(now)
	if len(b.received) > 0 {
		b.dropExpired(now)
	}
	if len(b.made) > 0 {
		b.forgetLoans(now)
	}
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	room := b.headroom()
	gained := math.Floor(b.rate * float64(now-b.at))
	b.at = now
	if room <= 0 {
		return
	}
	if gained >= float64(room) {
		b.level += room
	} else {
		b.level += micro(gained)
	}
	b.note()
}

// note records the present headroom where it is the smallest so far.
func (b *Bucket) note() {
	room := max(0, b.headroom())
	n := len(b.marks)
	for n > 0 && b.marks[n-1].least >= room {
		n--
	}
	if n < len(b.marks) {
		b.marks = append(b.marks[:n], lowMark{b.point, room})
	}
}

// nextPoint starts a new point of the history at the present headroom.
func (b *Bucket) nextPoint() uint64 {
	b.point++
	room := max(0, b.headroom())
	if n := len(b.marks); n > 0 && b.marks[n-1].least >= room {
		b.note()
		return b.point
	}
	if len(b.marks) == maxMarks {
		b.joinMarks()
	}
	b.marks = append(b.marks, lowMark{b.point, room})
	return b.point
}

// joinMarks joins the two neighbours that differ least. The joint mark has the
// smaller headroom, so that a refund can only get smaller.
func (b *Bucket) joinMarks() {
	best := 1
	for i := 2; i < len(b.marks); i++ {
		if b.marks[i].least-b.marks[i-1].least < b.marks[best].least-b.marks[best-1].least {
			best = i
		}
	}
	b.marks[best-1].point = b.marks[best].point
	b.marks = append(b.marks[:best], b.marks[best+1:]...)
}

// credit puts back up to amount tokens as if they had never been taken at point,
// and returns how many it put back. The bucket must have been advanced.
func (b *Bucket) credit(point uint64, amount micro) micro {
	first := len(b.marks)
	for first > 0 && b.marks[first-1].point >= point {
		first--
	}
	if first == len(b.marks) {
		return 0
	}
	amount = min(amount, b.marks[first].least)
	if amount <= 0 {
		return 0
	}
	for i := first; i < len(b.marks); i++ {
		b.marks[i].least -= amount
	}
	b.level += amount
	keep := first
	for keep > 0 && b.marks[keep-1].least >= b.marks[first].least {
		keep--
	}
	b.marks = append(b.marks[:keep], b.marks[first:]...)
	return amount
}

// Hold is the charge of one request. It is used for one Refund.
type Hold struct {
	point   uint64
	charged int64
	parts   []part
}

// part is what a charge took from one loan.
type part struct {
	loan   *Loan
	amount micro
}

// Charged returns the tokens that were taken.
func (h *Hold) Charged() int64 { return h.charged }

// Take charges the tokens of a request that is dispatched now. It takes all of
// them or none; ok is false when there are too few. Borrowed tokens go first,
// because they run out. tokens must not be negative.
func (b *Bucket) Take(now time.Duration, tokens int64) (h Hold, ok bool) {
	b.advance(now)
	need := micros(tokens)
	if need > b.available() {
		return Hold{}, false
	}
	h.charged = tokens
	for need > 0 && len(b.received) > 0 {
		l := b.received[0]
		used := min(need, l.left)
		h.parts = append(h.parts, part{l, used})
		need -= used
		l.left -= used
		if l.left == 0 {
			b.received = slices.Delete(b.received, 0, 1)
			b.tell(l)
		}
	}
	b.level -= need
	h.point = b.nextPoint()
	return h, true
}

func (b *Bucket) available() micro {
	sum := b.level
	for _, l := range b.received {
		sum += l.left
	}
	return sum
}

// Available returns the whole tokens that a request can take now, borrowed ones
// included. It is negative while the bucket is in debt.
func (b *Bucket) Available(now time.Duration) int64 {
	b.advance(now)
	return b.available().tokens()
}

// Own returns the whole tokens in the bucket itself, which can be lent.
func (b *Bucket) Own(now time.Duration) int64 {
	b.advance(now)
	return b.level.tokens()
}

// Room returns the whole tokens that fit into the bucket.
func (b *Bucket) Room(now time.Duration) int64 {
	b.advance(now)
	return max(0, b.headroom()).tokens()
}

// Idle reports whether the bucket is full and has no live loans, so that a bucket
// made anew at the start of its share would be equal to it.
func (b *Bucket) Idle(now time.Duration) bool {
	b.advance(now)
	return b.headroom() <= 0 && b.level >= 0 && len(b.made) == 0 && len(b.received) == 0
}

// Wait returns how long the refill takes until the tokens are there, and false
// when they do not fit into the bucket or it does not refill.
func (b *Bucket) Wait(now time.Duration, tokens int64) (time.Duration, bool) {
	b.advance(now)
	short := micros(tokens) - b.available()
	if short <= 0 {
		return 0, true
	}
	if b.rate <= 0 || short > b.headroom() {
		return 0, false
	}
	return time.Duration(math.Ceil(float64(short) / b.rate)), true
}

// Refund ends a hold of which used tokens were really used. The rest is credited
// to this bucket as far as it would have fitted since the dispatch. What did not
// fit goes back to the lenders of the hold. A request that used more than its
// charge leaves a debt.
func (b *Bucket) Refund(now time.Duration, h Hold, used int64) {
	b.advance(now)
	rest := micros(h.charged - max(0, used))
	if rest < 0 {
		b.level += rest
		b.nextPoint()
		return
	}
	rest -= b.credit(h.point, rest)
	for _, p := range h.parts {
		part := micros(min(rest, p.amount).tokens())
		if part <= 0 {
			continue
		}
		rest -= part
		p.loan.returned += part.tokens()
		b.tell(p.loan)
	}
}

// lenderID names the process that lent.
type lenderID struct {
	vm          lagoonhead.VMID
	incarnation lagoonhead.Incarnation
}
