package lagoonhead

import (
	"context"
	"time"
)

// EngineState is the state of one endpoint as known to one daemon, for routing. The
// figures that come from the endpoint's load report lag behind the actual load.
type EngineState struct {
	Endpoint Endpoint
	// Report is the newest load report. Its Number is 0 when none was received.
	Report LoadReport
	// ReportAt is the estimated time, since boot, of the state that Report describes.
	ReportAt time.Duration
	// SentTokens is the number of uncached prompt tokens of the requests that this
	// daemon sent too recently to be in Report and that have no first token yet.
	SentTokens int
	// SentRequests is the number of requests that this daemon sent too recently to be
	// in Report.
	SentRequests int
	// InFlight is the number of this daemon's requests that run on the endpoint.
	InFlight int
	// Suspects is the number of this daemon's requests in flight that have crashed
	// another endpoint.
	Suspects int
	// PrefillRate is the prefill rate of the engine in prompt tokens per second.
	PrefillRate float64
	// Slowdown is the ratio of observed to predicted time to first token, at least 1.
	Slowdown float64
	// SlowdownAt is the time since boot of the newest observation.
	SlowdownAt time.Duration
	// Failures counts the consecutive failures that are attributed to the endpoint.
	Failures int
	// RetryAt is the time since boot until which a failing endpoint gets no requests.
	RetryAt time.Duration
	// Probing is true while the single request that probes a failing endpoint runs.
	Probing bool
}

// PrefixReader estimates which engines have a prefix of a prompt in their KV cache.
// Engines are identified by their index in the slice of states. A wrong estimate costs
// time only.
type PrefixReader interface {
	// EnginesWithPrefix writes the engines that have the longest known prefixes of the
	// chained block hashes into dst, at most len(dst), and returns their number.
	EnginesWithPrefix(blocks []uint64, dst []int) int
	// CachedBlocks returns the number of leading blocks that the engine has.
	CachedBlocks(engine int, blocks []uint64) int
}

// TokenRater is implemented by a Directory that knows the token rates of engines.
type TokenRater interface {
	// TokenRates returns the prefill and the decode rate of an engine in tokens per
	// second; 0 means that the rate is not known.
	TokenRates(e EndpointID) (prefill, decode float64)
}

// RouteRequest is the input of a routing policy: an attempt that needs an endpoint.
type RouteRequest struct {
	Request *Request
	// Avoid lists endpoints that must not be chosen.
	Avoid []EndpointID
	// Suspect is true when the request has crashed an endpoint. It must not share an
	// endpoint with another suspect.
	Suspect bool
	// CostCeiling is the highest price of an endpoint in units per hour; 0 means no
	// ceiling.
	CostCeiling float64
	// Prefix is nil when the contents of the KV caches are not known.
	Prefix PrefixReader
}

// Choice is the result of a routing policy.
type Choice struct {
	// Engine is the index of the endpoint in the slice of states, or -1 when none was
	// chosen.
	Engine int
	// Decode is the index of the engine that decodes after the prefill on Engine. It
	// equals Engine unless the policy may split prefill and decode.
	Decode int
	// Cached is the number of leading blocks expected in the engine's KV cache.
	Cached int
	// Uncached is the number of prompt tokens to prefill.
	Uncached int
	// BaseTTFT is the predicted time to first token without the engine's slowdown.
	BaseTTFT time.Duration
	// PredictedTTFT is the predicted time to first token with the engine's slowdown.
	PredictedTTFT time.Duration
	// Usable is false when waiting for capacity cannot help: each endpoint is avoided,
	// leaving or above the cost ceiling.
	Usable bool
}

// RoutePolicy chooses endpoints. Implementations have no state but their own counters
// and random number generators, and are not safe for concurrent use.
type RoutePolicy interface {
	// Name returns the name by which the policy is selected.
	Name() string
	// Pick chooses among engines. It neither retains nor changes the slice.
	Pick(now time.Duration, r *RouteRequest, engines []EngineState) Choice
	// Reason returns one line that explains the choice of Pick. It allocates memory and
	// is meant for the decision log only.
	Reason(now time.Duration, r *RouteRequest, engines []EngineState, c Choice) string
}

// VersionPin restricts the endpoints of a request to one software version of their service.
// The zero value allows every version.
type VersionPin struct {
	software string
	set      bool
}

// PinVersion returns a pin that allows only the given software version. Endpoints that name no
// version count as endpoints of one version, the empty one.
func PinVersion(software string) VersionPin { return VersionPin{software: software, set: true} }

// Allows reports whether the request may be sent to e.
func (p VersionPin) Allows(e Endpoint) bool { return !p.set || e.Software() == p.software }

// Version returns the software version; ok is false if every version is allowed.
func (p VersionPin) Version() (software string, ok bool) { return p.software, p.set }

// String returns the version for logs.
func (p VersionPin) String() string {
	switch {
	case !p.set:
		return "any version"
	case p.software == "":
		return "the empty version"
	}
	return "version " + p.software
}

// SourceOnlyVersion is the source of a version that StreamVersions does not know of the stream, but that
// has been the only one of its service.
const SourceOnlyVersion = "only version"

// StreamVersions remembers at which software version of a service each stream began. A stream
// may go on only at that version, also when the caller takes it up with a later request.
type StreamVersions interface {
	// Begin records that the stream of the request begins at the software version. It is called
	// before the caller gets the first event, and returns once enough other VMs know it or after
	// a short bound.
	Begin(ctx context.Context, service string, id RequestID, software string)
	// Find returns the version at which the stream of the request began and, for logs, where that
	// was learnt. ok is false if it is not known.
	Find(ctx context.Context, service string, id RequestID) (software, source string, ok bool)
}
