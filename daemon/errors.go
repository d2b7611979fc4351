package daemon

import "github.com/lagoonhead/lagoonhead"

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "daemon." + op, Kind: k, Err: err}}
}
