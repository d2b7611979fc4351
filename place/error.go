package place

import "github.com/lagoonhead/lagoonhead"

// Error is the error type of this package.
type Error struct{ lagoonhead.Fault }

func fault(k lagoonhead.Kind, cause error) error {
	return &Error{lagoonhead.Fault{Op: "place.place", Kind: k, Err: cause}}
}
