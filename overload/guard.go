package overload

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the number of samples of which the smallest counts. A long task, or a quota of
	// processor time that is spent, delays some samples; a backlog delays all.
	window = 4
	// target is the lag above which there is a backlog. A change of the configuration waits
	// for about ten tasks one after another, and must be in force within seconds.
	target = 60 * time.Millisecond
)

// Guard holds the recent lag of a process. It is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// samples holds the newest lags, at most window of them, the newest last.
	samples []time.Duration
}

// Observe records the lag of a periodic task.
func (g *Guard) Observe(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.samples) == window {
		g.samples = slices.Delete(g.samples, 0, 1)
	}
	g.samples = append(g.samples, lag)
}

// Lag returns the smallest of the recent lags, or 0 before there are enough of them.
func (g *Guard) Lag() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.smallest()
}

func (g *Guard) smallest() time.Duration {
	if len(g.samples) < window {
		return 0
	}
	return slices.Min(g.samples)
}

// Behind reports whether the process has a backlog.
func (g *Guard) Behind() bool { return g.Lag() > target }
