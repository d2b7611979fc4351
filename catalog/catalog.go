package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// RetryPolicy states whether a request may be retried when its outcome is not known.
type RetryPolicy uint8

// The values of RetryPolicy.
const (
	// RetryNever is for requests that must run at most once.
	RetryNever RetryPolicy = iota
	// RetrySafe is for idempotent requests, which may run any number of times.
	RetrySafe
)

// Share is a service that gets a part of the traffic of a route.
type Share struct {
	Service string
	// Weight is positive and relative to the weights of the route's other shares.
	Weight float64
}

// Route defines how requests for a host under a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix      string
	RetryPolicy RetryPolicy
	// Streaming is true if answers are streams of events.
	Streaming bool
	// Resumable is true if another endpoint can continue a stream after its last event.
	Resumable bool
	// Timeout bounds the time from the arrival of a request to its answer. 0 means that
	// the route sets no timeout.
	Timeout time.Duration
	// Objective is the latency objective for the answer, or for the first event of a
	// stream. 0 means none.
	Objective time.Duration
	// PauseObjective is the objective for the longest pause between two events of a
	// stream. 0 means none.
	PauseObjective time.Duration
	// AssumedCallerTimeout is the time without an event after which callers give up on a
	// stream. 0 means that they do not give up.
	AssumedCallerTimeout time.Duration
	// Urgency is the priority of the requests: 0 is the highest, and greater numbers are
	// lower priorities.
	Urgency int
	Shares  []Share
	// MaxAttempts is the maximum number of attempts to run one request. It is at least 1.
	MaxAttempts int
	// NoAPIKey is true if requests need no API key.
	NoAPIKey bool
	// Regions are those in which requests may be prefilled and run.
	Regions lagoonhead.RegionSet
}

// Scaling holds the bounds and prices for ordering engines of a service.
type Scaling struct {
	// Min and Max bound the number of engines in one failure domain, firm and
	// reclaimable ones together.
	Min, Max int
	// BootTime is how long a new engine takes to start.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable engine as a fraction of the price
	// of a firm one. 0 means that no reclaimable engine can be ordered.
	ReclaimablePrice float64
	// DomainPrices are the prices of a firm engine by failure domain.
	DomainPrices map[lagoonhead.FailureDomain]float64
}

// EngineTraits holds the properties that all engines of a service have in common.
type EngineTraits struct {
	// Slots is the maximum number of requests in the engine's batch.
	Slots int
	// CacheTokens is the capacity of the KV cache in tokens.
	CacheTokens int
	// TokenBytes is the size of one token of the KV cache in bytes; 0 means that it is not known.
	TokenBytes float64
	// LinkBytesPerMs is the bandwidth of an engine's link for KV caches, in bytes per
	// millisecond; 0 means that it is not known.
	LinkBytesPerMs float64
	// RoleChangeTime is how long an engine is out of service during a role change.
	RoleChangeTime time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is nil for a plain service, which has no model engines.
	Engine *EngineTraits
	// Scaling is nil when engines cannot be ordered.
	Scaling *Scaling
	// ColdStart is how long an endpoint is cold after it has started. Endpoints are never cold if it
	// or ColdPerSecond is 0.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold endpoint takes from all VMs
	// together.
	ColdPerSecond float64
}

// Workspace is a caller's account with its API keys and its quota.
type Workspace struct {
	ID   lagoonhead.WorkspaceID
	Keys []string
	// Urgency replaces the urgency of the route when HasUrgency is true.
	Urgency    int
	HasUrgency bool
	// Quota is the rate limit of the workspace. A rate of 0 means no limit.
	Quota lagoonhead.Quota
	// CountsTokens is true if the quota counts tokens and false if it counts requests.
	CountsTokens bool
	// DefaultTokens is the number of tokens that a request without declared tokens counts
	// as.
	DefaultTokens int
	// Regions are those in which the workspace's requests may be prefilled and run.
	Regions lagoonhead.RegionSet
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time in which the headers must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Spec is the content of a Catalog.
type Spec struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one version of the configuration, indexed for the data path. It is
// safe for concurrent use.
type Catalog struct {
	spec Spec
	// routesByHost has the routes of each host in the order of their prefixes, the longest
	// first.
	routesByHost    map[string][]*Route
	services        map[string]*Service
	workspacesByKey map[string]*Workspace
	workspaces      map[lagoonhead.WorkspaceID]*Workspace
	// longestTimeout is explained at LongestTimeout.
	longestTimeout time.Duration
	noTimeout      bool
	limitsRates    bool
}

// New returns a Catalog with the content of s. The caller must not modify s afterwards.
func New(s Spec) *Catalog {
	c := &Catalog{
		spec:            s,
		routesByHost:    make(map[string][]*Route),
		services:        make(map[string]*Service, len(s.Services)),
		workspacesByKey: make(map[string]*Workspace),
		workspaces:      make(map[lagoonhead.WorkspaceID]*Workspace, len(s.Workspaces)),
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
		c.longestTimeout, c.noTimeout = max(c.longestTimeout, r.Timeout), c.noTimeout || r.Timeout == 0
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		c.workspaces[w.ID] = w
		c.limitsRates = c.limitsRates || w.Quota.Rate > 0
		for _, k := range w.Keys {
			c.workspacesByKey[k] = w
		}
	}
	return c
}

// Version returns the version of the configuration, which grows with each change by
// operators.
func (c *Catalog) Version() int64 { return c.spec.Version }

// Limits returns the limits on requests and connections of callers.
func (c *Catalog) Limits() Limits { return c.spec.Limits }

// Services returns all services. The caller must not modify them.
func (c *Catalog) Services() []Service { return c.spec.Services }

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// LongestTimeout returns the longest timeout of all routes. ok is false if a route sets none.
func (c *Catalog) LongestTimeout() (d time.Duration, ok bool) { return c.longestTimeout, !c.noTimeout }

// Route returns the route of the host whose prefix is the longest one that path begins
// with, or nil if there is none. A port in host is ignored.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with the given name, or nil.
func (c *Catalog) RouteByName(name string) *Route {
	return c.findRoute(func(r *Route) bool { return r.Name == name })
}

// RouteTo returns the first route that leads to the service, or nil.
func (c *Catalog) RouteTo(service string) *Route {
	return c.findRoute(func(r *Route) bool {
		return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
	})
}

func (c *Catalog) findRoute(is func(r *Route) bool) *Route {
	for i := range c.spec.Routes {
		if r := &c.spec.Routes[i]; is(r) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace with the given ID, or nil.
func (c *Catalog) Workspace(id lagoonhead.WorkspaceID) *Workspace { return c.workspaces[id] }

// WorkspaceByKey returns the workspace that the API key belongs to, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.workspacesByKey[key] }

// LimitsRates reports whether any workspace has a rate limit.
func (c *Catalog) LimitsRates() bool { return c.limitsRates }

// Quota returns the rate limit of a workspace. ok is false if the workspace is unknown
// or has no limit.
func (c *Catalog) Quota(id lagoonhead.WorkspaceID) (q lagoonhead.Quota, ok bool) {
	w := c.workspaces[id]
	if w == nil || w.Quota.Rate <= 0 {
		return lagoonhead.Quota{}, false
	}
	return w.Quota, true
}
