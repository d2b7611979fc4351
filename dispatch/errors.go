package dispatch

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package. KindUnavailable, KindExhausted and
// KindTimeout mean that the request has not run and will not.
type Error struct {
	lagoonhead.Fault
	after time.Duration
}

// RetryAfter returns when the request may succeed, or 0 when that is not known.
func (e *Error) RetryAfter() time.Duration { return e.after }

func fail(op string, k lagoonhead.Kind, err error) *Error {
	return &Error{Fault: lagoonhead.Fault{Op: "dispatch." + op, Kind: k, Err: err}}
}

func failf(op string, k lagoonhead.Kind, format string, args ...any) *Error {
	return fail(op, k, errors.NewWithDepthf(1, format, args...))
}

// errDeadline ends the context of a request whose time is up.
var errDeadline = fmt.Errorf("the time of the request is up")

// errSilent ends the context of an attempt that has been silent for too long.
var errSilent = fmt.Errorf("the endpoint was silent for too long")
