package prefix

import "github.com/lagoonhead/lagoonhead"

// Error is the error of this package.
type Error struct{ lagoonhead.Fault }
