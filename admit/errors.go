package admit

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct {
	lagoonhead.Fault
	after time.Duration // see RetryAfter
}

var _ lagoonhead.RetryAfterer = (*Error)(nil)

// RetryAfter returns the delay after which a retry may succeed; 0 means unknown.
func (e *Error) RetryAfter() time.Duration { return e.after }

func fault(op string, k lagoonhead.Kind, text string) *Error {
	return &Error{Fault: lagoonhead.Fault{Op: op, Kind: k, Err: errors.New(text)}}
}

func faultf(op string, k lagoonhead.Kind, format string, args ...any) *Error {
	return &Error{Fault: lagoonhead.Fault{Op: op, Kind: k, Err: errors.Newf(format, args...)}}
}
