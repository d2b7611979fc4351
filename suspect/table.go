package suspect

import (
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// RefusedFor is the time for which a request is refused after its newest crash.
	RefusedFor = 10 * time.Minute
	// BrieflyRefusedFor is the time for which requests are refused that explain three or
	// more crashes equally well. One of them is the cause and the others are innocent, so
	// it is short: the next crash of the cause then tells it from the others.
	BrieflyRefusedFor = 30 * time.Second
	// briefRefusalRepeats is the number of repeated crashes of endpoints after which a request
	// is refused for BrieflyRefusedFor, and again after each further one. It bounds the
	// damage of a request that has no other endpoint to run on.
	briefRefusalRepeats = 2
	// SuspectFor is the time for which a request is a suspect after its newest crash.
	SuspectFor = 10 * time.Minute
	// RememberedFor is the time for which an entry with two or more crashes is kept. It is
	// longer than RefusedFor, so that a crashing request that is sent again costs one
	// endpoint and not two.
	RememberedFor = time.Hour

	// defaultMaxEntries bounds the table. With 64 requests per endpoint, the requests of 64
	// crashes fit.
	defaultMaxEntries = 4096
	// maxEndpoints bounds the crashes that are kept per request.
	maxEndpoints = 8
)

// verdict is the consequence of a request's crashes.
type verdict uint8

const (
	allowed        verdict = iota
	refusedBriefly         // for BrieflyRefusedFor
	refused                // for RefusedFor
)

// entry is a request that was running on endpoints when they crashed.
type entry struct {
	endpoints []lagoonhead.EndpointID
	// repeats counts crashes of endpoints that had crashed with this request before.
	repeats int
	// newestCrash is the time of the newest crash.
	newestCrash time.Duration
	// finished is the time when the request last ended without a crash. Its crashes are
	// kept, since they still explain those of other requests.
	finished time.Duration
	// changedAt is the time of the last change, which is sent to peers for noticePeriod.
	changedAt time.Duration
	verdict   verdict
}

// neverFinished is the finished time of a request that has never ended without a crash. It is
// before every time since boot.
const neverFinished time.Duration = -1

func (e *entry) innocent() bool { return e.finished >= e.newestCrash }

func (e *entry) expired(now time.Duration) bool {
	if len(e.endpoints) > 1 {
		return now-e.newestCrash >= RememberedFor
	}
	return now-e.newestCrash >= SuspectFor
}

func (e *entry) has(id lagoonhead.EndpointID) bool { return slices.Contains(e.endpoints, id) }

func (e *entry) add(id lagoonhead.EndpointID) {
	if len(e.endpoints) == maxEndpoints {
		e.endpoints = slices.Delete(e.endpoints, 0, 1)
	}
	e.endpoints = append(e.endpoints, id)
}

// Table is the SuspectTracker of one VM. The exported fields must be set before the first
// use. It is safe for concurrent use.
type Table struct {
	// Timer must be set.
	Timer timer.Timer
	// MaxEntries bounds the table; 0 means 4,096. A new entry replaces the least suspicious
	// one when the table is full.
	MaxEntries int
	// Log receives a line when crashes are ignored. It may be nil.
	Log *zap.Logger

	// size lets Check return without the lock while the table is empty.
	size            atomic.Int64
	mu              sync.Mutex
	entries         map[uint64]*entry
	storms          stormDetector
	verdictsCurrent bool

	once     sync.Once
	counters counters
}

type counters struct {
	all                                        expvar.Map
	crashes, stormCrashes, refusals, evictions expvar.Int
}

var _ lagoonhead.SuspectTracker = (*Table)(nil)

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

// Check returns an error of KindForbidden when the request is refused. suspect is true when
// the request must run on an endpoint without other suspects.
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
		return true, refusal(ErrRefused, 0)
	}
	return !e.innocent() && now-e.newestCrash < SuspectFor, nil
}

func (t *Table) refuses(e *entry, now time.Duration) bool {
	if !t.verdictsCurrent {
		t.updateVerdicts(now)
	}
	switch {
	case e.verdict == refused:
		return now-e.newestCrash < RefusedFor
	case e.verdict == refusedBriefly, e.repeats >= briefRefusalRepeats:
		return now-e.newestCrash < BrieflyRefusedFor
	}
	return false
}

// Avoid returns the endpoints that crashed while they ran the request. The next run must be
// on another one: a second crash of the same endpoint says nothing about the request, since
// a faulty endpoint crashes with any.
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

// Crashed records that the endpoint crashed while it ran the request. Crashes of the same
// endpoint count once towards a refusal; see Avoid.
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
	case now-e.newestCrash >= stormWindow:
		e.repeats++
	}
	e.newestCrash, e.changedAt = now, now
	t.verdictsCurrent = false
	if t.storms.add(id, now) && !t.oneExplains(t.storms.endpoints()) {
		t.storms.start(now)
		if t.Log != nil {
			t.Log.Warn("crashes ignored: endpoints were lost together", zap.Int("count", len(t.storms.endpoints())))
		}
		t.removeCrashes(t.storms.endpoints())
	}
}

// Finished records that the request ended without a crash of its endpoint. A request that is
// refused stays refused: another copy of it may have begun before the refusal.
func (t *Table) Finished(fingerprint uint64) {
	if t.size.Load() == 0 {
		return
	}
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil && !t.refuses(e, now) {
		e.finished = now
		t.verdictsCurrent = false
	}
}

// entry returns the entry of a request. If there is none, it adds one and makes room for it.
func (t *Table) entry(fingerprint uint64, now time.Duration) *entry {
	if e := t.entries[fingerprint]; e != nil && !e.expired(now) {
		return e
	}
	if t.entries == nil {
		t.entries = make(map[uint64]*entry)
	}
	t.makeRoom(now)
	e := &entry{finished: neverFinished}
	t.entries[fingerprint] = e
	t.size.Store(int64(len(t.entries)))
	return e
}

func (t *Table) remove(fingerprint uint64) {
	delete(t.entries, fingerprint)
	t.size.Store(int64(len(t.entries)))
	t.verdictsCurrent = false
}

// makeRoom removes expired entries if the table is full, and then, while it is still full,
// the least suspicious one: an innocent one first, then the one with the fewest crashes, then
// the oldest.
func (t *Table) makeRoom(now time.Duration) {
	limit := t.MaxEntries
	if limit <= 0 {
		limit = defaultMaxEntries
	}
	if len(t.entries) < limit {
		return
	}
	for f, e := range t.entries {
		if e.expired(now) {
			t.remove(f)
		}
	}
	for len(t.entries) >= limit {
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
	return a.newestCrash < b.newestCrash
}
