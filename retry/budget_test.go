package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a window in which more is repeated than the ratio and the slack allow,
// however requests and repeats are spread.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 3.0
		window := 10 * time.Second
		b := Budget{Ratio: ratio, Window: window}
		var requests, repeats []time.Duration
		now := time.Hour
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
				continue
			}
			if b.Repeat(now, slack) {
				repeats = append(repeats, now)
			}
		}
		// Requests count when they are in the window or up to a part before it.
		in := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at <= to {
					n++
				}
			}
			return n
		}
		for _, end := range repeats {
			from := end - window
			allowed := ratio*float64(in(requests, from-window/buckets, end)) + slack
			require.LessOrEqual(t, float64(in(repeats, from+1, end)), allowed)
		}
	})
}

// Guards against a budget that stays empty after a quiet time.
func TestTheSlackComesBack(t *testing.T) {
	b := Budget{Ratio: 0.2, Window: time.Second}
	require.True(t, b.Repeat(time.Minute, 1))
	require.False(t, b.Repeat(time.Minute, 1))
	require.True(t, b.Repeat(time.Minute+2*time.Second, 1))
}
