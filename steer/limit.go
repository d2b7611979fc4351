package steer

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// namedLimit is what an endpoint last said of the requests that it takes.
type namedLimit struct {
	// perSecond is the limit for all VMs together, or 0 for none.
	perSecond float64
	// saidAt is the time of the response that said so.
	saidAt time.Duration
}

// SetLimit records the limit that a response of an endpoint names, in requests a second of all
// VMs together; 0 means that it names none. It reports whether the limit has changed.
func (b *Board) SetLimit(now time.Duration, e lagoonhead.Endpoint, perSecond float64) (changed bool) {
	t := b.findTarget(e)
	if t == nil {
		return false
	}
	changed = t.limit.perSecond != perSecond
	t.limit.perSecond, t.limit.saidAt = perSecond, now
	return changed
}
