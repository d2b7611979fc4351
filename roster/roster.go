package roster

import (
	"maps"
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
	outageTime time.Duration // see New

	mu        sync.Mutex
	endpoints map[string]lagoonhead.Endpoint
	// unconfirmed holds the keys of endpoints whose entry has gone, perhaps only because
	// the store was unreachable, or which are known only from a peer. The value is the reachable
	// time, see reachableTime, at which a missing entry means that the endpoint is gone.
	unconfirmed map[string]time.Duration
	// synced is true after the first call of Synced, and syncedAt is the newest time that such a
	// call has named. Before it RemoveMissing removes nothing, since all that is known of
	// endpoints comes from peers.
	synced   bool
	syncedAt time.Duration
	// failing is true from a failed call to the store until the next call of Synced.
	failing bool
	// restored is true from a restore of the store until the next call of Synced.
	restored bool
	// reachable is the reachable time at syncedAt, and settled that from which a missing entry
	// means that its endpoint is gone.
	reachable, settled time.Duration
	version            int64 // see Version

	// now is the newest time that a call has named.
	now time.Duration
	// departures holds, by key, the endpoints that have said that they leave or are gone.
	departures map[string]departure
	// restoredAt is the time of the last restore of the store. Until heldUntil, departures from
	// before it hold: held has the endpoints as the store has them meanwhile, by key.
	restoredAt, heldUntil time.Duration
	held                  map[string]lagoonhead.Endpoint
}

// departure is the end of the use of a process of an endpoint.
type departure struct {
	incarnation lagoonhead.Incarnation
	at          time.Duration
	// final is true if the process itself has said that it leaves. It stays out of use then,
	// whatever its registration says.
	final bool
}

// departureMemory is how long a departure is remembered. The store comes back from a copy that is
// seconds old.
const departureMemory = time.Minute

// New returns an empty roster. Failed calls to the store are an outage, in which entries of live
// endpoints may lapse, if for at least outageTime no call has succeeded. It must be longer than
// the usual time between two calls.
func New(outageTime time.Duration) *Roster {
	return &Roster{
		outageTime: outageTime, endpoints: make(map[string]lagoonhead.Endpoint), unconfirmed: make(map[string]time.Duration),
		departures: make(map[string]departure), held: make(map[string]lagoonhead.Endpoint),
	}
}

// Put adds or replaces the endpoint of an entry in the store.
func (r *Roster) Put(key string, e lagoonhead.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unconfirmed, key)
	delete(r.held, key)
	d, departed := r.departures[key]
	switch {
	case !departed || d.incarnation != e.Incarnation():
	case d.final:
		e = e.WithLeaving(true)
	case r.isHolding() && d.at <= r.restoredAt:
		r.held[key] = e
		e = e.WithLeaving(true)
	default:
		delete(r.departures, key)
	}
	if e.Leaving() {
		r.depart(key, e)
	}
	r.endpoints[key] = e
	r.version++
}

// depart records a departure, unless that of the same process is known already. The caller
// holds the lock.
func (r *Roster) depart(key string, e lagoonhead.Endpoint) {
	if d, ok := r.departures[key]; !ok || d.incarnation != e.Incarnation() {
		r.departures[key] = departure{incarnation: e.Incarnation(), at: r.now}
	}
}

// RecordLeaving records that a process of an endpoint has said that it leaves, and reports whether
// this was not known. The process stays out of use for its life. What is said of a process other
// than that which is registered is ignored.
func (r *Roster) RecordLeaving(key string, in lagoonhead.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.endpoints[key]
	d := r.departures[key]
	if (ok && e.Incarnation() != in) || (d.final && d.incarnation == in) {
		return false
	}
	r.departures[key] = departure{incarnation: in, at: r.now, final: true}
	delete(r.held, key)
	if ok && !e.Leaving() {
		r.endpoints[key] = e.WithLeaving(true)
		r.version++
	}
	return true
}

// Departing returns the registered processes that have said that they leave, by key.
func (r *Roster) Departing() map[string]lagoonhead.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string]lagoonhead.Incarnation)
	for key, d := range r.departures {
		if d.final && r.isRegistered(key, d.incarnation) {
			list[key] = d.incarnation
		}
	}
	return list
}

// isHolding reports whether departures from before a restore hold. The caller holds the lock.
func (r *Roster) isHolding() bool { return r.now < r.heldUntil }

// Restored reports that the store has come back from a copy. What the copy lacks may be written
// again, so it is kept as after an outage. Departures from before hold for the given time,
// although the copy has the endpoints as they were: by then those that are gone have lost
// their entries again.
func (r *Roster) Restored(now, hold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = max(r.now, now)
	r.restored = true
	r.restoredAt, r.heldUntil = r.now, r.now+hold
}

// Seed adds an endpoint that is known from a peer, unless the key is known already. It
// stays only if the store confirms it with Put.
func (r *Roster) Seed(key string, e lagoonhead.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.endpoints[key]; ok {
		return
	}
	if d, ok := r.departures[key]; ok && d.final && d.incarnation == e.Incarnation() {
		e = e.WithLeaving(true)
	}
	r.endpoints[key] = e
	r.unconfirmed[key] = r.settled
	if !r.synced {
		r.unconfirmed[key] = ReregistrationTime
	}
	r.version++
}

// Removed reports that an entry is gone from the store. Its endpoint is removed at once,
// unless there is an outage of the store, or one has ended less than ReregistrationTime ago. It
// returns whether the endpoint is kept.
func (r *Roster) Removed(now time.Duration, key string) (kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = max(r.now, now)
	delete(r.held, key)
	if _, ok := r.endpoints[key]; !ok {
		return false
	}
	due := r.settled
	if r.isOutage(now) {
		due = r.reachable + ReregistrationTime
	}
	if known, ok := r.unconfirmed[key]; ok {
		due = known // a series of outages keeps no endpoint for longer
	}
	if r.reachableTime(now) < due {
		r.unconfirmed[key] = due
		return true
	}
	r.drop(key)
	return false
}

// isOutage reports whether entries of live endpoints may have lapsed because the store was
// unreachable, or was restored. The caller holds the lock.
func (r *Roster) isOutage(now time.Duration) bool {
	return r.restored || r.failing && now-r.syncedAt >= r.outageTime
}

// reachableTime returns the time for which the store has been reachable. It stands still while calls
// to the store fail. The caller holds the lock.
func (r *Roster) reachableTime(now time.Duration) time.Duration {
	if r.restored || r.failing {
		return r.reachable
	}
	return r.reachable + max(0, now-r.syncedAt)
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
	r.depart(key, r.endpoints[key])
	if d := r.departures[key]; d.final {
		d.at = r.now // departures of registered endpoints do not grow old
		r.departures[key] = d
	}
	delete(r.held, key)
	delete(r.endpoints, key)
	delete(r.unconfirmed, key)
	r.version++
}

// StoreLost reports that a call to the store failed.
func (r *Roster) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}

// Synced reports that the entries matched those in the store at the given time.
func (r *Roster) Synced(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at = max(at, r.syncedAt)
	if r.isOutage(at) || (!r.synced && len(r.unconfirmed) > 0) {
		r.settled = r.reachable + ReregistrationTime
	} else {
		r.reachable += at - r.syncedAt
	}
	r.synced, r.syncedAt = true, at
	r.failing, r.restored = false, false
}

// RemoveMissing removes the endpoints whose entries are still missing after the store has been
// reachable for ReregistrationTime, and puts endpoints in use again whose departure was
// withdrawn by a restore. It returns the number of the former; Version tells of the latter.
func (r *Roster) RemoveMissing(now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = max(r.now, now)
	r.endHold()
	if !r.synced || r.isOutage(now) {
		return 0
	}
	reachable, n := r.reachableTime(now), 0
	for key, due := range r.unconfirmed {
		if due <= reachable {
			r.drop(key)
			n++
		}
	}
	return n
}

// endHold forgets old departures, and puts endpoints that were held in use again once their
// departures do not hold any more. The caller holds the lock.
func (r *Roster) endHold() {
	if r.isHolding() {
		return
	}
	maps.DeleteFunc(r.departures, func(key string, d departure) bool {
		kept := d.final && r.isRegistered(key, d.incarnation)
		return !kept && r.now-d.at > departureMemory
	})
	for key, e := range r.held {
		r.endpoints[key] = e
		if !e.Leaving() {
			delete(r.departures, key)
		}
		r.version++
	}
	clear(r.held)
}

// isRegistered reports whether a process of an endpoint is in the list. The caller holds the lock.
func (r *Roster) isRegistered(key string, in lagoonhead.Incarnation) bool {
	e, ok := r.endpoints[key]
	return ok && e.Incarnation() == in
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
