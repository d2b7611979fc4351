package lagoonhead

import "time"

// Route says how calls of one service route may be treated.
type Route struct {
	// Open routes work without a key.
	Open bool
	// Idempotent calls may be repeated.
	Idempotent bool
	// KeyRequired refuses non-idempotent calls without an idempotency key.
	KeyRequired bool
}

// WorkRule says how the work of a workspace on a model or a service is treated.
type WorkRule struct {
	// Name is the name of the rule in the inventory, or "default".
	Name string
	// Priority is the class when the caller names none.
	Priority Priority
	// Deadline is the time to the first token when the caller names none; 0 means
	// none.
	Deadline time.Duration
	// CostCeiling is the highest price of an endpoint, in units per hour, that the
	// work may run on; 0 means no ceiling.
	CostCeiling float64
}

// Quota is the rate and burst of a workspace over the whole fleet.
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
	// Authenticate returns the workspace of a key, or KindUnauthenticated.
	Authenticate(key string) (WorkspaceID, error)
	// Models returns the names of the models, ordered.
	Models() []string
	// Endpoints returns the endpoints of a kind that serve a model or a service,
	// those that are leaving included, ordered by identifier. The caller must not
	// change the slice.
	Endpoints(k EndpointKind, serves string) []Endpoint
	// ServiceRoute returns the route of a service call. ok is false when the service
	// has no such route.
	ServiceRoute(service, method, path string) (r Route, ok bool)
	// Rule returns the rule for the work of a workspace on a model or a service.
	Rule(w WorkspaceID, serves string) WorkRule
	// Quota returns the rate and burst of a workspace. ok is false when the
	// workspace is unknown.
	Quota(w WorkspaceID) (q Quota, ok bool)
}

// DirectorySource gives the configuration in force.
type DirectorySource interface {
	// Directory returns the newest revision in force, or nil before the first one.
	Directory() Directory
}

// Gate tells whether the daemon may start new work.
type Gate interface {
	// Fresh returns nil when the daemon's view is new enough to start work, and an
	// error of KindUnavailable with the reason otherwise.
	Fresh() error
}

// SuspectWatch keeps requests that crash endpoints apart.
type SuspectWatch interface {
	// Check returns an error of KindForbidden when the request has crashed two
	// endpoints. suspect is true when it has crashed one and must run apart from
	// other suspects.
	Check(fingerprint uint64) (suspect bool, err error)
	// Avoid returns the endpoints that crashed while they ran the request. The next
	// run must go elsewhere, since a second crash of the same endpoint tells nothing
	// about the request.
	Avoid(fingerprint uint64) []EndpointID
	// Crashed tells that the endpoint crashed while it ran the request.
	Crashed(fingerprint uint64, e EndpointID)
	// Finished tells that the request ended without a crash of its endpoint.
	Finished(fingerprint uint64)
}
