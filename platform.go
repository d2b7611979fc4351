package lagoonhead

import (
	"context"
	"time"
)

// Entry is one key of the store.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store's revision of the last write of this key.
	Revision int64 `json:"revision"`
	// Lease is the lease that the key hangs on, or empty.
	Lease LeaseID `json:"lease,omitempty"`
}

// Event is a change of one key. Entry.Value is empty when the key was deleted.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// LeaseID identifies a lease of the store.
type LeaseID string

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// AnyRevision makes a write unconditional.
const AnyRevision int64 = -1

// PutRequest is a write of one key.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// IfRevision is the revision that the key must have; 0 means that the key must
	// be absent, and AnyRevision drops the condition.
	IfRevision int64 `json:"ifRevision"`
	// Lease deletes the key when it ends. Empty means none.
	Lease LeaseID `json:"lease,omitempty"`
}

// StoreReader reads the platform's key-value service. Each call counts against
// the store's read rate, a waiting Watch as one call.
type StoreReader interface {
	// Get returns the entry, or KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, ordered by key, and the
	// revision of the store from which a Watch sees every change that the entries
	// lack.
	List(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Watch waits until a key that begins with prefix changes after the revision
	// after, or until ctx ends. It returns the changes and the revision to pass
	// next. KindStale means that the history is gone: list again.
	Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error)
}

// StoreWriter writes the platform's key-value service. An error of KindUnknown
// means that the write may have taken effect.
type StoreWriter interface {
	// Put writes and returns the new revision, or KindConflict.
	Put(ctx context.Context, r PutRequest) (int64, error)
	// Delete removes the key if it has the given revision, or KindConflict.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// GrantLease returns a new lease that ends ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease, or returns KindNotFound when it has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes the keys that hang on it.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Store is the whole key-value service.
type Store interface {
	StoreReader
	StoreWriter
}

// TotalOrder states how many endpoints of a kind are wanted in a failure
// domain. Sending it twice changes nothing.
type TotalOrder struct {
	FailureDomain FailureDomain `json:"failureDomain"`
	// Serves is the model or the service name.
	Serves string `json:"serves"`
	Supply Supply `json:"supply"`
	// Total is the number wanted, not an increment.
	Total int `json:"total"`
	// Sequence is the number under which the order was recorded.
	Sequence int64 `json:"sequence"`
}

// PlatformEndpoint is an endpoint as the platform's ordering interface lists it.
type PlatformEndpoint struct {
	ID            EndpointID    `json:"id"`
	FailureDomain FailureDomain `json:"failureDomain"`
	Serves        string        `json:"serves"`
	Supply        Supply        `json:"supply"`
	Address       string        `json:"address"`
	// Ready is false while the endpoint starts or loads its weights.
	Ready bool `json:"ready"`
	// Leaving is true once the platform has announced the reclaim.
	Leaving bool `json:"leaving"`
}

// EndpointOrderer orders endpoints from the platform.
type EndpointOrderer interface {
	// SetTotal sends the order. KindExhausted means that the failure domain has
	// none to give; KindUnknown means that the answer was lost.
	SetTotal(ctx context.Context, o TotalOrder) error
}

// EndpointLister lists what the platform runs.
type EndpointLister interface {
	Endpoints(ctx context.Context) ([]PlatformEndpoint, error)
}

// WorkspaceUsage is what one workspace used in a window.
type WorkspaceUsage struct {
	Workspace    WorkspaceID `json:"workspace"`
	PromptTokens int64       `json:"promptTokens"`
	OutputTokens int64       `json:"outputTokens"`
	Requests     int64       `json:"requests"`
}

// UsageWindow is one report to the platform, billed once.
type UsageWindow struct {
	// Window identifies the window; a repeat has the same figures.
	Window string           `json:"window"`
	Start  time.Time        `json:"start"`
	End    time.Time        `json:"end"`
	Usage  []WorkspaceUsage `json:"usage"`
}

// UsageReporter reports usage to the platform.
type UsageReporter interface {
	// Report sends one window. KindConflict means that the platform has other
	// figures for it; KindUnknown means that the answer was lost.
	Report(ctx context.Context, w UsageWindow) error
}

// VMLister lists live and leaving VMs. The list lags.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
