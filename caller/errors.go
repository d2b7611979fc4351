package caller

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package.
type Error struct {
	lagoonhead.Fault

	// status and code are those of the answer; 0 and "" follow from the kind.
	status int
	code   string
}

func fault(op string, k lagoonhead.Kind, err error) error {
	return &Error{Fault: lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}

// invalid returns an error for input that can never succeed.
func invalid(code, format string, args ...any) error {
	return refusal(http.StatusBadRequest, lagoonhead.KindInvalid, code, format, args...)
}

// refusal returns an error with a status and a code of its own.
func refusal(status int, k lagoonhead.Kind, code, format string, args ...any) error {
	f := lagoonhead.Fault{Op: "caller.request", Kind: k, Err: errors.Newf(format, args...)}
	return &Error{Fault: f, status: status, code: code}
}

// answerClass is how errors of one kind are answered.
type answerClass struct {
	status int
	kind   string
	code   string
	// message is told to the caller in place of the error's own text, which may hold
	// addresses. Empty: the error's text is meant for callers.
	message string
}

var answerClasses = map[lagoonhead.Kind]answerClass{
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
	lagoonhead.KindStale:           {http.StatusServiceUnavailable, typeServer, "unavailable", "this daemon's view is too old to start work"},
	lagoonhead.KindCrashed:         {http.StatusBadGateway, typeServer, "endpoint_crashed", "the endpoint ended while it ran the request"},
}

// The error types of the OpenAI-style error object.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// classOf returns how err is answered, with the message filled in.
func classOf(err error) answerClass {
	c := answerClasses[lagoonhead.KindOf(err)]
	var e *Error
	own := errors.As(err, &e) && e.code != ""
	if own {
		c.status, c.code = e.status, e.code
	}
	if own || c.message == "" {
		c.message = "the request was refused"
		if cause := innermost(err); cause != nil {
			c.message = cause.Error()
		}
	}
	return c
}

// innermost returns the cause below the faults of err, which name operations of
// the program, or nil when there is none.
func innermost(err error) error {
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
