package retry

import "time"

// buckets is the number of parts that a window is cut into. The oldest part counts until
// all of it has left the window, so the bound holds for every span of the window's
// length.
const buckets = 10

// Budget allows, within any window, a part of the requests of that window plus a fixed
// number of repeats. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the part of the requests that may be repeated.
	Ratio float64
	// Window is the length of the window. It must be positive.
	Window time.Duration

	now      int64
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// advance clears the parts that have left the window.
func (b *Budget) advance(now time.Duration) int {
	n := int64(now / (b.Window / buckets))
	if n-b.now > buckets {
		b.requests, b.repeats = [buckets + 1]int{}, [buckets + 1]int{}
		b.now = n
	}
	for b.now < n {
		b.now++
		i := b.now % (buckets + 1)
		b.requests[i], b.repeats[i] = 0, 0
	}
	return int(b.now % (buckets + 1))
}

// Request counts a request.
func (b *Budget) Request(now time.Duration) { b.requests[b.advance(now)]++ }

// Repeat counts a repeat and reports whether it may be made. slack is the fixed number.
func (b *Budget) Repeat(now time.Duration, slack float64) bool {
	i := b.advance(now)
	requests, repeats := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		repeats += b.repeats[j]
	}
	if float64(repeats+1) > b.Ratio*float64(requests)+slack {
		return false
	}
	b.repeats[i]++
	return true
}
