package suspect

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct {
	lagoonhead.Fault
	retryAfter time.Duration
}

var _ lagoonhead.RetryAfterer = (*Error)(nil)

// RetryAfter returns the time after which the refusal ends, or 0 when it is unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// ErrRefused means that the request has crashed at least two endpoints.
var ErrRefused = errors.New("the request has crashed more than one endpoint and is refused for a time")

// ErrPartRefused means that engines crashed under a part of the prompt.
var ErrPartRefused = errors.New("a part of the prompt has crashed engines and is refused for a time")

// refusal returns the error for what is refused for the time retryAfter, where 0 means that the
// time is unknown.
func refusal(cause error, retryAfter time.Duration) error {
	return &Error{lagoonhead.Fault{Op: "suspect.check", Kind: lagoonhead.KindForbidden, Err: cause}, retryAfter}
}
