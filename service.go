package lagoonhead

import (
	"context"
	"io"
	"net/http"
)

// ServiceCall is one call of a caller to a plain service.
type ServiceCall struct {
	Request *Request
	Method  string
	// Path is the decoded path behind the service name; it begins with a slash.
	Path     string
	RawQuery string
	// Header holds the caller's headers; those that may not go on are left out by
	// the ServiceCaller.
	Header http.Header
	Body   []byte
	// Idempotent calls may be repeated on another endpoint.
	Idempotent bool
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
}

// ServiceAnswer is the answer of a plain service. Its body must be closed.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Endpoint EndpointID
	// Attempts is the number of endpoints that were tried.
	Attempts int
}

// ServiceCaller calls plain services.
type ServiceCaller interface {
	// Call places the call with p and makes it: once when it is not idempotent,
	// otherwise until an endpoint answers or the retry budget is used up.
	// KindUnavailable means that no byte of the request can have reached an
	// endpoint, or that each endpoint that was tried said so.
	Call(ctx context.Context, p Placer, c ServiceCall) (*ServiceAnswer, error)
}

// ClaimRequest identifies one non-idempotent call.
type ClaimRequest struct {
	Workspace WorkspaceID
	// Key is the caller's idempotency key.
	Key string
	// BodyHash covers everything that makes the call what it is: service, method,
	// path, query and body.
	BodyHash [32]byte
}

// RecordedAnswer is the answer of a non-idempotent call as its claim keeps it.
type RecordedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Omitted is true when the body was too large to be kept.
	Omitted bool `json:"omitted,omitempty"`
	// Repeated is true when the answer comes from the claim and not from a call.
	Repeated bool `json:"-"`
}

// ClaimKeeper sees to it that a non-idempotent call with a key runs at most once.
type ClaimKeeper interface {
	// Once claims the key and runs attempt, or returns the recorded answer of the
	// call that claimed it before. An attempt reports by KindUnavailable that it
	// provably did not run. The errors are KindUnavailable: this arrival did not
	// run; KindInvalid: the key was used with another call; KindUnknown: the outcome
	// is not known, because another arrival is running or its outcome was lost.
	Once(ctx context.Context, c ClaimRequest, attempt func(context.Context) (RecordedAnswer, error)) (RecordedAnswer, error)
	// Lookup returns the recorded answer without claiming the key. KindNotFound
	// means that the call has not run; the other errors are those of Once.
	Lookup(ctx context.Context, c ClaimRequest) (RecordedAnswer, error)
}
