package lagoonhead

import "time"

// VMID identifies a VM in the platform's list.
type VMID string

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// Region names a set of failure domains with low latency between them.
type Region string

// WorkspaceID identifies an account to which the limits and the usage of its callers
// are charged.
type WorkspaceID string

// EndpointID identifies an engine or a plain service process.
type EndpointID string

// RequestID identifies one request of a caller. It is unique over all VMs.
type RequestID string

// Incarnation identifies one process of a VM or an endpoint; a restarted process has
// another one. It is unique over all processes.
type Incarnation string

// EndpointKind is the kind of an endpoint: engine or plain service.
type EndpointKind string

// The kinds of endpoints.
const (
	EndpointKindEngine  EndpointKind = "engine"
	EndpointKindService EndpointKind = "service"
)

// Role is the phase of inference that an engine is configured to run: prefill, decode
// or both (mixed).
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Supply states whether the platform may reclaim an endpoint, as it may a spot
// instance.
type Supply string

// The kinds of supply.
const (
	SupplyFirm        Supply = "firm"
	SupplyReclaimable Supply = "reclaimable"
)

// Priority is the scheduling class of a request. Lower values are served first.
type Priority uint8

// The priority classes.
const (
	PriorityInteractive Priority = iota
	PriorityNormal
	PriorityDeferrable
)

var priorityNames = [...]string{"interactive", "normal", "deferrable"}

// String returns the name used in headers and settings.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return "unknown"
}

// ParsePriority returns the class with the given name. ok is false when there is
// none.
func ParsePriority(s string) (p Priority, ok bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return PriorityNormal, false
}

// VM is an entry of the platform's VM list.
type VM struct {
	id            VMID
	failureDomain FailureDomain
	peerAddress   string
	leaving       bool
	capacity      float64
}

// NewVM returns a VM whose daemon serves its peers at peerAddress (host:port).
func NewVM(id VMID, d FailureDomain, peerAddress string, leaving bool) VM {
	return VM{id: id, failureDomain: d, peerAddress: peerAddress, leaving: leaving}
}

// ID returns the identifier of the VM.
func (v VM) ID() VMID { return v.id }

// FailureDomain returns the failure domain that the VM runs in.
func (v VM) FailureDomain() FailureDomain { return v.failureDomain }

// PeerAddress returns the host:port of the daemon's peer listener.
func (v VM) PeerAddress() string { return v.peerAddress }

// Leaving reports whether the platform has announced that it will stop the VM.
func (v VM) Leaving() bool { return v.leaving }

// WithCapacity returns a copy of v with a capacity.
func (v VM) WithCapacity(cores float64) VM {
	v.capacity = cores
	return v
}

// Capacity returns the processor time of the VM per second, in cores, or 0 if it is
// unknown.
func (v VM) Capacity() float64 { return v.capacity }

// Endpoint describes an engine or a plain service as the inventory lists it.
type Endpoint struct {
	id            EndpointID
	kind          EndpointKind
	serves        string
	address       string
	failureDomain FailureDomain
	role          Role
	supply        Supply
	slots         int
	price         float64
	fenced        bool
	leaving       bool
	incarnation   Incarnation
	software      string
	region        string
	coldFor       time.Duration
	coldUntil     time.Duration
}

// NewEndpoint returns an endpoint that serves a model (an engine) or a service
// name at the given base URL. Its supply is firm, its role is mixed, it has one slot
// and no fencing; the With methods return copies with other values.
func NewEndpoint(id EndpointID, k EndpointKind, serves, address string, d FailureDomain) Endpoint {
	return Endpoint{
		id: id, kind: k, serves: serves, address: address, failureDomain: d,
		role: RoleMixed, supply: SupplyFirm, slots: 1,
	}
}

// WithRole returns a copy with the given role.
func (e Endpoint) WithRole(r Role) Endpoint { e.role = r; return e }

// WithSupply returns a copy with the given kind of supply.
func (e Endpoint) WithSupply(s Supply) Endpoint { e.supply = s; return e }

// WithSlots returns a copy that runs at most n concurrent requests.
func (e Endpoint) WithSlots(n int) Endpoint { e.slots = n; return e }

// WithPrice returns a copy that costs p units per hour. The default, 0, is below
// every cost ceiling.
func (e Endpoint) WithPrice(p float64) Endpoint { e.price = p; return e }

// WithFenced returns a copy that rejects old fencing tokens if b is true, and accepts
// them otherwise.
func (e Endpoint) WithFenced(b bool) Endpoint { e.fenced = b; return e }

// WithLeaving returns a copy that gets no new work if b is true.
func (e Endpoint) WithLeaving(b bool) Endpoint { e.leaving = b; return e }

// WithIncarnation returns a copy with the given incarnation. Empty means that the
// endpoint does not state which process it is.
func (e Endpoint) WithIncarnation(i Incarnation) Endpoint { e.incarnation = i; return e }

// WithSoftware returns a copy that runs the given version of its software.
func (e Endpoint) WithSoftware(version string) Endpoint { e.software = version; return e }

// WithRegion returns a copy in a region; empty means none.
func (e Endpoint) WithRegion(r string) Endpoint { e.region = r; return e }

// WithColdFor returns a copy whose registration said, when it was written, that the endpoint stays
// cold for d.
func (e Endpoint) WithColdFor(d time.Duration) Endpoint { e.coldFor = d; return e }

// WithColdUntil returns a copy whose registration says that it is cold until t, in this VM's time
// since boot.
func (e Endpoint) WithColdUntil(t time.Duration) Endpoint { e.coldUntil = t; return e }

// ID returns the identifier of the endpoint.
func (e Endpoint) ID() EndpointID { return e.id }

// Kind returns whether the endpoint is an engine or a plain service.
func (e Endpoint) Kind() EndpointKind { return e.kind }

// Serves returns the model of an engine or the name of the service.
func (e Endpoint) Serves() string { return e.serves }

// Address returns the base URL, without a trailing slash.
func (e Endpoint) Address() string { return e.address }

// FailureDomain returns the failure domain that the endpoint runs in.
func (e Endpoint) FailureDomain() FailureDomain { return e.failureDomain }

// Role returns the phase of inference that an engine is configured to run.
func (e Endpoint) Role() Role { return e.role }

// Supply returns whether the platform may reclaim the endpoint.
func (e Endpoint) Supply() Supply { return e.supply }

// Slots returns the maximum number of concurrent requests.
func (e Endpoint) Slots() int { return e.slots }

// Price returns the cost of the endpoint in units per hour.
func (e Endpoint) Price() float64 { return e.price }

// Fenced reports whether the endpoint rejects old fencing tokens.
func (e Endpoint) Fenced() bool { return e.fenced }

// Leaving reports whether the endpoint must get no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// Incarnation returns the identity of the endpoint's process, or an empty one when the
// endpoint states none.
func (e Endpoint) Incarnation() Incarnation { return e.incarnation }

// Software returns the version of the endpoint's software, not of its model weights. The events
// and KV caches of two versions of a service are incompatible.
func (e Endpoint) Software() string { return e.software }

// Region returns the region of the endpoint's failure domain, or an empty string if it is in none.
func (e Endpoint) Region() string { return e.region }

// ColdFor returns how long the endpoint stays cold, counted from when its registration was written.
func (e Endpoint) ColdFor() time.Duration { return e.coldFor }

// ColdUntil returns the time since boot until which the endpoint is cold by its registration. It is
// counted from when this VM read the registration, which is never before it was written.
func (e Endpoint) ColdUntil() time.Duration { return e.coldUntil }

// Request holds the attributes of a caller's request that admission and routing use. It
// holds neither the body nor the API key.
type Request struct {
	id           RequestID
	workspace    WorkspaceID
	serves       string
	priority     Priority
	arrived      time.Duration
	deadline     time.Duration
	promptTokens int
	maxTokens    int
	fingerprint  uint64
	blocks       []uint64
}

// NewRequest returns a request of a workspace for a model or a service that arrived at
// the given time since boot. It has normal priority and no deadline.
func NewRequest(id RequestID, w WorkspaceID, serves string, arrived time.Duration) *Request {
	return &Request{id: id, workspace: w, serves: serves, arrived: arrived, priority: PriorityNormal}
}

// SetPriority sets the scheduling class.
func (r *Request) SetPriority(p Priority) { r.priority = p }

// SetDeadline sets the time since boot by which the first token is due; 0 means
// none.
func (r *Request) SetDeadline(d time.Duration) { r.deadline = d }

// SetTokens sets the estimated length of the prompt and the upper bound of the
// output, in tokens. Neither may be negative.
func (r *Request) SetTokens(prompt, maxOutput int) { r.promptTokens, r.maxTokens = prompt, maxOutput }

// SetFingerprint sets a hash of the body, by which a resent request is recognized.
func (r *Request) SetFingerprint(h uint64) { r.fingerprint = h }

// SetBlocks sets the chained hashes of the prompt's KV cache blocks, in the order of
// the prompt.
func (r *Request) SetBlocks(b []uint64) { r.blocks = b }

// ID returns the identifier of the request.
func (r *Request) ID() RequestID { return r.id }

// Workspace returns the workspace of the API key that came with the request, which the
// request is charged to.
func (r *Request) Workspace() WorkspaceID { return r.workspace }

// Target returns the model or the service name.
func (r *Request) Target() string { return r.serves }

// Priority returns the scheduling class.
func (r *Request) Priority() Priority { return r.priority }

// Arrived returns the time of arrival since boot.
func (r *Request) Arrived() time.Duration { return r.arrived }

// Deadline returns the time since boot by which the first token is due, or 0.
func (r *Request) Deadline() time.Duration { return r.deadline }

// PromptTokens returns the estimated length of the prompt in tokens.
func (r *Request) PromptTokens() int { return r.promptTokens }

// MaxTokens returns the upper bound of the output in tokens.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Charge returns the tokens to reserve at admission: prompt plus maximum output.
func (r *Request) Charge() int64 { return int64(r.promptTokens) + int64(r.maxTokens) }

// Fingerprint returns a hash of the body, by which a resent request is recognized.
func (r *Request) Fingerprint() uint64 { return r.fingerprint }

// Blocks returns the chained hashes of the prompt's KV cache blocks, in the order of
// the prompt. The caller must not change them.
func (r *Request) Blocks() []uint64 { return r.blocks }
