package config

import (
	"fmt"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "config." + op, Kind: k, Err: err}}
}

// Conflict is the cause of an error of KindConflict: the base of the edit is not the
// newest revision.
type Conflict struct {
	// Base is the revision that the edit was made on.
	Base int64
	// Current is the newest revision.
	Current int64
}

// Error returns a message with both revisions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the edit was made on revision %d, but the configuration has revision %d", c.Base, c.Current)
}
