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
	id               uint64
	lent, used, back int64
	until            time.Duration
	spent            bool
}

// playBucket draws a history of one bucket that has the whole rate and burst, with
// borrowers that spend, return and repeat as they like within the life of a loan,
// and returns the excess of the worst window.
func playBucket(d draw, v broken) float64 {
	q := lagoonhead.Quota{Rate: float64(d("rate", 10, 200)), Burst: 100}
	var (
		b     Bucket
		now   time.Duration
		log   []use
		open  []Hold
		used  []int64
		loans []simLoan
	)
	b.SetShare(0, ShareOf(q, []int{0}, []int{0}))
	for range d("steps", 3, 40) {
		if d("apart", 0, 1) == 1 {
			now += time.Duration(d("wait", 0, 20)*d("wait", 0, 100)) * time.Millisecond
		}
		switch d("action", 0, 5) {
		case 0, 1:
			n := int64(d("charge", 1, 100))
			if h, ok := b.Take(now, n); ok {
				open, used = append(open, h), append(used, min(n, int64(d("used", 0, 100))))
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
				l := simLoan{id: id, lent: lent, until: now + LoanLife}
				if v.loanLife {
					l.until += time.Hour
				}
				loans = append(loans, l)
			}
		case 4:
			if n := len(loans); n > 0 {
				l := &loans[d("loan", 0, n-1)]
				if !l.spent && now < l.until {
					l.spent, l.used = true, min(l.lent-l.back, int64(d("used", 0, 100)))
					log = append(log, use{now, l.used})
				}
			}
		case 5:
			if n := len(loans); n > 0 {
				l := &loans[d("loan", 0, n-1)]
				if !l.spent && d("partly", 0, 1) == 1 {
					l.back = max(l.back, int64(d("part", 0, int(l.lent))))
					takeBack(&b, now, l.id, l.back, false, v)
					continue
				}
				l.spent = true // what is given back unspent is not spent later
				takeBack(&b, now, l.id, l.lent-l.used, d("done", 0, 1) == 1, v)
			}
		}
	}
	return excess(q, log)
}

// Guards against any history of one bucket with refunds and loans that allows more
// than rate*t + burst.
func TestBucketNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 100 {
			e := playBucket(func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }, broken{})
			if e > tolerance {
				t.Fatalf("a window exceeds rate*t + burst by %g tokens", e)
			}
		}
	})
}

func seeded(seed uint64) draw {
	rng := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }
}

// Guards against checks that would not notice a broken mechanism: each variant is
// caught, and the true mechanism passes the history that caught it.
func TestBrokenVariantsAreCaught(t *testing.T) {
	bucket := playBucket
	fleet := func(d draw, v broken) float64 { return play(d, v).excess() }
	for _, c := range []struct {
		name        string
		play        func(draw, broken) float64
		broken      broken
		first, last uint64 // seeds of the histories; the first ones are known to catch it
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
				e := c.play(seeded(seed), c.broken)
				if e <= tolerance {
					continue
				}
				t.Logf("caught by history %d: %.1f tokens too many", seed, e)
				require.LessOrEqual(t, c.play(seeded(seed), broken{}), tolerance)
				return
			}
			t.Fatal("not caught")
		})
	}
}
