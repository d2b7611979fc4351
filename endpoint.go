package lagoonhead

import (
	"context"
	"io"
	"net/http"
	"time"
)

// OrderVerb is what an engine order changes.
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
	// Incarnation is the process that the order is meant for.
	Incarnation Incarnation `json:"incarnation"`
	// Sequence is the fencing number; an engine that checks it refuses a lower one.
	Sequence int64     `json:"sequence"`
	Verb     OrderVerb `json:"verb"`
	// Value is the role, the model with its version, or the adapter.
	Value string `json:"value"`
}

// LoadReport is an engine's own account of its load. It lags.
type LoadReport struct {
	Endpoint    EndpointID  `json:"endpoint"`
	Incarnation Incarnation `json:"incarnation"`
	Role        Role        `json:"role"`
	// Model is what the engine has loaded.
	Model string `json:"model"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// QueuedPrefillTokens is the prompt tokens that wait for prefill.
	QueuedPrefillTokens int `json:"queuedPrefillTokens"`
	// FreeCacheBlocks is the room left in the KV cache.
	FreeCacheBlocks int `json:"freeCacheBlocks"`
	// AppliedSequence is the highest order that the engine has taken.
	AppliedSequence int64 `json:"appliedSequence"`
	// Number grows with each report; it orders reports that crossed.
	Number int64 `json:"number"`
}

// CacheEvent tells that an engine stored or dropped a prefix block.
type CacheEvent struct {
	// Number grows by one; a gap means lost events.
	Number int64 `json:"number"`
	// Block is the chained hash of the prefix up to and with this block.
	Block uint64 `json:"block"`
	// Stored is false when the block was dropped.
	Stored bool `json:"stored"`
}

// EngineCommander sends orders to engines.
type EngineCommander interface {
	// SendOrder sends the order once. KindStale means that the engine refused the
	// fencing number or has another incarnation; KindUnknown means that the answer
	// was lost.
	SendOrder(ctx context.Context, e Endpoint, o EngineOrder) error
}

// EngineQuerier reads the state of engines.
type EngineQuerier interface {
	// Load returns the newest load report.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// CacheEvents returns events with numbers after the given one.
	CacheEvents(ctx context.Context, e Endpoint, after int64) ([]CacheEvent, error)
}

// Completion is one attempt to run a completion on an engine.
type Completion struct {
	Request *Request
	// Body is the caller's JSON body.
	Body []byte
	// Header holds the headers that may go to an endpoint; the key is not in it.
	Header http.Header
	// ResumeOffset is the offset of the last event that the caller has, or -1.
	ResumeOffset int64
}

// EventStream is the open answer of an engine. It must be closed.
type EventStream interface {
	// Next returns the next event. The data is valid until the next call. io.EOF
	// means that the answer is whole.
	Next() (StreamEvent, error)
	io.Closer
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	// Offset counts the events of the answer from 0.
	Offset int64
	// Data is the JSON of the event.
	Data []byte
}

// EngineStreamer runs completions.
type EngineStreamer interface {
	// Stream starts the completion. An error of KindUnavailable means that no byte
	// of the request can have reached the engine, or that the engine said so.
	Stream(ctx context.Context, e Endpoint, c Completion) (EventStream, error)
	// Cancel tells the engine to stop the request.
	Cancel(ctx context.Context, e Endpoint, id RequestID) error
}

// Outcome is the end of one attempt, as seen by the placement of it.
type Outcome struct {
	// Kind is the kind of the failure. Failed is false when the attempt succeeded.
	Kind         Kind
	Failed       bool
	OutputTokens int
}

// Placement is one attempt on a chosen endpoint. FirstToken and Done tell the
// router how it went; Done must be called exactly once.
type Placement interface {
	Endpoint() Endpoint
	FirstToken()
	Done(o Outcome)
}

// Placer chooses endpoints and counts what runs on them.
type Placer interface {
	// Place chooses an endpoint that is not in avoid. It waits for room until ctx
	// ends. KindUnavailable means that no endpoint can serve the request;
	// KindNotFound means that none is known for the model.
	Place(ctx context.Context, r *Request, avoid []EndpointID) (Placement, error)
}

// Reservation holds tokens of a workspace while its request runs.
type Reservation interface {
	// Settle ends the reservation; the tokens not used are given back. It must be
	// called exactly once.
	Settle(used int64)
}

// Admitter holds each workspace to its rate and burst.
type Admitter interface {
	// Admit reserves the charge of r, waiting for tokens within the deadline.
	// KindExhausted means that the workspace is over its rate, KindInvalid that the
	// request is larger than its burst.
	Admit(ctx context.Context, r *Request) (Reservation, error)
}

// RetryAfterer is an error that knows when a retry may succeed.
type RetryAfterer interface {
	RetryAfter() time.Duration
}

// UsageRecorder counts the usage of finished requests.
type UsageRecorder interface {
	// Record counts the usage and waits a short time until a second VM has it.
	Record(ctx context.Context, u WorkspaceUsage)
}

// Decision is one entry of the record that explains what the system did.
type Decision struct {
	// At is the time since boot.
	At time.Duration `json:"at"`
	// Topic groups decisions: request, admission, role, ordering, endpoint, config.
	Topic string `json:"topic"`
	// Subject is the request, workspace or endpoint that was decided on.
	Subject string `json:"subject"`
	// Result is what was decided, in a few words.
	Result string `json:"result"`
	// Reason says why, with the figures that decided it.
	Reason string `json:"reason"`
}

// DecisionRecorder keeps recent decisions.
type DecisionRecorder interface {
	RecordDecision(d Decision)
}

// Clock tells the time since boot, which also runs while the VM is frozen, and
// the wall time. Only package timer implements it over real clocks.
type Clock interface {
	// Now returns the time since boot.
	Now() time.Duration
	// Wall returns the wall time, for windows and for people only.
	Wall() time.Time
}
