package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Repeat tells what may be done with a request whose outcome is not known.
type Repeat uint8

// The kinds of repetition.
const (
	// RepeatNever is for requests that may run at most once.
	RepeatNever Repeat = iota
	// RepeatSafe is for requests that may run any number of times.
	RepeatSafe
)

// Share is a service with its part of the traffic of a route.
type Share struct {
	Service string
	// Weight is relative to the weights of the other shares. It is positive.
	Weight float64
}

// Route tells how the requests under a path of a host are treated.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Streaming answers are series of events.
	Streaming bool
	// Resumable streams may go on at another endpoint behind the last event.
	Resumable bool
	// Timeout is the longest time that a request is kept waiting; 0 means none.
	Timeout time.Duration
	// Objective is the time within which the answer, or its first event, is due; 0
	// means none.
	Objective time.Duration
	// PauseObjective is the longest pause between events of a timely answer; 0 means
	// none.
	PauseObjective time.Duration
	// Patience is the silence after which callers give up; 0 means never.
	Patience time.Duration
	// Urgency is the rank of the requests, 0 is the most urgent.
	Urgency int
	Shares  []Share
	// MaxAttempts bounds the endpoints that run one request. It is at least 1.
	MaxAttempts int
	// Open routes need no key.
	Open bool
}

// Scaling holds the bounds and prices within which engines of a service are ordered.
type Scaling struct {
	// Min and Max bound the engines in one failure domain, both kinds of supply
	// together.
	Min, Max int
	// BootTime is how long a new engine takes to start.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable engine as a part of the price of
	// a firm one. 0 means that none can be ordered.
	ReclaimablePrice float64
	// DomainPrices are the prices of a firm engine by failure domain.
	DomainPrices map[lagoonhead.FailureDomain]float64
}

// EngineTraits are what all engines of a service have in common.
type EngineTraits struct {
	// Slots is the size of the batch.
	Slots int
	// CacheTokens is the room of the KV cache in tokens.
	CacheTokens int
	// SwitchTime is how long a change of role takes an engine out.
	SwitchTime time.Duration
}

// Service is a group of endpoints that can stand in for one another.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *EngineTraits
	// Scaling is nil when engines cannot be ordered.
	Scaling *Scaling
}

// Workspace is an account with its keys and limits.
type Workspace struct {
	ID   lagoonhead.WorkspaceID
	Keys []string
	// Urgency replaces the urgency of the route when HasUrgency is true.
	Urgency    int
	HasUrgency bool
	// Quota bounds the workspace; a zero rate means no bound.
	Quota lagoonhead.Quota
	// CountsTokens tells that the quota counts tokens and not requests.
	CountsTokens bool
	// PlainTokens is what a request without declared tokens counts as.
	PlainTokens int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the arrival of the headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the pause between two requests of a connection.
	IdleTimeout time.Duration
}

// Spec is the content of a catalogue.
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
	spec       Spec
	hosts      map[string][]*Route
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces map[lagoonhead.WorkspaceID]*Workspace
}

// New returns the catalogue with the content of s, which must not change any more.
func New(s Spec) *Catalog {
	c := &Catalog{
		spec:       s,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service, len(s.Services)),
		keys:       make(map[string]*Workspace),
		workspaces: make(map[lagoonhead.WorkspaceID]*Workspace, len(s.Workspaces)),
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		c.workspaces[w.ID] = w
		for _, k := range w.Keys {
			c.keys[k] = w
		}
	}
	return c
}

// Version grows with each change by operators.
func (c *Catalog) Version() int64 { return c.spec.Version }

// Limits returns what bounds callers.
func (c *Catalog) Limits() Limits { return c.spec.Limits }

// Services returns all services. The caller must not change them.
func (c *Catalog) Services() []Service { return c.spec.Services }

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Route returns the route of the host with the longest prefix of path, or nil. A
// port in host does not count.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holder returns the workspace that holds the key, or nil.
func (c *Catalog) Holder(key string) *Workspace { return c.keys[key] }

// Quota returns the rate and burst of a workspace. ok is false when the workspace is
// unknown or has no bound.
func (c *Catalog) Quota(id lagoonhead.WorkspaceID) (q lagoonhead.Quota, ok bool) {
	w := c.workspaces[id]
	if w == nil || w.Quota.Rate <= 0 {
		return lagoonhead.Quota{}, false
	}
	return w.Quota, true
}
