package lagoonhead

import "time"

// Route holds the access and retry rules of one service route.
type Route struct {
	// NoAPIKey is true when calls need no API key.
	NoAPIKey bool
	// Idempotent is true when calls may be retried.
	Idempotent bool
	// IdempotencyKeyRequired is true when non-idempotent calls without an idempotency key are
	// rejected.
	IdempotencyKeyRequired bool
}

// WorkRule holds the scheduling rules for requests of a workspace to a model or a
// service.
type WorkRule struct {
	// Name is the name of the rule in the inventory, or "default".
	Name string
	// Priority is the priority class of requests that state none.
	Priority Priority
	// Deadline is the maximum time to first token of requests that state none; 0
	// means no deadline.
	Deadline time.Duration
	// CostCeiling is the highest price, in units per hour, of an endpoint that the
	// requests may run on; 0 means no ceiling.
	CostCeiling float64
}

// Quota is the token bucket of a workspace, shared by all daemons of the fleet. For a
// workspace whose requests are limited by number, a request counts as one token.
type Quota struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst int64
}

// Directory is one immutable revision of the configuration, as the data path
// reads it. It is safe for concurrent use.
type Directory interface {
	// Revision returns the configuration revision.
	Revision() int64
	// Authenticate returns the workspace of an API key, or an error of
	// KindUnauthenticated when the key is unknown.
	Authenticate(key string) (WorkspaceID, error)
	// Models returns the names of the models in ascending order.
	Models() []string
	// Endpoints returns the endpoints of a kind that serve a model or a service,
	// ordered by identifier. It includes the endpoints that are leaving, which get no
	// new work. The caller must not change the slice.
	Endpoints(k EndpointKind, serves string) []Endpoint
	// ServiceRoute returns the route of a service call. ok is false when the service
	// has no such route.
	ServiceRoute(service, method, path string) (r Route, ok bool)
	// Rule returns the rule for requests of a workspace to a model or a service.
	Rule(w WorkspaceID, serves string) WorkRule
	// Quota returns the rate and burst of a workspace. ok is false when the
	// workspace is unknown.
	Quota(w WorkspaceID) (q Quota, ok bool)
}

// DirectorySource provides the configuration in force.
type DirectorySource interface {
	// Directory returns the newest revision in force, or nil when none is in force
	// yet.
	Directory() Directory
}

// Gate decides whether the daemon may start new requests.
type Gate interface {
	// Fresh returns nil when the daemon's configuration is recent enough to start
	// new requests, and an error of KindUnavailable with the reason otherwise.
	Fresh() error
}

// SuspectTracker tracks the requests that crashed endpoints. A request that crashed one
// is a suspect and is isolated from other suspects; after two crashes it is rejected.
type SuspectTracker interface {
	// Check returns an error of KindForbidden when the request has crashed two
	// endpoints. suspect is true when it has crashed one and must not share an
	// endpoint with another suspect.
	Check(fingerprint uint64) (suspect bool, err error)
	// Avoid returns the endpoints that crashed while they ran the request. The next
	// attempt must use another endpoint: a faulty endpoint crashes with any request, so
	// a second crash of the same one is no evidence against this request.
	Avoid(fingerprint uint64) []EndpointID
	// Crashed records that the endpoint crashed while it ran the request. Requests are
	// identified by their fingerprint, a hash of the body.
	Crashed(fingerprint uint64, e EndpointID)
	// Finished records that the request ended without a crash of its endpoint.
	Finished(fingerprint uint64)
}

// DepartureTracker tracks the processes of endpoints that are about to exit.
type DepartureTracker interface {
	// RecordLeaving records that the process of e has said that it leaves, so that it gets no
	// new work. It reports whether this was not known.
	RecordLeaving(e Endpoint) bool
}

// PartTracker tracks the prompt parts that crash the engines which answer requests with them.
// Parts are the identifiers of those parts of a prompt that other prompts may share.
type PartTracker interface {
	// Check returns an error of KindForbidden, which is a RetryAfterer, when the prompt of a
	// request has a part that crashes engines.
	Check(id RequestID, parts []string) error
	// Crashed records that the engine crashed while it ran a request with the parts.
	Crashed(parts []string, e Endpoint)
	// Finished records that a request with the parts got a whole answer.
	Finished(parts []string)
}
