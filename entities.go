package lagoonhead

import "time"

// VMID identifies a VM in the platform's list.
type VMID string

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// Region names a set of failure domains with low latency between them.
type Region string

// WorkspaceID identifies an account that callers are counted against.
type WorkspaceID string

// EndpointID identifies an engine or a plain service process.
type EndpointID string

// RequestID identifies one request of a caller. It is unique over all VMs.
type RequestID string

// Incarnation tells one process of a VM or an endpoint from the next process of
// the same name. It is unique over all processes.
type Incarnation string

// EndpointKind tells engines from plain services.
type EndpointKind string

// The kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Role is the kind of work that an engine is set up for.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Supply tells whether an endpoint may be reclaimed by the platform.
type Supply string

// The kinds of supply.
const (
	SupplyFirm        Supply = "firm"
	SupplyReclaimable Supply = "reclaimable"
)

// Priority is the class of a request. Lower values go first.
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
}

// NewVM returns a VM whose daemon serves its peers at peerAddress (host:port).
func NewVM(id VMID, d FailureDomain, peerAddress string, leaving bool) VM {
	return VM{id: id, failureDomain: d, peerAddress: peerAddress, leaving: leaving}
}

// ID returns the identifier of the VM.
func (v VM) ID() VMID { return v.id }

// FailureDomain returns where the VM runs.
func (v VM) FailureDomain() FailureDomain { return v.failureDomain }

// PeerAddress returns the host:port of the daemon's peer listener.
func (v VM) PeerAddress() string { return v.peerAddress }

// Leaving reports whether the platform has announced the end of the VM.
func (v VM) Leaving() bool { return v.leaving }

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
}

// NewEndpoint returns an endpoint that serves a model (an engine) or a service
// name at the given base URL. It is firm, has role mixed, one slot and no
// fencing; the With methods change that.
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

// WithSlots returns a copy that runs at most n requests at once.
func (e Endpoint) WithSlots(n int) Endpoint { e.slots = n; return e }

// WithPrice returns a copy that costs p units per hour. The default, 0, is below
// every cost ceiling.
func (e Endpoint) WithPrice(p float64) Endpoint { e.price = p; return e }

// WithFenced returns a copy that refuses old fencing numbers, or not.
func (e Endpoint) WithFenced(b bool) Endpoint { e.fenced = b; return e }

// WithLeaving returns a copy that takes no new work, or does.
func (e Endpoint) WithLeaving(b bool) Endpoint { e.leaving = b; return e }

// WithIncarnation returns a copy that is the given process. Empty means that the
// processes of this endpoint cannot be told apart.
func (e Endpoint) WithIncarnation(i Incarnation) Endpoint { e.incarnation = i; return e }

// ID returns the identifier of the endpoint.
func (e Endpoint) ID() EndpointID { return e.id }

// Kind tells an engine from a plain service.
func (e Endpoint) Kind() EndpointKind { return e.kind }

// Serves returns the model of an engine or the name of the service.
func (e Endpoint) Serves() string { return e.serves }

// Address returns the base URL, without a slash at its end.
func (e Endpoint) Address() string { return e.address }

// FailureDomain returns where the endpoint runs.
func (e Endpoint) FailureDomain() FailureDomain { return e.failureDomain }

// Role returns the kind of work that an engine is set up for.
func (e Endpoint) Role() Role { return e.role }

// Supply tells whether the platform may reclaim the endpoint.
func (e Endpoint) Supply() Supply { return e.supply }

// Slots returns how many requests the endpoint runs at once.
func (e Endpoint) Slots() int { return e.slots }

// Price returns the cost of the endpoint in units per hour.
func (e Endpoint) Price() float64 { return e.price }

// Fenced reports whether the endpoint refuses old fencing numbers.
func (e Endpoint) Fenced() bool { return e.fenced }

// Leaving reports whether the endpoint must get no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// Incarnation tells this process of the endpoint from earlier ones, or is empty.
func (e Endpoint) Incarnation() Incarnation { return e.incarnation }

// Request is what the decisions know of one request. It holds no body and no
// key.
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

// NewRequest returns a request of a workspace for a model or a service, arrived
// at the given time since boot. It has normal priority and no deadline.
func NewRequest(id RequestID, w WorkspaceID, serves string, arrived time.Duration) *Request {
	return &Request{id: id, workspace: w, serves: serves, arrived: arrived, priority: PriorityNormal}
}

// SetPriority sets the class.
func (r *Request) SetPriority(p Priority) { r.priority = p }

// SetDeadline sets the time since boot by which the first token is due; 0 means
// none.
func (r *Request) SetDeadline(d time.Duration) { r.deadline = d }

// SetTokens sets the estimated length of the prompt and the upper bound of the
// output, in tokens. Neither may be negative.
func (r *Request) SetTokens(prompt, most int) { r.promptTokens, r.maxTokens = prompt, most }

// SetFingerprint sets a hash of the body that is equal for repeats of it.
func (r *Request) SetFingerprint(h uint64) { r.fingerprint = h }

// SetBlocks sets the chained hashes of the prompt's cache blocks, in order.
func (r *Request) SetBlocks(b []uint64) { r.blocks = b }

// ID returns the identifier of the request.
func (r *Request) ID() RequestID { return r.id }

// Workspace returns the workspace whose key came with the request.
func (r *Request) Workspace() WorkspaceID { return r.workspace }

// Serves returns the model or the service name.
func (r *Request) Serves() string { return r.serves }

// Priority returns the class.
func (r *Request) Priority() Priority { return r.priority }

// Arrived returns the time of arrival since boot.
func (r *Request) Arrived() time.Duration { return r.arrived }

// Deadline returns the time since boot by which the first token is due, or 0.
func (r *Request) Deadline() time.Duration { return r.deadline }

// PromptTokens returns the estimated length of the prompt.
func (r *Request) PromptTokens() int { return r.promptTokens }

// MaxTokens returns the upper bound of the output.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Charge returns the tokens reserved at dispatch: prompt plus maximum output.
func (r *Request) Charge() int64 { return int64(r.promptTokens) + int64(r.maxTokens) }

// Fingerprint returns a hash of the body that is equal for repeats of it.
func (r *Request) Fingerprint() uint64 { return r.fingerprint }

// Blocks returns the chained hashes of the prompt's cache blocks. The caller
// must not change them.
func (r *Request) Blocks() []uint64 { return r.blocks }
