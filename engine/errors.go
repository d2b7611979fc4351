package engine

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httppool"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}

// The causes of stream errors other than a failed connection.
var (
	// ErrWrongRequest means that an event belongs to another request.
	ErrWrongRequest = errors.New("the event belongs to another request")
	// ErrOutOfSequence means that the engine repeated or skipped an event.
	ErrOutOfSequence = errors.New("the event offset is out of sequence")
	// ErrOversized means that an event is larger than Streamer.MaxEventBytes.
	ErrOversized = errors.New("the event is too large")
	// ErrMalformed means that the response or an event does not follow the engine
	// protocol.
	ErrMalformed = errors.New("the event is malformed")
	// ErrIncomplete means that the response ended before its [DONE] event.
	ErrIncomplete = errors.New("the response ended before its [DONE] event")
	// ErrIdle means that no byte was received within Streamer.ReadIdleTimeout.
	ErrIdle = errors.New("no byte was received within the idle limit")
)

var (
	errClosed   = errors.New("the stream is closed")
	errDeadline = errors.New("no answer within the time limit")
)

// kindOfFailure classifies a transport error of one request. written reports whether
// a byte of the request can have reached the engine.
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
		// TCP_USER_TIMEOUT closes a connection whose peer does not acknowledge data.
		return lagoonhead.KindTimeout
	case !httppool.IsEnd(err):
		return lagoonhead.KindUnknown
	}
	return lagoonhead.KindCrashed
}

// kindOfStatus classifies an unsuccessful response.
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
