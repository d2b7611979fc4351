package suspect

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

// ErrRefused means that the request has crashed at least two endpoints.
var ErrRefused = errors.New("the request has crashed more than one endpoint and is refused for a time")

func refusal() error {
	return &Error{lagoonhead.Fault{Op: "suspect.check", Kind: lagoonhead.KindForbidden, Err: ErrRefused}}
}
