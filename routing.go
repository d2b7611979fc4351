package lagoonhead

import "time"

// EngineState is what one daemon knows of one endpoint when it routes. The
// figures that come from the endpoint's report lag.
type EngineState struct {
	Endpoint Endpoint
	// Report is the newest load report. Its Number is 0 when there was none.
	Report LoadReport
	// ReportAt is the estimated time, since boot, of the state that it describes.
	ReportAt time.Duration
	// SentTokens is the uncached prompt tokens of this daemon's own dispatches that
	// the report cannot contain and that have no first token yet.
	SentTokens int
	// SentRequests is the number of own dispatches that the report cannot contain.
	SentRequests int
	// InFlight is the number of own requests that run on the endpoint.
	InFlight int
	// Suspects is the number of own requests in flight that have crashed another
	// endpoint.
	Suspects int
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// Slowdown is observed over predicted time to first token, 1 or more.
	Slowdown float64
	// SlowdownAt is the time since boot of the newest observation.
	SlowdownAt time.Duration
	// Failures counts consecutive failures that tell against the endpoint.
	Failures int
	// RetryAt is the time since boot before which a failing endpoint gets no work.
	RetryAt time.Duration
	// Probing is true while the one request that tests a failing endpoint runs.
	Probing bool
}

// PrefixReader tells which engines hold the beginning of a prompt. Engines are
// numbered by their place in the slice of states. A wrong answer costs time only.
type PrefixReader interface {
	// Holders writes engines that hold the longest known prefixes of the chained
	// block hashes into dst, at most len(dst), and returns how many.
	Holders(blocks []uint64, dst []int) int
	// Depth returns how many leading blocks the engine holds.
	Depth(engine int, blocks []uint64) int
}

// TokenRater is a Directory that also knows the speed of engines.
type TokenRater interface {
	// TokenRates returns what an engine prefills and decodes in tokens per second; 0
	// means that it is not known.
	TokenRates(e EndpointID) (prefill, decode float64)
}

// RouteRequest is an attempt that needs an endpoint.
type RouteRequest struct {
	Request *Request
	// Avoid lists endpoints that must not be chosen.
	Avoid []EndpointID
	// Suspect requests never share an endpoint with another one.
	Suspect bool
	// CostCeiling is the highest price in units per hour; 0 means no ceiling.
	CostCeiling float64
	// Prefix is nil when nothing is known of caches.
	Prefix PrefixReader
}

// Choice is the result of a routing policy.
type Choice struct {
	// Engine is the place of the endpoint in the slice of states, or -1.
	Engine int
	// Decode is the place of the engine that takes over after the prefill. It equals
	// Engine unless the policy may split requests.
	Decode int
	// Cached is the number of leading blocks expected in the engine's cache.
	Cached int
	// Uncached is the number of prompt tokens to prefill.
	Uncached int
	// Base is the predicted time to first token of a healthy engine.
	Base time.Duration
	// Predicted is Base with the engine's slowdown.
	Predicted time.Duration
	// Usable is false when waiting cannot help: each endpoint is avoided, leaving or
	// too expensive.
	Usable bool
}

// RoutePolicy chooses endpoints. Implementations are pure but for their own
// counters and random numbers, and are not safe for concurrent use.
type RoutePolicy interface {
	// Name returns the name that selects the policy.
	Name() string
	// Pick chooses among engines and neither keeps nor changes them.
	Pick(now time.Duration, r *RouteRequest, engines []EngineState) Choice
	// Reason tells in one line why Pick made the choice. It allocates and is meant
	// for the record of decisions only.
	Reason(now time.Duration, r *RouteRequest, engines []EngineState, c Choice) string
}
