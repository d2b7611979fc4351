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
	// Path is the decoded path after the service name; it begins with a slash.
	Path     string
	RawQuery string
	// Header holds the caller's headers; the ServiceCaller drops those that must not be
	// forwarded.
	Header http.Header
	Body   []byte
	// Idempotent is true when the call may be retried on another endpoint.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
}

// ServiceAnswer is the response of a plain service. Its body must be closed.
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
	// Call chooses an endpoint with p and makes the call: once when it is not
	// idempotent, otherwise until an endpoint responds or the retry budget is used up.
	// KindUnavailable means that no byte of the request can have reached an endpoint,
	// or that each endpoint that was tried responded that it did not run the call.
	Call(ctx context.Context, p Placer, c ServiceCall) (*ServiceAnswer, error)
}

// ClaimRequest identifies a non-idempotent call by its idempotency key.
type ClaimRequest struct {
	Workspace WorkspaceID
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is the hash of the call: service, method, path, query and body.
	BodyHash [32]byte
}

// RecordedAnswer is the response of a non-idempotent call as stored with the claim of
// its idempotency key.
type RecordedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Omitted is true when the body was too large to be stored.
	Omitted bool `json:"omitted,omitempty"`
	// Replayed is true when the response comes from the stored claim and not from a
	// call.
	Replayed bool `json:"-"`
}

// ClaimKeeper ensures that a non-idempotent call with an idempotency key runs at most
// once.
type ClaimKeeper interface {
	// Once claims the key and runs attempt, or returns the recorded response of the
	// call that claimed the key before. An attempt returns an error of KindUnavailable
	// when it provably did not run. The errors of Once are KindUnavailable: this
	// request did not run; KindInvalid: the key was used with another call;
	// KindUnknown: the outcome is not known, because another request with the key is
	// running or its outcome was lost.
	Once(ctx context.Context, c ClaimRequest, attempt func(context.Context) (RecordedAnswer, error)) (RecordedAnswer, error)
	// Lookup returns the recorded response without claiming the key. KindNotFound
	// means that the call has not run; the other errors are those of Once.
	Lookup(ctx context.Context, c ClaimRequest) (RecordedAnswer, error)
}
