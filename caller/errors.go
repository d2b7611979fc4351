package caller

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct {
	lagoonhead.Fault

	// status and code are the HTTP status and the error code of the response. When
	// code is "", both follow from the kind.
	status int
	code   string
}

// fault returns an error whose response follows from its kind.
func fault(op string, k lagoonhead.Kind, err error) error {
	return &Error{Fault: lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}

// invalid returns an error for input that can never succeed.
func invalid(code, format string, args ...any) error {
	return refusal(http.StatusBadRequest, lagoonhead.KindInvalid, code, format, args...)
}

// refusal returns an error whose response has the given status and code instead of
// those of its kind.
func refusal(status int, k lagoonhead.Kind, code, format string, args ...any) error {
	f := lagoonhead.Fault{Op: "caller.request", Kind: k, Err: errors.Newf(format, args...)}
	return &Error{Fault: f, status: status, code: code}
}

// errorResponse is the response to errors of one kind.
type errorResponse struct {
	status    int
	errorType string
	code      string
	// message replaces the text of the error, which may contain internal addresses.
	// When it is empty, the text of the error is sent to the caller.
	message string
}

var errorResponses = map[lagoonhead.Kind]errorResponse{
	lagoonhead.KindInternal:        {http.StatusInternalServerError, typeServer, "internal_error", "internal error"},
	lagoonhead.KindInvalid:         {http.StatusBadRequest, typeInvalid, "invalid_request", ""},
	lagoonhead.KindNotFound:        {http.StatusNotFound, typeInvalid, "not_found", ""},
	lagoonhead.KindConflict:        {http.StatusConflict, typeInvalid, "conflict", "the request conflicts with another one"},
	lagoonhead.KindUnauthenticated: {http.StatusUnauthorized, typeAuthentication, "invalid_api_key", "the key is missing, malformed, unknown or withdrawn"},
	lagoonhead.KindForbidden:       {http.StatusForbidden, typePermission, "forbidden", ""},
	lagoonhead.KindUnavailable:     {http.StatusServiceUnavailable, typeServer, "unavailable", "no endpoint can run the request now"},
	lagoonhead.KindTimeout:         {http.StatusGatewayTimeout, typeServer, "deadline_exceeded", "the deadline of the request has passed"},
	lagoonhead.KindUnknown:         {http.StatusBadGateway, typeServer, "outcome_unknown", "the endpoint's answer was lost"},
	lagoonhead.KindExhausted:       {http.StatusTooManyRequests, typeRateLimit, "rate_limit_exceeded", ""},
	lagoonhead.KindStale:           {http.StatusServiceUnavailable, typeServer, "unavailable", "the configuration of this daemon is too old to start requests"},
	lagoonhead.KindCrashed:         {http.StatusBadGateway, typeServer, "endpoint_crashed", "the endpoint crashed while it ran the request"},
}

// The error types of the OpenAI-style error object.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// errorResponseFor returns the response to err, with the message filled in.
func errorResponseFor(err error) errorResponse {
	r := errorResponses[lagoonhead.KindOf(err)]
	var e *Error
	hasCode := errors.As(err, &e) && e.code != ""
	if hasCode {
		r.status, r.code = e.status, e.code
	}
	if hasCode || r.message == "" {
		r.message = "the request was refused"
		if cause := innermostCause(err); cause != nil {
			r.message = cause.Error()
		}
	}
	return r
}

// innermostCause returns the error below all those in the chain of err that have a
// lagoonhead.Kind, or nil when there is none. The texts of errors with a kind name
// internal operations, which callers shall not see.
func innermostCause(err error) error {
	for {
		var f interface {
			error
			ErrorKind() lagoonhead.Kind
		}
		if !errors.As(err, &f) {
			return err
		}
		if err = errors.Unwrap(f); err == nil {
			return nil
		}
	}
}
