package inventory

import (
	"github.com/lagoonhead/lagoonhead"
)

// Inventory is the declared configuration of the fleet. The type itself enforces
// nothing; Parse and Validate check it.
type Inventory struct {
	FailureDomains []FailureDomain `yaml:"failureDomains,omitempty" json:"failureDomains,omitempty"`
	Models         []Model         `yaml:"models,omitempty" json:"models,omitempty"`
	Engines        []Engine        `yaml:"engines,omitempty" json:"engines,omitempty"`
	Services       []Service       `yaml:"services,omitempty" json:"services,omitempty"`
	Workspaces     []Workspace     `yaml:"workspaces,omitempty" json:"workspaces,omitempty"`
	Rules          []Rule          `yaml:"rules,omitempty" json:"rules,omitempty"`
	EndpointStates []EndpointState `yaml:"endpointStates,omitempty" json:"endpointStates,omitempty"`
	Planner        Planner         `yaml:"planner" json:"planner"`
}

// FailureDomain is a set of machines that can fail together, and its region.
type FailureDomain struct {
	ID     lagoonhead.FailureDomain `yaml:"id" json:"id"`
	Region lagoonhead.Region        `yaml:"region" json:"region"`
}

// Model is a model that engines can load.
type Model struct {
	ID string `yaml:"id" json:"id"`
}

// Engine is a server process that runs inference for one model.
type Engine struct {
	ID            lagoonhead.EndpointID    `yaml:"id" json:"id"`
	Model         string                   `yaml:"model" json:"model"`
	Address       string                   `yaml:"address" json:"address"`
	FailureDomain lagoonhead.FailureDomain `yaml:"failureDomain" json:"failureDomain"`
	Role          lagoonhead.Role          `yaml:"role" json:"role"`
	Supply        lagoonhead.Supply        `yaml:"supply" json:"supply"`
	Slots         int                      `yaml:"slots" json:"slots"`
	Price         Price                    `yaml:"price" json:"price"`
	// Fenced is true for an engine that rejects orders with an outdated fencing number.
	Fenced bool `yaml:"fenced" json:"fenced"`
	// PrefillRate and DecodeRate are the throughput of the whole engine over all its
	// slots; 0 means that it is not known.
	PrefillRate Rate `yaml:"prefillRate,omitempty" json:"prefillRate,omitempty"`
	DecodeRate  Rate `yaml:"decodeRate,omitempty" json:"decodeRate,omitempty"`
	// OrderedByPlanner is true for an engine that the planner ordered from the platform. It
	// is removed from the inventory automatically when the platform no longer lists it.
	OrderedByPlanner bool `yaml:"ordered,omitempty" json:"ordered,omitempty"`
}

// Service is a plain HTTP back end with its routes and processes.
type Service struct {
	ID        string            `yaml:"id" json:"id"`
	Routes    []Route           `yaml:"routes,omitempty" json:"routes,omitempty"`
	Endpoints []ServiceEndpoint `yaml:"endpoints,omitempty" json:"endpoints,omitempty"`
}

// Route declares how calls with one method and path pattern are handled.
type Route struct {
	Method string `yaml:"method" json:"method"`
	// Path is a pattern such as "/loans/{loan}"; "{rest...}" at the end matches one
	// or more remaining segments.
	Path string `yaml:"path" json:"path"`
	// NoAPIKey is true for a route that needs no API key.
	NoAPIKey bool `yaml:"open" json:"open"`
	// Idempotent is true when calls may be retried.
	Idempotent bool `yaml:"idempotent" json:"idempotent"`
	// IdempotencyKeyRequired rejects calls without an idempotency key.
	IdempotencyKeyRequired bool `yaml:"keyRequired" json:"keyRequired"`
}

// ServiceEndpoint is one process of a service, reached at its base URL.
type ServiceEndpoint struct {
	ID            lagoonhead.EndpointID    `yaml:"id" json:"id"`
	Address       string                   `yaml:"address" json:"address"`
	FailureDomain lagoonhead.FailureDomain `yaml:"failureDomain" json:"failureDomain"`
	Supply        lagoonhead.Supply        `yaml:"supply" json:"supply"`
	Slots         int                      `yaml:"slots" json:"slots"`
	Price         Price                    `yaml:"price" json:"price"`
}

// Workspace is an account with its API keys, its rate limit and its weight in the
// fair queue.
type Workspace struct {
	ID     lagoonhead.WorkspaceID `yaml:"id" json:"id"`
	Rate   Rate                   `yaml:"rate" json:"rate"`
	Burst  Tokens                 `yaml:"burst" json:"burst"`
	Weight int                    `yaml:"weight" json:"weight"`
	Keys   []Key                  `yaml:"keys,omitempty" json:"keys,omitempty"`
}

// Key is the stored form of an API key of a workspace. Only the hash is stored,
// never the key itself.
type Key struct {
	ID     string `yaml:"id" json:"id"`
	Label  string `yaml:"label,omitempty" json:"label,omitempty"`
	SHA256 Hash   `yaml:"sha256" json:"sha256"`
}

// Rule sets the priority, deadline and cost ceiling of the requests that it matches.
// The first matching rule applies. An empty list matches everything.
type Rule struct {
	Name       string                   `yaml:"name" json:"name"`
	Workspaces []lagoonhead.WorkspaceID `yaml:"workspaces,omitempty" json:"workspaces,omitempty"`
	// Serves lists the models and services that the rule matches.
	Serves []string `yaml:"serves,omitempty" json:"serves,omitempty"`
	// Priority is the priority class: interactive, normal, or deferrable for requests
	// that may wait.
	Priority string `yaml:"priority" json:"priority"`
	// Deadline is the time allowed until the first token; 0 means none.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// CostCeiling is the highest price of an endpoint that a matching request may run
	// on; 0 means no ceiling.
	CostCeiling Price `yaml:"costCeiling,omitempty" json:"costCeiling,omitempty"`
}

// EndpointState is the desired state of one endpoint, set by operators and the planner.
type EndpointState struct {
	Endpoint lagoonhead.EndpointID `yaml:"endpoint" json:"endpoint"`
	// Leaving is set to drain the endpoint, which gets no new requests: by operators, or
	// automatically when the platform reclaims an engine or no longer lists it.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// Changing is set by the planner while it changes the role of the engine, which
	// gets no new requests until the change is complete.
	Changing bool `yaml:"changing,omitempty" json:"changing,omitempty"`
	// Role is the desired role of an engine; empty means the role in its Engine entry.
	Role lagoonhead.Role `yaml:"role,omitempty" json:"role,omitempty"`
}

// Planner limits what the planner may do without an operator.
type Planner struct {
	// OrderRoles allows the planner to change the roles of engines.
	OrderRoles bool `yaml:"orderRoles" json:"orderRoles"`
	// OrderEndpoints allows the planner to order endpoints from the platform within Bounds.
	OrderEndpoints bool `yaml:"orderEndpoints" json:"orderEndpoints"`
	// Interval is the time between two runs of the planner.
	Interval Duration `yaml:"interval" json:"interval"`
	Bounds   []Bound  `yaml:"bounds,omitempty" json:"bounds,omitempty"`
}

// Bound limits the number of endpoints in a failure domain that serve one model or
// service and have one kind of supply.
type Bound struct {
	FailureDomain lagoonhead.FailureDomain `yaml:"failureDomain" json:"failureDomain"`
	Serves        string                   `yaml:"serves" json:"serves"`
	Supply        lagoonhead.Supply        `yaml:"supply" json:"supply"`
	Min           int                      `yaml:"min" json:"min"`
	Max           int                      `yaml:"max" json:"max"`
}
