package lagoonhead

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Fence is the authority under which a duty sends a command. A receiver that checks
// it refuses a lower number than it has seen.
type Fence struct {
	Holder VMID
	Number int64
}

// Attempt is one send of a caller's request to an endpoint. The request goes on as it
// came; only what is named here is set anew.
type Attempt struct {
	Endpoint Endpoint
	// ID is the caller's identifier of the request. The endpoint repeats it.
	ID     RequestID
	Method string
	Host   string
	// URL has the path and the query as the caller sent them.
	URL *url.URL
	// Header holds the caller's headers that may go to an endpoint. It is shared by
	// all attempts and must not be changed.
	Header http.Header
	Body   []byte
	// Workspace is empty on a route that is open to all.
	Workspace WorkspaceID
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// TimeLeft is how long the endpoint may work on the request.
	TimeLeft time.Duration
	// After is the identifier of the last event that the caller has, or empty.
	After string
	// Source is where the endpoint fetches the KV cache of the prompt, or nil.
	Source *KVHandle
	// OwnConnection sends the request on a new connection, so that a failure before
	// the request is written is known to be one.
	OwnConnection bool
}

// KVHandle names the KV cache of a prompt that an engine keeps until it is taken,
// released or expired.
type KVHandle struct {
	Engine Endpoint
	Handle string
	// Tokens is the length of the prompt.
	Tokens int
}

// Answer is the answer of an endpoint that has taken the request. Its body must be
// closed.
type Answer struct {
	Status int
	// Header holds what may go to the caller.
	Header http.Header
	Body   io.ReadCloser
}

// Sender makes single attempts. It never repeats one. An error of KindUnavailable
// means that the request has not run and will not; KindCrashed that the endpoint
// ended the connection while it had the request; KindUnknown that it may have run.
type Sender interface {
	// Send has the endpoint run the request and returns when the headers of its
	// answer are in.
	Send(ctx context.Context, a *Attempt) (*Answer, error)
	// Prefill has an engine read the prompt without running the request.
	Prefill(ctx context.Context, a *Attempt) (KVHandle, error)
	// Release frees a KV cache that nobody will take.
	Release(ctx context.Context, h KVHandle) error
}

// ErrNotReached is in the chain of an error of Sender when the endpoint took no
// connection.
var ErrNotReached = errors.New("the endpoint took no connection")
