package timer

import (
	"context"
	"time"
)

// Every calls f on every tick of an interval until ctx ends. A call that takes longer
// than the interval is followed by one call for the ticks that it missed. It panics
// when interval is not positive.
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
