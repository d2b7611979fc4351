package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
)

type simLoan struct {
	id                   uint64
	lent, used, returned int64
	until                time.Duration // end of the borrower's right to spend
	spent                bool          // whether the borrower has spent or returned the rest
}

// simulateBucket simulates random operations on one bucket that has the whole rate and burst.
// Its borrowers spend tokens, return them and send duplicates at random within LoanTTL.
// It returns the maximum excess of all windows.
func simulateBucket(d draw, v broken) float64 {
	q := lagoonhead.Quota{Rate: float64(d("rate", 10, 200)), Burst: 100}
	var (
		b     Bucket
		now   time.Duration
		log   []use
		open  []Receipt
		used  []int64
		loans []simLoan
	)
	b.SetShare(0, ShareOf(q, 0, []int{0}, []int{0}))
	for range d("steps", 3, 40) {
		if d("apart", 0, 1) == 1 {
			now += time.Duration(d("wait", 0, 20)*d("wait", 0, 100)) * time.Millisecond
		}
		switch d("action", 0, 5) {
		case 0, 1:
			n := int64(d("charge", 1, 100))
			if r, ok := b.Charge(now, n); ok {
				open, used = append(open, r), append(used, min(n, int64(d("used", 0, 100))))
				log = append(log, use{now, used[len(used)-1]})
			}
		case 2:
			if n := len(open); n > 0 {
				i := d("end", 0, n-1)
				refund(&b, now, open[i], used[i], v)
				open[i], used[i] = open[n-1], used[n-1]
				open, used = open[:n-1], used[:n-1]
			}
		case 3:
			if id, lent := lend(&b, now, int64(d("ask", 1, 100)), v); lent > 0 {
				l := simLoan{id: id, lent: lent, until: now + LoanTTL}
				if v.loanLife {
					l.until += time.Hour
				}
				loans = append(loans, l)
			}
		case 4:
			if n := len(loans); n > 0 {
				l := &loans[d("loan", 0, n-1)]
				if !l.spent && now < l.until {
					l.spent, l.used = true, min(l.lent-l.returned, int64(d("used", 0, 100)))
					log = append(log, use{now, l.used})
				}
			}
		case 5:
			if n := len(loans); n > 0 {
				l := &loans[d("loan", 0, n-1)]
				if !l.spent && d("partly", 0, 1) == 1 {
					l.returned = max(l.returned, int64(d("part", 0, int(l.lent))))
					handleReturn(&b, now, l.id, l.returned, false, v)
					continue
				}
				l.spent = true // tokens returned unspent are not spent later
				handleReturn(&b, now, l.id, l.lent-l.used, d("done", 0, 1) == 1, v)
			}
		}
	}
	return excess(q, log)
}

// Guards against any sequence of charges, refunds and loans of one bucket that allows
// more than rate*t + burst.
func TestBucketNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 100 {
			e := simulateBucket(func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }, broken{})
			if e > roundingError {
				t.Fatalf("a window exceeds rate*t + burst by %g tokens", e)
			}
		}
	})
}

func seeded(seed uint64) draw {
	rng := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }
}

// Guards against simulations that do not detect a broken mechanism: each broken variant
// must exceed the limit, and the intact mechanism must not with the same seed.
func TestBrokenVariantsAreCaught(t *testing.T) {
	bucket := simulateBucket
	fleet := func(d draw, v broken) float64 { return simulateFleet(d, v).excess() }
	for _, c := range []struct {
		name        string
		simulate    func(draw, broken) float64
		broken      broken
		first, last uint64 // range of seeds; the first ones are known to detect the variant
	}{
		{"lentCapacity", bucket, broken{lentCapacity: true}, 0, 1_000_000},
		{"oldHeadroom", bucket, broken{oldHeadroom: true}, 361_000, 1_000_000},
		{"anyHeadroom", bucket, broken{anyHeadroom: true}, 0, 1_000_000},
		{"loanLife", bucket, broken{loanLife: true}, 0, 1_000_000},
		{"repeats", bucket, broken{repeats: true}, 19_300, 1_000_000},
		{"done", bucket, broken{done: true}, 7_100, 1_000_000},
		{"fleetLentCapacity", fleet, broken{lentCapacity: true}, 4_049, 4_449},
		{"fleetLoanLife", fleet, broken{loanLife: true}, 186, 400},
		{"fleetSlotWait", fleet, broken{slotWait: true}, 98, 400},
		{"fleetFreshness", fleet, broken{freshness: true}, 12, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.first; seed < c.last; seed++ {
				e := c.simulate(seeded(seed), c.broken)
				if e <= roundingError {
					continue
				}
				t.Logf("detected with seed %d: %.1f tokens too many", seed, e)
				require.LessOrEqual(t, c.simulate(seeded(seed), broken{}), roundingError)
				return
			}
			t.Fatal("not caught")
		})
	}
}
