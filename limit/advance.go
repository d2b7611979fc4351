package limit

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Tolerance is the accepted excess over a limit in any time window of length Window: the
// sum of a relative and a fixed part. The zero value accepts none.
type Tolerance struct {
	Window time.Duration
	// Overrun is the relative part, a fraction of rate*Window + burst.
	Overrun float64
	// Tokens is the fixed part in tokens, independent of the limit.
	Tokens int64
}

// advanceFraction is the fraction of a tolerance that advances may use. The rest is left for
// effects that the limiter cannot see, such as a request that the engine starts late.
const advanceFraction = 0.5

// debtFraction is the fraction of a tolerance that the debts of a workspace's buckets may
// use. A process that ends without releasing its slots forgets its debt, but its successor
// does so only together with an advance.
const debtFraction = 0.125

// Debt returns the tokens that the buckets of a workspace, over all slots, may spend beyond
// what they have. Without it a request larger than the burst could never run.
func (t Tolerance) Debt(q lagoonhead.Quota) int64 { return int64(debtFraction * t.accepted(q)) }

// accepted returns the accepted excess in tokens.
func (t Tolerance) accepted(q lagoonhead.Quota) float64 {
	if t.Window <= 0 {
		return 0
	}
	return max(0, t.Overrun*(q.Rate*t.Window.Seconds()+float64(q.Burst))+float64(t.Tokens))
}

// Advance returns the tokens that the buckets of a workspace may start with, over all
// slots, after the processes that held the slots ended without releasing them. It is at
// most the burst.
func (t Tolerance) Advance(q lagoonhead.Quota) int64 {
	return min(q.Burst, int64(advanceFraction*t.accepted(q)))
}

// AdvanceShare returns the part of an advance that is assigned to the given slots, for a
// workspace with the given home slots.
func AdvanceShare(advance int64, homes, slots []int) int64 {
	n := 0
	for _, h := range homes {
		if slices.Contains(slots, h) {
			n++
		}
	}
	return advance * int64(n) / int64(max(1, len(homes)))
}

// AddAdvance adds tokens as far as they fit, and suspends the refill of the bucket until the
// time refill.
func (b *Bucket) AddAdvance(now time.Duration, tokens int64, refill time.Duration) {
	b.advanceTo(now)
	if gained := min(fromTokens(tokens), b.headroom()); gained > 0 {
		b.level += gained
		b.recordHeadroom()
	}
	b.refilledAt = max(b.refilledAt, refill)
}
