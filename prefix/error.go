package prefix

import "github.com/lagoonhead/lagoonhead"

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }
