package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a window with more retries than the ratio and the slack allow, for any
// distribution of requests and retries over time.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 3.0
		window := 10 * time.Second
		b := Budget{Ratio: ratio, Window: window}
		var requests, retries []time.Duration
		now := time.Hour
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if b.AllowRetry(now, slack) {
				retries = append(retries, now)
			}
		}
		// Requests in the window and up to one bucket before it count.
		in := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at <= to {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			from := end - window
			allowed := ratio*float64(in(requests, from-window/buckets, end)) + slack
			require.LessOrEqual(t, float64(in(retries, from+1, end)), allowed)
		}
	})
}

// Guards against a budget that stays used up after a time without requests.
func TestTheSlackComesBack(t *testing.T) {
	b := Budget{Ratio: 0.2, Window: time.Second}
	require.True(t, b.AllowRetry(time.Minute, 1))
	require.False(t, b.AllowRetry(time.Minute, 1))
	require.True(t, b.AllowRetry(time.Minute+2*time.Second, 1))
}
