package storecalls

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func failf(op string, k lagoonhead.Kind, format string, args ...any) error {
	return &Error{lagoonhead.Fault{Op: "storecalls." + op, Kind: k, Err: errors.NewWithDepthf(1, format, args...)}}
}
