package claim

import "github.com/lagoonhead/lagoonhead"

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fault(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}
