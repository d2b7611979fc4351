package bodybudget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package. KindUnavailable means that the body was refused for a lack
// of memory, KindTimeout that it did not arrive in time, KindInvalid that it is too large or could
// not be read.
type Error struct {
	lagoonhead.Fault
	retryAfter time.Duration
}

// RetryAfter returns after what time the caller may come again, or 0 if that does not matter.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

func fail(op string, k lagoonhead.Kind, err error) *Error {
	return &Error{Fault: lagoonhead.Fault{Op: "bodybudget." + op, Kind: k, Err: err}}
}

var (
	errFull     = errors.New("bodies of callers take all memory that is meant for them")
	errRevoked  = errors.New("the body gave its memory to another one")
	errTooSlow  = errors.New("the body did not arrive in time")
	errTooLarge = errors.New("the body is too large")
)

// IsTooLarge reports whether a body was refused because it is over the limit for one body.
func IsTooLarge(err error) bool { return errors.Is(err, errTooLarge) }

// IsGivenUp reports whether a body was given up after a part of it had been awaited or read, for the
// sake of another one or because it was late.
func IsGivenUp(err error) bool { return errors.Is(err, errRevoked) || errors.Is(err, errTooSlow) }
