package overload

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct {
	lagoonhead.Fault
	retryAfter time.Duration
}

// RetryAfter returns after what time the caller may come again.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }
