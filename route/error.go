package route

import "github.com/lagoonhead/lagoonhead"

// Error is the error type of this package.
type Error struct{ lagoonhead.Fault }
