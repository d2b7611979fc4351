package engine

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}

// The causes of errors of a stream whose connection held.
var (
	// ErrWrongRequest means that an event belongs to another request.
	ErrWrongRequest = errors.New("the event belongs to another request")
	// ErrOffset means that an event was repeated or skipped.
	ErrOffset = errors.New("the offset does not follow the last one")
	// ErrOversized means that an event is larger than the bound.
	ErrOversized = errors.New("the event is too large")
	// ErrMalformed means that the bytes are not an event of the engine protocol.
	ErrMalformed = errors.New("the event is malformed")
	// ErrIncomplete means that the answer ended before its end mark.
	ErrIncomplete = errors.New("the answer ended before its end mark")
	// ErrIdle means that no byte came for the idle limit.
	ErrIdle = errors.New("no byte within the idle limit")
)

var (
	errClosed   = errors.New("the stream is closed")
	errDeadline = errors.New("no answer within the time limit")
)

// kindOfFailure classifies the failure of an exchange over one connection.
// written tells whether a byte of the request can have reached the engine.
func kindOfFailure(ctx context.Context, err error, written bool) lagoonhead.Kind {
	if !written {
		return lagoonhead.KindUnavailable
	}
	var timeout net.Error
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrIdle), errors.Is(cause, errDeadline),
		errors.Is(cause, context.DeadlineExceeded):
		return lagoonhead.KindTimeout
	case cause != nil:
		return lagoonhead.KindUnknown
	case errors.As(err, &timeout) && timeout.Timeout():
		// TCP_USER_TIMEOUT ends a connection whose peer acknowledges nothing.
		return lagoonhead.KindTimeout
	case strings.Contains(err.Error(), "malformed"):
		// net/http has no exported type for an answer that is not HTTP.
		return lagoonhead.KindUnknown
	}
	return lagoonhead.KindCrashed
}

// kindOfStatus classifies an answer other than success.
func kindOfStatus(status int, h http.Header) lagoonhead.Kind {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return lagoonhead.KindInvalid
	case http.StatusNotFound:
		return lagoonhead.KindNotFound
	case http.StatusConflict:
		return lagoonhead.KindConflict
	}
	if h.Get(HeaderRun) == runNo {
		return lagoonhead.KindUnavailable
	}
	if status == http.StatusTooManyRequests {
		return lagoonhead.KindExhausted
	}
	return lagoonhead.KindUnknown
}
