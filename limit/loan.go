package limit

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// lentLoan is the lender's record of a loan.
type lentLoan struct {
	id uint64
	// amount is the amount lent less the amount returned.
	amount   microtokens
	returned int64 // tokens returned so far
	expires  time.Duration
	// point is set when the loan has ended, by expiry or by a message of the borrower.
	// Tokens returned later are credited only within the smallest headroom since point.
	point uint64
}

// Loan is the borrower's record of a loan.
type Loan struct {
	lender   lenderID
	id       uint64
	left     microtokens // neither spent, nor deposited into the bucket, nor returned
	expires  time.Duration
	returned int64 // tokens returned so far
}

// LoanReturn is the message by which a borrower returns tokens of a loan to its lender or
// reports that the loan has ended. It carries the total returned since the start of the
// loan, so a message may be lost, delayed or duplicated.
type LoanReturn struct {
	lender   lenderID
	loan     uint64
	returned int64
	done     bool
}

// Lender returns the VM of the lender.
func (r LoanReturn) Lender() lagoonhead.VMID { return r.lender.vm }

// Incarnation identifies the lender's process. Any other process must ignore the message.
func (r LoanReturn) Incarnation() lagoonhead.Incarnation { return r.lender.incarnation }

// Loan returns the number that the lender gave to the loan.
func (r LoanReturn) Loan() uint64 { return r.loan }

// Returned returns the tokens returned so far, including those of earlier messages.
func (r LoanReturn) Returned() int64 { return r.returned }

// Done reports whether all tokens of the loan have been spent, deposited into the
// borrower's bucket or returned. The lender may then restore its capacity.
func (r LoanReturn) Done() bool { return r.done }

// queueLoanReturn queues a message with the current state of a received loan. It replaces a
// queued message about the same loan.
func (b *Bucket) queueLoanReturn(l *Loan) {
	r := LoanReturn{l.lender, l.id, l.returned, l.left == 0}
	for i, queued := range b.messages {
		if queued.lender == r.lender && queued.loan == r.loan {
			b.messages[i] = r
			return
		}
	}
	b.messages = append(b.messages, r)
}

// Messages returns the messages to lenders that were queued since the last call.
func (b *Bucket) Messages() []LoanReturn {
	m := b.messages
	b.messages = nil
	return m
}

// SetLastLoan makes the next loan get the number n+1. A process that creates a
// bucket again for a workspace must not use a loan number twice, since a message about
// the earlier loan may still be in flight.
func (b *Bucket) SetLastLoan(n uint64) { b.lastLoan = n }

// Lend moves up to the given number of tokens out of the bucket for a borrower. It returns
// the number of the loan and the tokens lent, which may be zero. now must not be
// earlier than the arrival of the borrower's request. The bucket's capacity is reduced by
// the loan until the borrower can no longer spend it.
func (b *Bucket) Lend(now time.Duration, tokens int64) (loan uint64, lent int64) {
	b.advanceTo(now)
	lent = min(tokens, b.spendable(fromTokens(tokens)).tokens())
	if lent <= 0 || b.firstLive == 0 && len(b.lentLoans) >= maxLentLoans {
		return 0, 0
	}
	if len(b.lentLoans) >= maxLentLoans {
		b.lentLoans = slices.Delete(b.lentLoans, 0, 1)
		b.firstLive--
	}
	b.lastLoan++
	b.level -= fromTokens(lent)
	b.lent += fromTokens(lent)
	b.lentLoans = append(b.lentLoans, lentLoan{id: b.lastLoan, amount: fromTokens(lent), expires: now + LoanTTL + LoanMargin})
	return b.lastLoan, lent
}

// Receive adds a loan that this daemon requested at the given time by its own clock.
// It returns false when the loan expired before it arrived or has no tokens. The caller
// must not pass the same loan twice.
func (b *Bucket) Receive(now, requested time.Duration, vm lagoonhead.VMID, in lagoonhead.Incarnation, loan uint64, tokens int64) bool {
	b.advanceTo(now)
	if now >= requested+LoanTTL || tokens <= 0 {
		return false
	}
	l := &Loan{lender: lenderID{vm, in}, id: loan, left: fromTokens(tokens), expires: requested + LoanTTL}
	b.received = append(b.received, l)
	for i := len(b.received) - 1; i > 0 && b.received[i-1].expires > l.expires; i-- {
		b.received[i-1], b.received[i] = b.received[i], b.received[i-1]
	}
	return true
}

// DepositLoans deposits borrowed tokens that were requested at least age ago into the
// bucket, where they do not expire and can be lent. Tokens that do not fit are returned
// to the lenders. Tokens that will be spent soon are better left as loans, because there
// they use no headroom that a refund may need.
func (b *Bucket) DepositLoans(now, age time.Duration) {
	b.advanceTo(now)
	n := 0
	for _, l := range b.received {
		if l.expires-LoanTTL+age > now {
			break
		}
		n++
		fits := min(l.left, max(0, b.headroom()))
		b.level += fits
		l.returned += (l.left - fits).tokens()
		l.left = 0
		b.recordHeadroom()
		b.queueLoanReturn(l)
	}
	b.received = slices.Delete(b.received, 0, n)
}

// HandleReturn handles a LoanReturn at the lender and returns the tokens credited. A
// loan without a record credits nothing. done ends the loan before its expiry.
func (b *Bucket) HandleReturn(now time.Duration, loan uint64, returned int64, done bool) int64 {
	b.advanceTo(now)
	i := slices.IndexFunc(b.lentLoans, func(l lentLoan) bool { return l.id == loan })
	if i < 0 {
		return 0
	}
	credited := b.creditReturn(&b.lentLoans[i], returned)
	if done {
		b.endLoan(&b.lentLoans[i])
	}
	return credited.tokens()
}

func (b *Bucket) creditReturn(l *lentLoan, returned int64) microtokens {
	amount := min(fromTokens(returned-l.returned), l.amount)
	if amount <= 0 {
		return 0
	}
	l.returned = returned
	l.amount -= amount
	if l.point != 0 {
		return b.credit(l.point, amount)
	}
	// The capacity is still reduced by the loan, so its tokens fit unless the
	// capacity was lowered since the loan.
	before := b.level
	b.lent -= amount
	b.level = max(b.level, min(b.level+amount, b.capacity-b.lent))
	return b.level - before
}

// endLoan restores the capacity that a loan had reduced. It has no effect on a loan that
// has already ended.
func (b *Bucket) endLoan(l *lentLoan) {
	if l.point != 0 {
		return
	}
	b.lent -= l.amount
	l.point = b.nextPoint()
}

func (b *Bucket) dropExpired(now time.Duration) {
	for len(b.received) > 0 && b.received[0].expires <= now {
		b.received = slices.Delete(b.received, 0, 1)
	}
}

// forgetLoans drops the oldest granted loans of which no more tokens can be returned.
func (b *Bucket) forgetLoans(now time.Duration) {
	n := 0
	for n < b.firstLive && (b.lentLoans[n].amount == 0 || b.lentLoans[n].expires+lentLoanRetention <= now) {
		n++
	}
	if n == 0 {
		return
	}
	b.lentLoans = slices.Delete(b.lentLoans, 0, n)
	b.firstLive -= n
}
