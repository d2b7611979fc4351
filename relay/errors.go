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
	// ErrCallerGone means that the caller's connection takes no more bytes.
	ErrCallerGone = errors.New("the caller's connection is gone")
	// ErrEngineFailed means that the engine ended the answer with an error event.
	ErrEngineFailed = errors.New("the engine ended the answer with an error")
	// ErrToken means that a resume token was altered or has another key.
	ErrToken = errors.New("the resume token is not valid")
	// ErrForeignToken means that a resume token belongs to another workspace.
	ErrForeignToken = errors.New("the stream belongs to another workspace")

	errOffset   = errors.New("the stream does not go on at the next offset")
	errTooLarge = errors.New("the answer is too large to be collected")
)
