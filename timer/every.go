package timer

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends. If a call takes longer than the
// interval, the ticks missed meanwhile result in one call. Every panics when interval
// is not positive.
func Every(ctx context.Context, t Timer, interval time.Duration, f func(now time.Duration)) {
	ticks := t.Subscribe(interval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C():
			f(now)
		}
	}
}
