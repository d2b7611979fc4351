package suspect

import (
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// RefusedFor is how long a request is refused after its newest crash.
	RefusedFor = 10 * time.Minute
	// HeldFor is how long requests are refused that explain three or more crashes
	// equally well. One of them is the cause, the others are innocent, so it is
	// short: the cause then stands out by its next crash.
	HeldFor = 30 * time.Second
	// holdRepeats is after how many repeated crashes of one endpoint a request is
	// refused for HeldFor after each. It bounds what the cause costs where it has no
	// other endpoint to go to.
	holdRepeats = 2
	// SuspectFor is how long a request stays a suspect after its newest crash.
	SuspectFor = 10 * time.Minute
	// RememberedFor is how long the crashes of a request with two or more are kept.
	// It is longer than RefusedFor, so that a cause that comes back costs one
	// endpoint and not two.
	RememberedFor = time.Hour

	// defaultMaxEntries bounds the table: at 64 requests on an endpoint it holds the
	// requests of 64 crashes.
	defaultMaxEntries = 4096
	// maxEndpoints bounds the crashes that are kept of one request.
	maxEndpoints = 8
)

// verdict is what the crashes of a request lead to.
type verdict uint8

const (
	clear verdict = iota
	held
	refused
)

// entry is one request that was on crashed endpoints.
type entry struct {
	endpoints []lagoonhead.EndpointID
	// repeats counts crashes of endpoints that it had crashed before.
	repeats int
	// newest is the time of the newest crash.
	newest time.Duration
	// forgiven is the time when the request last ended without a crash. Its crashes
	// are kept, since they still explain those of other requests.
	forgiven time.Duration
	// told is the time from which the entry is news to peers.
	told    time.Duration
	verdict verdict
}

// notForgiven is before every time since boot.
const notForgiven time.Duration = -1

func (e *entry) innocent() bool { return e.forgiven >= e.newest }

func (e *entry) expired(now time.Duration) bool {
	if len(e.endpoints) > 1 {
		return now-e.newest >= RememberedFor
	}
	return now-e.newest >= SuspectFor
}

func (e *entry) has(id lagoonhead.EndpointID) bool { return slices.Contains(e.endpoints, id) }

func (e *entry) add(id lagoonhead.EndpointID) {
	if len(e.endpoints) == maxEndpoints {
		e.endpoints = slices.Delete(e.endpoints, 0, 1)
	}
	e.endpoints = append(e.endpoints, id)
}

// Table is the SuspectWatch of one VM. The exported fields are set before the
// first use; it is safe for concurrent use.
type Table struct {
	// Timer must be set.
	Timer timer.Timer
	// MaxEntries bounds the table; 0 means 4,096. The least suspicious entry gives
	// way to a new one.
	MaxEntries int

	// size lets Check return at once while the table is empty.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[uint64]*entry
	storms  stormWatch
	judged  bool

	once     sync.Once
	counters counters
}

type counters struct {
	all                                        expvar.Map
	crashes, stormCrashes, refusals, evictions expvar.Int
}

var _ lagoonhead.SuspectWatch = (*Table)(nil)

// Vars returns the counters.
func (t *Table) Vars() *expvar.Map {
	t.once.Do(func() {
		t.counters.all.Set("crashes", &t.counters.crashes)
		t.counters.all.Set("crashesInStorms", &t.counters.stormCrashes)
		t.counters.all.Set("refusals", &t.counters.refusals)
		t.counters.all.Set("evictions", &t.counters.evictions)
		t.counters.all.Set("entries", expvar.Func(func() any { return t.size.Load() }))
	})
	return &t.counters.all
}

// Check returns an error of KindForbidden when the request is refused. suspect is
// true when the request must run apart from other suspects.
func (t *Table) Check(fingerprint uint64) (suspect bool, err error) {
	if t.size.Load() == 0 {
		return false, nil
	}
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil {
		return false, nil
	}
	if e.expired(now) {
		t.remove(fingerprint)
		return false, nil
	}
	if t.refuses(e, now) {
		t.counters.refusals.Add(1)
		return true, refusal()
	}
	return !e.innocent() && now-e.newest < SuspectFor, nil
}

func (t *Table) refuses(e *entry, now time.Duration) bool {
	if !t.judged {
		t.judge(now)
	}
	switch {
	case e.verdict == refused:
		return now-e.newest < RefusedFor
	case e.verdict == held, e.repeats >= holdRepeats:
		return now-e.newest < HeldFor
	}
	return false
}

// Avoid returns the endpoints that crashed while they ran the request. The next
// run must go elsewhere: a second crash of the same endpoint tells nothing about
// the request, since a faulty endpoint crashes with any.
func (t *Table) Avoid(fingerprint uint64) []lagoonhead.EndpointID {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil {
		return slices.Clone(e.endpoints)
	}
	return nil
}

// Crashed tells that the endpoint crashed while it ran the request. Crashes of
// the same endpoint count once towards a refusal; see Avoid.
func (t *Table) Crashed(fingerprint uint64, id lagoonhead.EndpointID) {
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.crashes.Add(1)
	if t.storms.ignores(now) {
		t.counters.stormCrashes.Add(1)
		return
	}
	e := t.entry(fingerprint, now)
	switch {
	case !e.has(id):
		e.add(id)
	case now-e.newest >= stormWindow:
		e.repeats++
	}
	e.newest, e.told = now, now
	t.judged = false
	if t.storms.note(id, now) && !t.oneExplains(t.storms.endpoints()) {
		t.storms.begin(now)
		t.forget(t.storms.endpoints())
	}
}

// Finished tells that the request ended without a crash of its endpoint. A
// request that is refused stays so: a copy that began before can still end.
func (t *Table) Finished(fingerprint uint64) {
	if t.size.Load() == 0 {
		return
	}
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil && !t.refuses(e, now) {
		e.forgiven = now
		t.judged = false
	}
}

// entry returns the entry of a request and makes room for it when there is none.
func (t *Table) entry(fingerprint uint64, now time.Duration) *entry {
	if e := t.entries[fingerprint]; e != nil && !e.expired(now) {
		return e
	}
	if t.entries == nil {
		t.entries = make(map[uint64]*entry)
	}
	t.makeRoom(now)
	e := &entry{forgiven: notForgiven}
	t.entries[fingerprint] = e
	t.size.Store(int64(len(t.entries)))
	return e
}

func (t *Table) remove(fingerprint uint64) {
	delete(t.entries, fingerprint)
	t.size.Store(int64(len(t.entries)))
	t.judged = false
}

// makeRoom drops what has expired, and the least suspicious entry when the table
// is still full: an innocent one first, then the one with the fewest crashes,
// then the oldest.
func (t *Table) makeRoom(now time.Duration) {
	most := t.MaxEntries
	if most <= 0 {
		most = defaultMaxEntries
	}
	if len(t.entries) < most {
		return
	}
	for f, e := range t.entries {
		if e.expired(now) {
			t.remove(f)
		}
	}
	for len(t.entries) >= most {
		t.remove(t.leastSuspicious())
		t.counters.evictions.Add(1)
	}
}

func (t *Table) leastSuspicious() uint64 {
	var least uint64
	var found *entry
	for f, e := range t.entries {
		if found == nil || lessSuspicious(e, found) || (!lessSuspicious(found, e) && f < least) {
			least, found = f, e
		}
	}
	return least
}

func lessSuspicious(a, b *entry) bool {
	if a.innocent() != b.innocent() {
		return a.innocent()
	}
	if len(a.endpoints) != len(b.endpoints) {
		return len(a.endpoints) < len(b.endpoints)
	}
	return a.newest < b.newest
}
