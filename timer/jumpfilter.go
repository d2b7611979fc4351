package timer

import (
	"sync"
	"time"
)

const (
	// minJump is the smallest change of the difference between wall clock and time since
	// boot that counts as a jump of the wall clock. Clocks synchronized by slewing move by
	// 0.5 ms per second.
	minJump = 100 * time.Millisecond
	// jumpHold is how long the wall clock must keep its new offset before it is adopted.
	// A clock that was set by mistake is corrected within this time.
	jumpHold = time.Minute
)

// JumpFilter is a Timer whose wall time follows a jump of the wall clock only after the clock
// has kept its new offset for a minute. Otherwise a short jump would assign counts to
// time windows that are over or have not begun. Set Timer before use.
type JumpFilter struct {
	Timer

	mu     sync.Mutex
	known  bool          // whether offset is set
	offset time.Duration // wall time minus time since boot, as Wall uses it
	jumped time.Duration // offset of the wall clock after a jump
	since  time.Duration // time since boot when jumped was first seen, 0 without a jump
}

var _ Timer = (*JumpFilter)(nil)

// Wall returns the wall time without jumps that last less than a minute.
func (f *JumpFilter) Wall() time.Time {
	now := f.Now()
	offset := time.Duration(f.Timer.Wall().UnixNano()) - now
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.known || near(offset, f.offset):
		f.known, f.offset, f.since = true, offset, 0
	case f.since == 0 || !near(offset, f.jumped):
		f.jumped, f.since = offset, now
	case now-f.since >= jumpHold:
		f.offset, f.since = offset, 0
	}
	return time.Unix(0, int64(now+f.offset))
}

func near(a, b time.Duration) bool { return max(a-b, b-a) < minJump }
