package lagoonhead

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Fence is the fencing token that the holder of a duty sends with a command. A receiver
// that supports fencing rejects a lower number than it has seen.
type Fence struct {
	// Holder is the VM that holds the duty.
	Holder VMID
	// Number increases each time the duty is acquired.
	Number int64
}

// Attempt is one attempt to send a caller's request to an endpoint. The request is
// forwarded unchanged, except for the values that the fields below replace.
type Attempt struct {
	Endpoint Endpoint
	// ID is the caller's identifier of the request. The endpoint returns it in the
	// response.
	ID     RequestID
	Method string
	Host   string
	// URL holds the path and the query as the caller sent them.
	URL *url.URL
	// Header holds the caller's headers that may be forwarded to an endpoint. It is
	// shared by all attempts and must not be changed.
	Header http.Header
	Body   []byte
	// Workspace is empty on a route that needs no API key.
	Workspace WorkspaceID
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	// TimeLeft is the time remaining for the endpoint to complete the request.
	TimeLeft time.Duration
	// LastEventID is the identifier of the last event that the caller has received, after
	// which the response resumes, or empty.
	LastEventID string
	// KVSource is the KV cache of the prompt that the endpoint fetches from another
	// engine, or nil.
	KVSource *KVHandle
	// CacheSource is an engine whose cache the endpoint asks for the parts of the prompt that
	// it does not have itself, or nil.
	CacheSource *Endpoint
	// NewConnection makes the sender use a new connection instead of an idle one, so
	// that a failure before the request is written is recognized with certainty.
	NewConnection bool
	// OnConnected, if set, is called right before the request is written, once there is a connection to
	// the endpoint.
	OnConnected func()
	// OnStatus, if set, is called for each response of the endpoint, before the method of
	// Sender returns.
	OnStatus func(s EndpointStatus)
	// OnExtra, if set, is called for each response that was discarded because it was sent once
	// more for an earlier request on the connection, with what it names: that request, or an
	// empty string, and its status.
	OnExtra func(id RequestID, status int)
}

// EndpointStatus is what an endpoint says of itself in a response.
type EndpointStatus struct {
	// Limit is the number of requests a second that the endpoint takes from all VMs together,
	// or 0 if the response names none. It is valid if HasLimit is true: a refusal that names
	// none, and a response whose limit cannot be read, say nothing of the limit.
	Limit    float64
	HasLimit bool
	// Leaving reports that the process of the endpoint is about to exit. It finishes what it
	// has begun and must get no new work.
	Leaving bool
}

// KVHandle identifies the KV cache of a prompt, which an engine keeps until another
// engine has fetched it, it is released or it expires.
type KVHandle struct {
	// Engine is the engine that keeps the cache.
	Engine Endpoint
	// Handle is the identifier that the engine has given the cache.
	Handle string
	// Tokens is the length of the prompt in tokens.
	Tokens int
}

// Answer is the response of an endpoint that has accepted the request. Its body must be
// closed.
type Answer struct {
	Status int
	// Header holds the headers that may be forwarded to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Unframed reports that the body has neither a length nor chunks. Its end is that of its
	// connection, which also ends when the endpoint crashes.
	Unframed bool
}

// Sender makes single attempts without retries. An error of KindUnavailable means that
// the request has not run and will not; KindCrashed means that the endpoint closed the
// connection after it had received the request; KindUnknown means that the request may
// have run.
type Sender interface {
	// Send has the endpoint run the request and returns when it has received the
	// headers of the response.
	Send(ctx context.Context, a *Attempt) (*Answer, error)
	// Prefill has an engine compute and keep the KV cache of the prompt, without
	// decoding.
	Prefill(ctx context.Context, a *Attempt) (KVHandle, error)
	// Release frees a KV cache that no engine will fetch.
	Release(ctx context.Context, h KVHandle) error
}

// ErrNotReached is in the chain of an error of Sender when no connection to the endpoint
// could be opened.
var ErrNotReached = errors.New("the endpoint accepted no connection")
