package limit

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Tolerance is the excess over a limit that is accepted in any span of Window. The zero
// value accepts none.
type Tolerance struct {
	Window time.Duration
	// Overrun is a part of what the limit allows in the window.
	Overrun float64
	// Tokens is a fixed number, whatever the limit is.
	Tokens int64
}

// advancePart is the part of a tolerance that advances may use. The rest is left for
// what the limiter cannot see, such as a request that the engine starts late.
const advancePart = 0.5

// Advance returns the tokens that the buckets of a workspace may start with, all slots
// together, after their processes have ended without giving up their slots. It is at
// most the burst.
func (t Tolerance) Advance(q lagoonhead.Quota) int64 {
	if t.Window <= 0 {
		return 0
	}
	accepted := t.Overrun*(q.Rate*t.Window.Seconds()+float64(q.Burst)) + float64(t.Tokens)
	return min(q.Burst, int64(advancePart*max(0, accepted)))
}

// AdvanceOf returns the part of an advance that falls to the given slots, for a workspace
// with the given homes.
func AdvanceOf(advance int64, homes, slots []int) int64 {
	n := 0
	for _, h := range homes {
		if slices.Contains(slots, h) {
			n++
		}
	}
	return advance * int64(n) / int64(max(1, len(homes)))
}

// Advance adds tokens as far as there is room, and refills the bucket only from the time
// refill on.
func (b *Bucket) Advance(now time.Duration, tokens int64, refill time.Duration) {
	b.advance(now)
	if gained := min(micros(tokens), b.headroom()); gained > 0 {
		b.level += gained
		b.note()
	}
	b.at = max(b.at, refill)
}
