package storecalls

import (
	"math/rand/v2"
	"time"
)

const (
	// minPause is the pause after the second failure in a row. It is less than the pause after
	// which the mirrors of the store try again.
	minPause = 50 * time.Millisecond
	// minPauseShare is the least fraction of a pause that is waited. The rest is random, so
	// that VMs that lost the store together do not come back together.
	minPauseShare = 0.75
)

// Pacer decides when a daemon may call a store that does not serve it. While it is served
// there is no limit. After a failed call there is a pause between calls, which doubles with
// each further failure and ends with the first call that is served. All times are since boot.
// The zero value is ready to use; it is not safe for concurrent use.
type Pacer struct {
	refused bool
	pause   time.Duration // before the random reduction
	wait    time.Duration // from asked to the next call
	// asked is the time of the last call that was allowed while refused, and failedSent that
	// of the newest failed one. failedAt is the time at which the last failure was counted.
	asked, failedSent, failedAt time.Duration
	// served is the time of the newest call that was served.
	served time.Duration
}

// Refused reports whether the last calls were not served.
func (p *Pacer) Refused() bool { return p.refused }

// Allow reports whether a call may be sent now. limit is the longest pause at present; it may
// differ from that of earlier calls.
func (p *Pacer) Allow(now, limit time.Duration) bool {
	if !p.refused {
		return true
	}
	if now-p.asked < min(p.wait, limit) {
		return false
	}
	p.asked = now
	return true
}

// Served records that the store responded to a call that was sent at the given time.
func (p *Pacer) Served(sent time.Duration) {
	p.served = max(p.served, sent)
	if p.refused && sent >= p.failedSent {
		p.refused, p.pause = false, 0
	}
}

// Failed records that the store did not serve a call that was sent at the given time. Calls
// that were under way together count as one failure.
func (p *Pacer) Failed(sent, now, limit time.Duration) {
	if sent < p.served {
		return // a later call was served: only this response was lost
	}
	p.failedSent = max(p.failedSent, sent)
	switch {
	case !p.refused:
		p.refused, p.asked, p.pause = true, now, 0
	case sent < p.failedAt:
		return
	default:
		p.pause = max(2*p.pause, minPause)
	}
	p.failedAt = now
	p.pause = min(p.pause, limit)
	p.wait = time.Duration(float64(p.pause) * (minPauseShare + (1-minPauseShare)*rand.Float64()))
}
