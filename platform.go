package lagoonhead

import (
	"context"
	"time"
)

// Entry is one key of the store with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the revision of the store at the last write of this key. Revisions grow
	// also when the store is restored from a copy; see NewRevision.
	Revision int64 `json:"revision"`
	// Lease is the lease that the key is attached to, or empty. The store deletes the
	// key when the lease ends.
	Lease LeaseID `json:"lease,omitempty"`
}

// Event is a change of one key. Entry.Value is empty when the key was deleted.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// LeaseID identifies a lease of the store.
type LeaseID string

// MaxValueBytes is the maximum size of a value that the store accepts.
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
	// Lease is the lease at whose end the store deletes the key. Empty means none.
	Lease LeaseID `json:"lease,omitempty"`
}

// StoreReader reads the platform's key-value store. Each call counts against the
// store's read rate limit; a Watch counts as one call however long it waits.
type StoreReader interface {
	// Get returns the entry, or an error of KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, ordered by key, and the
	// revision to pass to Watch to get every change that is not in the entries.
	List(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Watch waits until a key that begins with prefix changes after the revision
	// after, or until ctx ends. It returns the changes and the revision to pass to the
	// next Watch. KindStale means that the store no longer has the changes since that
	// revision, or has been restored since: the caller must call List again.
	Watch(ctx context.Context, prefix string, after int64) ([]Event, int64, error)
}

// StoreWriter writes the platform's key-value store. An error of KindUnknown
// means that the write may have taken effect.
type StoreWriter interface {
	// Put writes the key and returns the new revision, or an error of KindConflict when
	// the condition on the revision does not hold. The revision of a key before a restore of
	// the store never holds, and a lease from before it has ended.
	Put(ctx context.Context, r PutRequest) (int64, error)
	// Delete removes the key if it has the given revision, and returns an error of
	// KindConflict otherwise.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// GrantLease returns a new lease that ends ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease, or returns an error of KindNotFound when it has
	// ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Store is the platform's key-value store.
type Store interface {
	StoreReader
	StoreWriter
}

// TotalOrder states how many endpoints of a model or a service and of a kind of supply
// are wanted in a failure domain. It is idempotent.
type TotalOrder struct {
	FailureDomain FailureDomain `json:"failureDomain"`
	// Serves is the model or the service name.
	Serves string `json:"serves"`
	Supply Supply `json:"supply"`
	// Total is the absolute number wanted, not an increment.
	Total int `json:"total"`
	// Sequence is the number under which the order was recorded in the store.
	Sequence int64 `json:"sequence"`
}

// PlatformEndpoint is an endpoint as the platform's ordering interface lists it.
type PlatformEndpoint struct {
	ID            EndpointID    `json:"id"`
	FailureDomain FailureDomain `json:"failureDomain"`
	Serves        string        `json:"serves"`
	Supply        Supply        `json:"supply"`
	Address       string        `json:"address"`
	// Ready is false while the endpoint starts or loads its model weights.
	Ready bool `json:"ready"`
	// Leaving is true once the platform has announced that it will reclaim the
	// endpoint.
	Leaving bool `json:"leaving"`
}

// EndpointOrderer orders endpoints from the platform.
type EndpointOrderer interface {
	// SetTotal sends the order. KindExhausted means that the failure domain has no
	// capacity left; KindUnknown means that the response was lost.
	SetTotal(ctx context.Context, o TotalOrder) error
}

// EndpointLister lists the endpoints that the platform runs.
type EndpointLister interface {
	Endpoints(ctx context.Context) ([]PlatformEndpoint, error)
}

// WorkspaceUsage is the usage of one workspace in a usage window.
type WorkspaceUsage struct {
	Workspace    WorkspaceID `json:"workspace"`
	PromptTokens int64       `json:"promptTokens"`
	OutputTokens int64       `json:"outputTokens"`
	Requests     int64       `json:"requests"`
}

// UsageWindow is the usage report of one time window to the platform. The platform bills
// each window once.
type UsageWindow struct {
	// Window identifies the window; a retried report has the same figures.
	Window string           `json:"window"`
	Start  time.Time        `json:"start"`
	End    time.Time        `json:"end"`
	Usage  []WorkspaceUsage `json:"usage"`
}

// UsageReporter reports usage to the platform.
type UsageReporter interface {
	// Report sends one window. KindConflict means that the platform already has other
	// figures for it; KindUnknown means that the response was lost.
	Report(ctx context.Context, w UsageWindow) error
}

// VMLister lists the VMs that run, including those that are leaving. The list lags
// behind the actual state.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
