package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}

var (
	// ErrCallerGone means that a write to the caller's connection failed.
	ErrCallerGone = errors.New("the caller's connection is gone")
	// ErrEngineFailed means that the engine ended the stream with an error event.
	ErrEngineFailed = errors.New("the engine ended the stream with an error event")
	// ErrInvalidToken means that a resume token is malformed, was altered or was sealed
	// with an unknown key.
	ErrInvalidToken = errors.New("the resume token is not valid")
	// ErrForeignToken means that a resume token belongs to another workspace.
	ErrForeignToken = errors.New("the stream belongs to another workspace")

	errOffset   = errors.New("the event offset is out of sequence")
	errTooLarge = errors.New("the response is too large to be collected")
)
