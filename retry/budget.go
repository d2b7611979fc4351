package retry

import "time"

// buckets is the number of buckets that a window is divided into. The oldest bucket counts
// until all of it has left the window, so the bound holds for every time span as long as
// the window.
const buckets = 10

// Budget bounds the number of retries in any window by Ratio times the requests in that
// window, plus a fixed slack. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the length of the window. It must be positive.
	Window time.Duration

	newest   int64 // number of the newest bucket, counted from time 0
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// advance clears the buckets that have left the window. It returns the index of the
// bucket for now.
func (b *Budget) advance(now time.Duration) int {
	n := int64(now / (b.Window / buckets))
	if n-b.newest > buckets {
		b.requests, b.retries = [buckets + 1]int{}, [buckets + 1]int{}
		b.newest = n
	}
	for b.newest < n {
		b.newest++
		i := b.newest % (buckets + 1)
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(b.newest % (buckets + 1))
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// AllowRetry reports whether a retry may be made, and counts it if so. slack is the number of
// retries allowed in addition to Ratio.
func (b *Budget) AllowRetry(now time.Duration, slack float64) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		retries += b.retries[j]
	}
	if float64(retries+1) > b.Ratio*float64(requests)+slack {
		return false
	}
	b.retries[i]++
	return true
}
