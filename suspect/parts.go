package suspect

import (
	"cmp"
	"expvar"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// maxPartsPerPrompt bounds the parts of one prompt that are tracked.
	maxPartsPerPrompt = 64
	// maxPartCrashes bounds the crashes that are kept per part.
	maxPartCrashes = 16
	// maxPartName bounds the identifier of a part in logs, in bytes.
	maxPartName = 64
	// probeAfter is the time after the newest crash from which one VM lets a request with a
	// refused part through, so that a part that was refused wrongly is cleared before
	// RefusedFor. A part that crashes engines costs one engine in this time.
	probeAfter = time.Minute
	// probeInterval is the shortest time between two such requests of a VM, until the first
	// has ended.
	probeInterval = 30 * time.Second
)

// partCrash is the crash of a process of an engine.
type partCrash struct {
	// process is the hash of the endpoint's identifier and incarnation.
	process uint64
	at      time.Duration
}

// partEntry is a part that was in the prompts of requests that ran on engines when they
// crashed.
type partEntry struct {
	// name is the identifier of the part, or empty if only peers have told of it.
	name string
	// crashes holds the crashes since a request with the part last finished, oldest first.
	crashes []partCrash
	// finished is the time when a request with the part last finished.
	finished time.Duration
	// changedAt is the time of the last change, which is sent to peers for noticePeriod.
	changedAt time.Duration
	// probedAt is the time when a request was last let through after a refusal, and probe
	// that request.
	probedAt time.Duration
	probe    lagoonhead.RequestID
}

func (e *partEntry) newestCrash() time.Duration {
	if len(e.crashes) == 0 {
		return 0
	}
	return e.crashes[len(e.crashes)-1].at
}

func (e *partEntry) expired(now time.Duration) bool {
	switch n := len(e.crashes); {
	case n == 0:
		return now-e.changedAt >= noticePeriod
	case n >= partRefusalCrashes:
		return now-e.newestCrash() >= RememberedFor
	default:
		return now-e.newestCrash() >= SuspectFor
	}
}

// add adds a crash unless it is known, or older than the last request that finished. It
// reports whether it did.
func (e *partEntry) add(c partCrash) bool {
	if c.at <= e.finished || slices.ContainsFunc(e.crashes, func(k partCrash) bool { return k.process == c.process }) {
		return false
	}
	i, _ := slices.BinarySearchFunc(e.crashes, c, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	e.crashes = slices.Insert(e.crashes, i, c)
	if len(e.crashes) > maxPartCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	return true
}

// finish removes the crashes up to a time at which a request with the part finished. It
// reports whether there were any.
func (e *partEntry) finish(at time.Duration) bool {
	if at <= e.finished {
		return false
	}
	e.finished = at
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c partCrash) bool { return c.at <= at })
	return len(e.crashes) < before
}

// Parts is the PartTracker of one VM. The exported fields must be set before the first use. It
// is safe for concurrent use.
type Parts struct {
	// Timer must be set.
	Timer timer.Timer
	// Log receives a line when a part is refused or allowed again. It may be nil.
	Log *zap.Logger
	// Probes reports whether this VM lets requests with a part through early; see probeAfter.
	// It may be nil if none does.
	Probes func(part uint64) bool
	// MaxEntries bounds the table; 0 means 4,096. A new entry replaces the one with the
	// fewest crashes when the table is full.
	MaxEntries int

	// size lets the methods return without the lock while the table is empty.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[uint64]*partEntry
	// refused holds the groups of parts that are refused; it is current if judged is true.
	refused [][]uint64
	judged  bool

	once                            sync.Once
	all                             expvar.Map
	crashes, refusals, refusedParts expvar.Int
}

var _ lagoonhead.PartTracker = (*Parts)(nil)

// Vars returns the counters.
func (p *Parts) Vars() *expvar.Map {
	p.once.Do(func() {
		p.all.Set("crashes", &p.crashes)
		p.all.Set("refusals", &p.refusals)
		p.all.Set("refused", &p.refusedParts)
		p.all.Set("entries", expvar.Func(func() any { return p.size.Load() }))
	})
	return &p.all
}

// Check returns an error of KindForbidden if the prompt has a part that crashes engines. The
// error has the time after which a request with the part is let through again.
func (p *Parts) Check(id lagoonhead.RequestID, parts []string) error {
	if p.size.Load() == 0 || len(parts) == 0 {
		return nil
	}
	now := p.Timer.Now()
	hashes := hashParts(parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, group := range p.judge(now) {
		// While the crashes leave several parts, a prompt that has only some of them may
		// run, since its outcome tells them apart.
		if !containsAll(hashes, group) {
			continue
		}
		if wait := p.refusedFor(now, id, group); wait > 0 {
			p.refusals.Add(1)
			return refusal(ErrPartRefused, wait)
		}
	}
	return nil
}

// refusedFor returns for how long a group of parts is refused. When the refusal is over, it
// returns 0 for one request in probeInterval, each time that it is checked.
func (p *Parts) refusedFor(now time.Duration, id lagoonhead.RequestID, group []uint64) time.Duration {
	e := p.entries[group[0]]
	limit := RefusedFor
	if p.Probes != nil && p.Probes(group[0]) {
		limit = probeAfter
	}
	if wait := e.newestCrash() + limit - now; wait > 0 {
		return wait
	}
	if wait := e.probedAt + probeInterval - now; e.probedAt > e.newestCrash() && wait > 0 {
		if id == e.probe {
			return 0
		}
		return wait
	}
	e.probedAt, e.probe = now, id
	return 0
}

// Crashed records that an engine crashed while it ran a request with the parts.
func (p *Parts) Crashed(parts []string, e lagoonhead.Endpoint) {
	if len(parts) == 0 {
		return
	}
	now := p.Timer.Now()
	c := partCrash{process: xxhash.Sum64String(string(e.ID()) + "\x00" + string(e.Incarnation())), at: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes.Add(1)
	for i, h := range hashParts(parts) {
		v := p.entry(h, now)
		v.name = parts[i][:min(len(parts[i]), maxPartName)]
		if v.add(c) {
			v.changedAt, p.judged = now, false
		}
	}
	p.judge(now)
}

// Finished records that a request with the parts got a whole answer, so that none of them
// crashes engines.
func (p *Parts) Finished(parts []string) {
	if p.size.Load() == 0 || len(parts) == 0 {
		return
	}
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hashParts(parts) {
		if e := p.entries[h]; e != nil && e.finish(now) {
			e.changedAt, p.judged = now, false
		}
	}
}

// entry returns the entry of a part. If there is none, it adds one and makes room for it.
func (p *Parts) entry(part uint64, now time.Duration) *partEntry {
	if e := p.entries[part]; e != nil {
		return e
	}
	if p.entries == nil {
		p.entries = make(map[uint64]*partEntry)
	}
	limit := p.MaxEntries
	if limit <= 0 {
		limit = defaultMaxEntries
	}
	if len(p.entries) >= limit {
		p.removeExpired(now)
	}
	for len(p.entries) >= limit {
		delete(p.entries, p.leastSuspicious())
		p.judged = false
	}
	e := &partEntry{finished: neverFinished, changedAt: now}
	p.entries[part] = e
	p.size.Store(int64(len(p.entries)))
	return e
}

func (p *Parts) removeExpired(now time.Duration) {
	for h, e := range p.entries {
		if e.expired(now) {
			delete(p.entries, h)
			p.judged = false
		}
	}
	p.size.Store(int64(len(p.entries)))
}

// leastSuspicious returns the part with the fewest crashes; of those, the one whose newest
// crash is the oldest.
func (p *Parts) leastSuspicious() uint64 {
	var least uint64
	var found *partEntry
	for h, e := range p.entries {
		order := 0
		if found != nil {
			order = cmp.Or(cmp.Compare(len(e.crashes), len(found.crashes)), cmp.Compare(e.newestCrash(), found.newestCrash()), cmp.Compare(h, least))
		}
		if found == nil || order < 0 {
			least, found = h, e
		}
	}
	return least
}

// hashParts returns the hashes of the first maxPartsPerPrompt parts.
func hashParts(parts []string) []uint64 {
	hashes := make([]uint64, min(len(parts), maxPartsPerPrompt))
	for i := range hashes {
		hashes[i] = xxhash.Sum64String(parts[i])
	}
	return hashes
}

func containsAll(set, subset []uint64) bool {
	return !slices.ContainsFunc(subset, func(h uint64) bool { return !slices.Contains(set, h) })
}

// logRefused logs the parts that are refused, or no longer refused, by a new judgement.
func (p *Parts) logRefused(before, after []uint64) {
	p.refusedParts.Set(int64(len(after)))
	if p.Log == nil {
		return
	}
	for _, h := range after {
		if !slices.Contains(before, h) {
			p.Log.Warn("prompt part refused", zap.String("part", p.partName(h)), zap.Int("count", len(p.entries[h].crashes)))
		}
	}
	for _, h := range before {
		if !slices.Contains(after, h) {
			p.Log.Info("prompt part no longer refused", zap.String("part", p.partName(h)))
		}
	}
}

// partName returns the identifier of a part, or its hash if the identifier isn't known.
func (p *Parts) partName(h uint64) string {
	if e := p.entries[h]; e != nil && e.name != "" {
		return e.name
	}
	return "hash " + strconv.FormatUint(h, 16)
}
