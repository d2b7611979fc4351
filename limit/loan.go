package limit

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// loanMade is a loan as its lender remembers it.
type loanMade struct {
	id uint64
	// amount is what was lent less what came back.
	amount   micro
	returned int64 // tokens given back so far
	ends     time.Duration
	// point is set when the loan has ended, by time or by word of the borrower; from
	// there on a credit is bounded by the headroom.
	point uint64
}

// Loan is a loan as its borrower holds it.
type Loan struct {
	lender   lenderID
	id       uint64
	left     micro // neither spent, nor poured into the bucket, nor given back
	expires  time.Duration
	returned int64 // tokens given back so far
}

// GiveBack is the message that returns tokens of a loan to its lender, or tells
// that the loan has ended. It carries the total given back over the life of the
// loan, so that it may be lost, late or repeated.
type GiveBack struct {
	lender   lenderID
	loan     uint64
	returned int64
	done     bool
}

// Lender returns the VM that lent.
func (g GiveBack) Lender() lagoonhead.VMID { return g.lender.vm }

// Incarnation returns the process that lent. Another one must ignore the message.
func (g GiveBack) Incarnation() lagoonhead.Incarnation { return g.lender.incarnation }

// Loan returns the number of the loan at its lender.
func (g GiveBack) Loan() uint64 { return g.loan }

// Returned returns the tokens given back so far, those of earlier messages
// included.
func (g GiveBack) Returned() int64 { return g.returned }

// Done reports whether all tokens of the loan have been spent, poured into the
// borrower's bucket or given back. The lender need not lower its capacity for them
// any longer.
func (g GiveBack) Done() bool { return g.done }

// tell prepares the message about the present state of a received loan.
func (b *Bucket) tell(l *Loan) {
	g := GiveBack{l.lender, l.id, l.returned, l.left == 0}
	for i, former := range b.messages {
		if former.lender == g.lender && former.loan == g.loan {
			b.messages[i] = g
			return
		}
	}
	b.messages = append(b.messages, g)
}

// Messages returns the messages to lenders that arose since the last call.
func (b *Bucket) Messages() []GiveBack {
	m := b.messages
	b.messages = nil
	return m
}

// NumberLoansAfter sets the number after which loans are counted. A process that
// makes a bucket anew must not give a number twice, since a message about the
// former loan may still be on its way.
func (b *Bucket) NumberLoansAfter(n uint64) { b.lastLoan = n }

// Lend takes up to tokens off the bucket for a borrower and returns the number of
// the loan and what it took, which may be zero. The caller must take the answer
// as sent at now. The capacity is lowered by the loan until no borrower can spend
// it any more.
func (b *Bucket) Lend(now time.Duration, tokens int64) (loan uint64, lent int64) {
	b.advance(now)
	lent = min(tokens, b.level.tokens())
	if lent <= 0 || b.live == 0 && len(b.made) >= maxLoans {
		return 0, 0
	}
	if len(b.made) >= maxLoans {
		b.made = slices.Delete(b.made, 0, 1)
		b.live--
	}
	b.lastLoan++
	b.level -= micros(lent)
	b.lent += micros(lent)
	b.made = append(b.made, loanMade{id: b.lastLoan, amount: micros(lent), ends: now + LoanLife + LoanMargin})
	return b.lastLoan, lent
}

// Receive adds a loan that was asked for at asked, by the clock of this daemon.
// It returns false when the loan has run out before it arrived. One answer must
// not be received twice.
func (b *Bucket) Receive(now, asked time.Duration, vm lagoonhead.VMID, in lagoonhead.Incarnation, loan uint64, tokens int64) bool {
	b.advance(now)
	if now >= asked+LoanLife || tokens <= 0 {
		return false
	}
	l := &Loan{lender: lenderID{vm, in}, id: loan, left: micros(tokens), expires: asked + LoanLife}
	b.received = append(b.received, l)
	for i := len(b.received) - 1; i > 0 && b.received[i-1].expires > l.expires; i-- {
		b.received[i-1], b.received[i] = b.received[i], b.received[i-1]
	}
	return true
}

// Pour moves borrowed tokens that were asked for at least age ago into the
// bucket, where they last and can be lent. What does not fit goes back to the
// lenders. Tokens that will be spent soon are better left as loans: they take no
// room that a refund may need.
func (b *Bucket) Pour(now, age time.Duration) {
	b.advance(now)
	n := 0
	for _, l := range b.received {
		if l.expires-LoanLife+age > now {
			break
		}
		n++
		fits := min(l.left, max(0, b.headroom()))
		b.level += fits
		l.returned += (l.left - fits).tokens()
		l.left = 0
		b.note()
		b.tell(l)
	}
	b.received = slices.Delete(b.received, 0, n)
}

// TakeBack handles a GiveBack at the lender and returns the tokens credited. A
// loan that is not remembered credits nothing. done ends the loan early.
func (b *Bucket) TakeBack(now time.Duration, loan uint64, returned int64, done bool) int64 {
	b.advance(now)
	i := slices.IndexFunc(b.made, func(m loanMade) bool { return m.id == loan })
	if i < 0 {
		return 0
	}
	credited := b.takeBack(&b.made[i], returned)
	if done {
		b.endLoan(&b.made[i])
	}
	return credited.tokens()
}

func (b *Bucket) takeBack(m *loanMade, returned int64) micro {
	amount := min(micros(returned-m.returned), m.amount)
	if amount <= 0 {
		return 0
	}
	m.returned = returned
	m.amount -= amount
	if m.point != 0 {
		return b.credit(m.point, amount)
	}
	// The loan is still counted against the capacity, so that its tokens fit unless
	// the capacity was lowered since.
	before := b.level
	b.lent -= amount
	b.level = max(b.level, min(b.level+amount, b.capacity-b.lent))
	return b.level - before
}

// endLoan restores the capacity that a loan had lowered.
func (b *Bucket) endLoan(m *loanMade) {
	if m.point != 0 {
		return
	}
	b.lent -= m.amount
	m.point = b.nextPoint()
}

func (b *Bucket) dropExpired(now time.Duration) {
	for len(b.received) > 0 && b.received[0].expires <= now {
		b.received = slices.Delete(b.received, 0, 1)
	}
}

// forgetLoans drops the oldest loans made that can no longer come back.
func (b *Bucket) forgetLoans(now time.Duration) {
	n := 0
	for n < b.live && (b.made[n].amount == 0 || b.made[n].ends+loanMemory <= now) {
		n++
	}
	if n == 0 {
		return
	}
	b.made = slices.Delete(b.made, 0, n)
	b.live -= n
}
