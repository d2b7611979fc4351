package lagoonhead

import (
	"context"
	"io"
	"net/http"
	"time"
)

// OrderVerb names the property of an engine that an order changes.
type OrderVerb string

// The verbs of engine orders.
const (
	OrderRole    OrderVerb = "role"
	OrderModel   OrderVerb = "model"
	OrderAdapter OrderVerb = "adapter"
)

// EngineOrder tells an engine to change its role or what it has loaded.
type EngineOrder struct {
	Endpoint EndpointID `json:"endpoint"`
	// Incarnation identifies the engine process that the order is meant for.
	Incarnation Incarnation `json:"incarnation"`
	// Sequence is the fencing token. An engine that supports fencing rejects an order
	// with a lower number than it has seen.
	Sequence int64     `json:"sequence"`
	Verb     OrderVerb `json:"verb"`
	// Value is the new role, the model with its version, or the adapter, depending on
	// Verb.
	Value string `json:"value"`
}

// LoadReport is the load of an engine as reported by the engine itself. It lags behind
// the actual load.
type LoadReport struct {
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation"`
	Role        Role        `json:"role"`
	// Model is the model that the engine has loaded.
	Model string `json:"model"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// QueuedPrefillTokens is the number of prompt tokens that wait for prefill.
	QueuedPrefillTokens int `json:"queuedPrefillTokens"`
	// FreeCacheBlocks is the number of free blocks in the KV cache.
	FreeCacheBlocks int `json:"freeCacheBlocks"`
	// AppliedSequence is the highest sequence number of an order that the engine has
	// applied.
	AppliedSequence int64 `json:"appliedSequence"`
	// Number increases with each report of an engine process; it orders reports that
	// arrive out of order.
	Number int64 `json:"number"`
}

// CacheEvent records that an engine stored a prefix block in its KV cache or evicted
// one.
type CacheEvent struct {
	// Number increases by one with each event; a gap means that events were lost.
	Number int64 `json:"number"`
	// Block is the chained hash of the prefix up to and including this block.
	Block uint64 `json:"block"`
	// Stored is false when the block was evicted.
	Stored bool `json:"stored"`
}

// EngineCommander sends orders to engines.
type EngineCommander interface {
	// SendOrder sends the order once, without retries. KindStale means that the engine
	// rejected the fencing token or has another incarnation; KindUnknown means that
	// the response was lost.
	SendOrder(ctx context.Context, e Endpoint, o EngineOrder) error
}

// EngineQuerier reads the state of engines.
type EngineQuerier interface {
	// Load returns the newest load report.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// CacheEvents returns the events with numbers above after.
	CacheEvents(ctx context.Context, e Endpoint, after int64) ([]CacheEvent, error)
}

// Completion is one attempt to run a completion on an engine.
type Completion struct {
	Request *Request
	// Body is the caller's JSON body.
	Body []byte
	// Header holds the headers that may be forwarded to an endpoint; the caller's API
	// key is not among them.
	Header http.Header
	// ResumeOffset is the offset of the last event that the caller has received, or -1.
	ResumeOffset int64
}

// EventStream is the streamed response of an engine. It must be closed.
type EventStream interface {
	// Next returns the next event. The data is valid until the next call. io.EOF
	// means that the response is complete.
	Next() (StreamEvent, error)
	io.Closer
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	// Offset is the index of the event in the response, from 0.
	Offset int64
	// Data is the JSON of the event.
	Data []byte
}

// EngineStreamer runs completions.
type EngineStreamer interface {
	// Stream starts the completion. An error of KindUnavailable means that no byte
	// of the request can have reached the engine, or that the engine responded that it
	// did not run the request.
	Stream(ctx context.Context, e Endpoint, c Completion) (EventStream, error)
	// Cancel tells the engine to abort the request.
	Cancel(ctx context.Context, e Endpoint, id RequestID) error
}

// Outcome is the result of one attempt, as reported to its placement.
type Outcome struct {
	// Kind is the kind of the error. It has no meaning unless Failed is true.
	Kind         Kind
	Failed       bool
	OutputTokens int
}

// Placement is one attempt on a chosen endpoint. FirstToken and Done report the
// progress of the attempt to the Placer; Done must be called exactly once.
type Placement interface {
	Endpoint() Endpoint
	FirstToken()
	Done(o Outcome)
}

// Placer chooses endpoints for requests and counts the requests that run on them.
type Placer interface {
	// Place chooses an endpoint that is not in avoid. It waits for free capacity until
	// ctx ends. KindUnavailable means that no endpoint can serve the request;
	// KindNotFound means that no endpoint is known for the model or the service.
	Place(ctx context.Context, r *Request, avoid []EndpointID) (Placement, error)
}

// Reservation holds tokens of a workspace while its request runs.
type Reservation interface {
	// Settle ends the reservation and returns the tokens that were not used to the
	// workspace. It must be called exactly once.
	Settle(used int64)
}

// Admitter enforces the rate and burst of each workspace.
type Admitter interface {
	// Admit reserves the charge of r. It waits for tokens until the deadline of r.
	// KindExhausted means that the workspace is over its rate, KindInvalid that the
	// request is larger than its burst.
	Admit(ctx context.Context, r *Request) (Reservation, error)
}

// RetryAfterer is an error that states after what time a retry may succeed.
type RetryAfterer interface {
	RetryAfter() time.Duration
}

// UsageRecorder counts the usage of finished requests.
type UsageRecorder interface {
	// Record counts the usage and waits until it is replicated to a second VM, but only
	// for a short time.
	Record(ctx context.Context, u WorkspaceUsage)
}

// Decision is an entry of the decision log, which explains to operators what the
// system did and why.
type Decision struct {
	// At is the time of the decision, since boot.
	At time.Duration `json:"at"`
	// Topic groups decisions: request, admission, role, ordering, endpoint, config.
	Topic string `json:"topic"`
	// Subject is the request, workspace or endpoint that the decision is about.
	Subject string `json:"subject"`
	// Result is the decision in a few words.
	Result string `json:"result"`
	// Reason is the cause, with the figures that the decision is based on.
	Reason string `json:"reason"`
}

// DecisionRecorder stores recent decisions.
type DecisionRecorder interface {
	RecordDecision(d Decision)
}

// Clock provides the time since boot, which also advances while the VM is frozen, and
// the wall-clock time. Only package timer implements it with the system's clocks.
type Clock interface {
	// Now returns the time since boot.
	Now() time.Duration
	// Wall returns the wall-clock time. It may be used for usage windows and for
	// display only.
	Wall() time.Time
}
