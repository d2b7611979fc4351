package roster

import (
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// ReturnTime is how long after the return of the store the entries of living
// endpoints are back in it. The platform promises about two seconds; the rest is for
// the way of the news to this daemon.
const ReturnTime = 2200 * time.Millisecond

// Roster is the list of living endpoints. It is safe for concurrent use.
type Roster struct {
	mu        sync.Mutex
	endpoints map[string]lagoonhead.Endpoint
	// lapsed holds the entries that may have lapsed while the store was away.
	lapsed map[string]bool
	// met is true once the store has answered. Until then nothing is taken out: what peers
	// told is all that is known.
	met bool
	// away is true from the first failed call until the next contact.
	away bool
	// settledAt is the time at which a missing entry means that its endpoint is gone.
	settledAt time.Duration
	version   int64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{endpoints: make(map[string]lagoonhead.Endpoint), lapsed: make(map[string]bool)}
}

// Put adds or replaces the endpoint of an entry.
func (r *Roster) Put(key string, e lagoonhead.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lapsed, key)
	r.endpoints[key] = e
	r.version++
}

// Seed adds an endpoint that a peer knows, unless the entry is known.
func (r *Roster) Seed(key string, e lagoonhead.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; ok {
		return
	}
	r.endpoints[key] = e
	r.lapsed[key] = true
	r.version++
}

// Removed takes out the endpoint of an entry that is gone, at once if the store has
// been there all the while.
func (r *Roster) Removed(now time.Duration, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; !ok {
		return
	}
	if r.away || now < r.settledAt {
		r.lapsed[key] = true
		return
	}
	r.drop(key)
}

// Unreadable takes out the endpoint of an entry that cannot be read any more.
func (r *Roster) Unreadable(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; ok {
		r.drop(key)
	}
}

func (r *Roster) drop(key string) {
	delete(r.endpoints, key)
	delete(r.lapsed, key)
	r.version++
}

// Lost tells that the store does not answer.
func (r *Roster) Lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// Contact tells that the entries were in line with the store at the given time.
func (r *Roster) Contact(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away || (!r.met && len(r.lapsed) > 0) {
		r.settledAt = at + ReturnTime
	}
	r.met, r.away = true, false
}

// Settle takes out the endpoints whose entries did not come back. It returns their
// number.
func (r *Roster) Settle(now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.met || r.away || now < r.settledAt {
		return 0
	}
	n := len(r.lapsed)
	for key := range r.lapsed {
		r.drop(key)
	}
	return n
}

// Version grows with each change.
func (r *Roster) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Len returns the number of living endpoints.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.endpoints)
}

// Endpoints returns the living endpoints in any order, and the version.
func (r *Roster) Endpoints() ([]lagoonhead.Endpoint, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]lagoonhead.Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		list = append(list, e)
	}
	return list, r.version
}
