package timer

import (
	"sync"
	"time"
)

const (
	// jump is the difference between wall time and elapsed time above which the wall clock
	// has been set. Clocks that are kept in step by slewing move by 0.5 ms a second.
	jump = 100 * time.Millisecond
	// jumpHold is how long a wall clock must stay where it was set to before it is
	// believed. A clock that was set by mistake is put right within this time.
	jumpHold = time.Minute
)

// Steady is a Timer whose wall time does not follow a clock that jumps, until the clock has
// stayed there for a minute. Counts by wall time would otherwise go to windows that are
// over or have not begun. Set Timer before use.
type Steady struct {
	Timer

	mu     sync.Mutex
	known  bool
	offset time.Duration // wall time less the time since boot, as believed
	jumped time.Duration // offset of a clock that has jumped
	since  time.Duration // when that offset was seen first
}

var _ Timer = (*Steady)(nil)

// Wall returns the steady wall time.
func (s *Steady) Wall() time.Time {
	now := s.Now()
	offset := time.Duration(s.Timer.Wall().UnixNano()) - now
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.known || near(offset, s.offset):
		s.known, s.offset, s.since = true, offset, 0
	case s.since == 0 || !near(offset, s.jumped):
		s.jumped, s.since = offset, now
	case now-s.since >= jumpHold:
		s.offset, s.since = offset, 0
	}
	return time.Unix(0, int64(now+s.offset))
}

func near(a, b time.Duration) bool { return max(a-b, b-a) < jump }
