package inventory

import (
	"github.com/lagoonhead/lagoonhead"
)

// Inventory is what operators declare. It is a plain document; Parse and Validate
// say whether it is sound.
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

// FailureDomain names a failure domain and its region.
type FailureDomain struct {
	ID     lagoonhead.FailureDomain `yaml:"id" json:"id"`
	Region lagoonhead.Region        `yaml:"region" json:"region"`
}

// Model is a model that engines can load.
type Model struct {
	ID string `yaml:"id" json:"id"`
}

// Engine is a model server.
type Engine struct {
	ID            lagoonhead.EndpointID    `yaml:"id" json:"id"`
	Model         string                   `yaml:"model" json:"model"`
	Address       string                   `yaml:"address" json:"address"`
	FailureDomain lagoonhead.FailureDomain `yaml:"failureDomain" json:"failureDomain"`
	Role          lagoonhead.Role          `yaml:"role" json:"role"`
	Supply        lagoonhead.Supply        `yaml:"supply" json:"supply"`
	Slots         int                      `yaml:"slots" json:"slots"`
	Price         Price                    `yaml:"price" json:"price"`
	// Fenced is true for an engine that refuses old fencing numbers.
	Fenced bool `yaml:"fenced" json:"fenced"`
	// PrefillRate and DecodeRate are what the whole engine does; 0 means that it is
	// not known.
	PrefillRate Rate `yaml:"prefillRate,omitempty" json:"prefillRate,omitempty"`
	DecodeRate  Rate `yaml:"decodeRate,omitempty" json:"decodeRate,omitempty"`
	// Ordered is true for an engine that the planner has ordered. It leaves the
	// inventory by itself when the platform takes it away.
	Ordered bool `yaml:"ordered,omitempty" json:"ordered,omitempty"`
}

// Service is a plain back end with its routes and processes.
type Service struct {
	ID        string            `yaml:"id" json:"id"`
	Routes    []Route           `yaml:"routes,omitempty" json:"routes,omitempty"`
	Endpoints []ServiceEndpoint `yaml:"endpoints,omitempty" json:"endpoints,omitempty"`
}

// Route says how the calls of one method and path pattern may be treated.
type Route struct {
	Method string `yaml:"method" json:"method"`
	// Path is a pattern such as "/loans/{loan}"; "{rest...}" at the end takes all
	// further segments.
	Path        string `yaml:"path" json:"path"`
	Open        bool   `yaml:"open" json:"open"`
	Idempotent  bool   `yaml:"idempotent" json:"idempotent"`
	KeyRequired bool   `yaml:"keyRequired" json:"keyRequired"`
}

// ServiceEndpoint is one process of a service.
type ServiceEndpoint struct {
	ID            lagoonhead.EndpointID    `yaml:"id" json:"id"`
	Address       string                   `yaml:"address" json:"address"`
	FailureDomain lagoonhead.FailureDomain `yaml:"failureDomain" json:"failureDomain"`
	Supply        lagoonhead.Supply        `yaml:"supply" json:"supply"`
	Slots         int                      `yaml:"slots" json:"slots"`
	Price         Price                    `yaml:"price" json:"price"`
}

// Workspace is an account with its rate, burst and keys.
type Workspace struct {
	ID     lagoonhead.WorkspaceID `yaml:"id" json:"id"`
	Rate   Rate                   `yaml:"rate" json:"rate"`
	Burst  Tokens                 `yaml:"burst" json:"burst"`
	Weight int                    `yaml:"weight" json:"weight"`
	Keys   []Key                  `yaml:"keys,omitempty" json:"keys,omitempty"`
}

// Key is the stored form of a caller's key. The key itself is never stored.
type Key struct {
	ID     string `yaml:"id" json:"id"`
	Label  string `yaml:"label,omitempty" json:"label,omitempty"`
	SHA256 Hash   `yaml:"sha256" json:"sha256"`
}

// Rule says how the work that it matches is treated. The first rule that matches
// decides. An empty list matches everything.
type Rule struct {
	Name       string                   `yaml:"name" json:"name"`
	Workspaces []lagoonhead.WorkspaceID `yaml:"workspaces,omitempty" json:"workspaces,omitempty"`
	// Serves lists models and services.
	Serves []string `yaml:"serves,omitempty" json:"serves,omitempty"`
	// Priority is the class; deferrable work may wait.
	Priority string `yaml:"priority" json:"priority"`
	// Deadline is the time to the first token; 0 means none.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// CostCeiling is the highest price of an endpoint; 0 means none.
	CostCeiling Price `yaml:"costCeiling,omitempty" json:"costCeiling,omitempty"`
}

// EndpointState is what operators and the planner want of one endpoint.
type EndpointState struct {
	Endpoint lagoonhead.EndpointID `yaml:"endpoint" json:"endpoint"`
	// Leaving is set by operators: the endpoint gets no new work.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// Changing is set by the planner while it changes the role: the endpoint gets no
	// new work.
	Changing bool `yaml:"changing,omitempty" json:"changing,omitempty"`
	// Role is the role wanted of an engine; empty means the role of the inventory.
	Role lagoonhead.Role `yaml:"role,omitempty" json:"role,omitempty"`
}

// Planner bounds what the planner may do by itself.
type Planner struct {
	// OrderRoles allows role changes.
	OrderRoles bool `yaml:"orderRoles" json:"orderRoles"`
	// OrderEndpoints allows orders of endpoints within Bounds.
	OrderEndpoints bool `yaml:"orderEndpoints" json:"orderEndpoints"`
	// Interval is the time between two plans.
	Interval Duration `yaml:"interval" json:"interval"`
	Bounds   []Bound  `yaml:"bounds,omitempty" json:"bounds,omitempty"`
}

// Bound limits the number of endpoints of one kind in a failure domain.
type Bound struct {
	FailureDomain lagoonhead.FailureDomain `yaml:"failureDomain" json:"failureDomain"`
	Serves        string                   `yaml:"serves" json:"serves"`
	Supply        lagoonhead.Supply        `yaml:"supply" json:"supply"`
	Min           int                      `yaml:"min" json:"min"`
	Max           int                      `yaml:"max" json:"max"`
}
