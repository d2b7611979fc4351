package billing

import "github.com/lagoonhead/lagoonhead"

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func wrap(op string, k lagoonhead.Kind, err error) *Error {
	return &Error{lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}
