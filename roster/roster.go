package roster

import (
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// ReregistrationTime is the time within which live endpoints have registered again after the
// store has become reachable. The platform promises about 2 s; the rest is for the
// propagation of the entries to this daemon.
const ReregistrationTime = 2200 * time.Millisecond

// Roster is the list of live endpoints, by the key of their entry in the store. It is
// safe for concurrent use.
type Roster struct {
	mu        sync.Mutex
	endpoints map[string]lagoonhead.Endpoint
	// unconfirmed holds the keys of endpoints whose entry has gone, perhaps only because
	// the store was unreachable, or which are known only from a peer.
	unconfirmed map[string]bool
	// synced is true after the first call of Synced. Until then RemoveMissing removes
	// nothing, since all that is known of endpoints comes from peers.
	synced bool
	// unreachable is true from the first failed call to the store until the next call
	// of Synced.
	unreachable bool
	// settledAt is the time from which a missing entry means that its endpoint is gone.
	settledAt time.Duration
	version   int64 // see Version
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{endpoints: make(map[string]lagoonhead.Endpoint), unconfirmed: make(map[string]bool)}
}

// Put adds or replaces the endpoint of an entry in the store.
func (r *Roster) Put(key string, e lagoonhead.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unconfirmed, key)
	r.endpoints[key] = e
	r.version++
}

// Seed adds an endpoint that is known from a peer, unless the key is known already. It
// stays only if the store confirms it with Put.
func (r *Roster) Seed(key string, e lagoonhead.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; ok {
		return
	}
	r.endpoints[key] = e
	r.unconfirmed[key] = true
	r.version++
}

// Removed reports that an entry is gone from the store. Its endpoint is removed at once,
// unless the store is unreachable or became reachable less than ReregistrationTime ago.
func (r *Roster) Removed(now time.Duration, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; !ok {
		return
	}
	if r.unreachable || now < r.settledAt {
		r.unconfirmed[key] = true
		return
	}
	r.drop(key)
}

// Unreadable removes the endpoint of an entry whose new value cannot be decoded.
func (r *Roster) Unreadable(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; ok {
		r.drop(key)
	}
}

// drop removes an endpoint. The caller holds the lock.
func (r *Roster) drop(key string) {
	delete(r.endpoints, key)
	delete(r.unconfirmed, key)
	r.version++
}

// StoreLost reports that a call to the store failed.
func (r *Roster) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = true
}

// Synced reports that the entries matched those in the store at the given time.
func (r *Roster) Synced(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable || (!r.synced && len(r.unconfirmed) > 0) {
		r.settledAt = at + ReregistrationTime
	}
	r.synced, r.unreachable = true, false
}

// RemoveMissing removes the endpoints whose entries are still missing ReregistrationTime
// after the store became reachable. It returns their number.
func (r *Roster) RemoveMissing(now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.synced || r.unreachable || now < r.settledAt {
		return 0
	}
	n := len(r.unconfirmed)
	for key := range r.unconfirmed {
		r.drop(key)
	}
	return n
}

// Version returns a number that grows with each change of the endpoints.
func (r *Roster) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Endpoints returns the live endpoints in any order, and the version.
func (r *Roster) Endpoints() ([]lagoonhead.Endpoint, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]lagoonhead.Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		list = append(list, e)
	}
	return list, r.version
}
