package lease

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, format string, args ...any) error {
	return &Error{lagoonhead.Fault{Op: "lease." + op, Kind: k, Err: errors.Newf(format, args...)}}
}
