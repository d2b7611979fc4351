package dispatch

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package. KindUnavailable, KindExhausted and KindTimeout
// mean that the request has not run and will not.
type Error struct {
	lagoonhead.Fault
	retryAfter time.Duration
}

// RetryAfter returns the time after which a retry may succeed, or 0 when it is unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

func fail(op string, k lagoonhead.Kind, err error) *Error {
	return &Error{Fault: lagoonhead.Fault{Op: "dispatch." + op, Kind: k, Err: err}}
}

func failf(op string, k lagoonhead.Kind, format string, args ...any) *Error {
	return fail(op, k, errors.NewWithDepthf(1, format, args...))
}

// errDeadline is the cancellation cause of a request whose deadline has passed.
var errDeadline = fmt.Errorf("the request deadline has passed")

// errStopping is the cancellation cause of a request that is ended by Dispatcher.Stop.
var errStopping = fmt.Errorf("the daemon is stopping")

// errSilent is the cancellation cause of an attempt at an endpoint that sent nothing for too
// long, and errNotSilent that of a move to another endpoint that has become needless.
var (
	errSilent    = fmt.Errorf("the endpoint was silent for too long")
	errNotSilent = fmt.Errorf("the former endpoint goes on")
)

// errServer is the error of an attempt at an endpoint that answered with a status of 500 or more.
var errServer = fmt.Errorf("the endpoint answered with an error")
