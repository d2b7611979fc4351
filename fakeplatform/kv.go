package fakeplatform

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// maxHistory is the number of newest events that are kept for watches.
const maxHistory = 4096

// KV is the platform's key-value service. Create it with NewKV. It is safe for
// concurrent use.
type KV struct {
	// Faults are the faults injected into the service.
	Faults Faults

	tm       timer.Timer
	mu       sync.Mutex
	revision int64
	entries  map[string]lagoonhead.Entry
	previous map[string]lagoonhead.Entry // entries before the last write of their key
	leases   map[lagoonhead.LeaseID]*lease
	nextID   int64
	history  []lagoonhead.Event
	changed  chan struct{} // closed and replaced at each change
}

type lease struct {
	ttl     time.Duration
	expires time.Duration // time by KV.tm
}

var _ lagoonhead.Store = (*KV)(nil)

// NewKV returns an empty service. Leases expire by the clock tm.
func NewKV(tm timer.Timer) *KV {
	return &KV{
		tm:       tm,
		entries:  make(map[string]lagoonhead.Entry),
		previous: make(map[string]lagoonhead.Entry),
		leases:   make(map[lagoonhead.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// Get returns the entry of a key, or KindNotFound.
func (k *KV) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	if err := k.Faults.begin(ctx, k.tm, "get"); err != nil {
		return lagoonhead.Entry{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	e, ok := k.read(key)
	if !ok {
		return lagoonhead.Entry{}, fail("get", lagoonhead.KindNotFound, "key %q does not exist", key)
	}
	return e, nil
}

// read returns the entry of a key, or the one before its last write if reads are
// stale. The caller holds k.mu.
func (k *KV) read(key string) (lagoonhead.Entry, bool) {
	if k.Faults.readsStale() {
		e, ok := k.previous[key]
		return e, ok
	}
	e, ok := k.entries[key]
	return e, ok
}

// List returns the entries whose keys begin with prefix, sorted by key, and the
// revision of the store.
func (k *KV) List(ctx context.Context, prefix string) ([]lagoonhead.Entry, int64, error) {
	if err := k.Faults.begin(ctx, k.tm, "list"); err != nil {
		return nil, 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	var list []lagoonhead.Entry
	for key := range k.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if e, ok := k.read(key); ok {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, k.revision, nil
}

// Watch waits until keys that begin with prefix have events newer than the revision
// given by after. It returns them and the current revision. It returns KindTimeout
// when ctx ends first, and KindStale when some of these events are no longer kept.
func (k *KV) Watch(ctx context.Context, prefix string, after int64) ([]lagoonhead.Event, int64, error) {
	if err := k.Faults.begin(ctx, k.tm, "watch"); err != nil {
		return nil, after, err
	}
	for {
		k.mu.Lock()
		k.expire()
		events, err := k.since(prefix, after)
		revision, changed, next := k.revision, k.changed, k.nextExpiry()
		k.mu.Unlock()
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		if err := k.wait(ctx, changed, next); err != nil {
			return nil, after, err
		}
	}
}

// wait returns nil when changed is closed or after next, the time until a lease
// expires, if it is positive. It returns KindTimeout when ctx ends first.
func (k *KV) wait(ctx context.Context, changed <-chan struct{}, next time.Duration) error {
	sleep, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := make(chan struct{})
	if next > 0 {
		go func() {
			if k.tm.Sleep(sleep, next) == nil {
				close(expired)
			}
		}()
	}
	select {
	case <-changed:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return fail("watch", lagoonhead.KindTimeout, "no change before the deadline")
	}
}

// Backup is the state of a KV at some time.
type Backup struct {
	revision int64
	entries  map[string]lagoonhead.Entry
	leases   map[lagoonhead.LeaseID]lease
	nextID   int64
	history  []lagoonhead.Event
	takenAt  time.Duration
}

// Backup returns the present state.
func (k *KV) Backup() Backup {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	b := Backup{revision: k.revision, entries: maps.Clone(k.entries), nextID: k.nextID, history: slices.Clone(k.history), takenAt: k.tm.Now()}
	b.leases = make(map[lagoonhead.LeaseID]lease, len(k.leases))
	for id, l := range k.leases {
		b.leases[id] = *l
	}
	return b
}

// Restore replaces the state by an earlier one: later writes and leases are gone, and their
// revisions and identifiers are given out again. The leases of the earlier state have the time
// left that they had then.
func (k *KV) Restore(b Backup) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.entries, k.nextID, k.history = b.revision, maps.Clone(b.entries), b.nextID, slices.Clone(b.history)
	k.previous = make(map[string]lagoonhead.Entry)
	k.leases = make(map[lagoonhead.LeaseID]*lease, len(b.leases))
	for id, l := range b.leases {
		l.expires += k.tm.Now() - b.takenAt
		k.leases[id] = &l
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// nextExpiry returns the time until the first lease expires, at least 1 ms, or 0 if
// there are no leases. The caller holds k.mu.
func (k *KV) nextExpiry() time.Duration {
	var next time.Duration
	now := k.tm.Now()
	for _, l := range k.leases {
		if d := l.expires - now; next == 0 || d < next {
			next = max(d, time.Millisecond)
		}
	}
	return next
}

// since returns the events after a revision for keys that begin with prefix. The
// caller holds k.mu.
func (k *KV) since(prefix string, after int64) ([]lagoonhead.Event, error) {
	if after > k.revision {
		return nil, fail("watch", lagoonhead.KindStale, "there is no revision %d", after)
	}
	if len(k.history) > 0 && k.history[0].Entry.Revision > after+1 && len(k.history) == maxHistory {
		return nil, fail("watch", lagoonhead.KindStale, "events after revision %d are no longer kept", after)
	}
	var events []lagoonhead.Event
	for _, e := range k.history {
		if e.Entry.Revision > after && strings.HasPrefix(e.Entry.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, nil
}

// Put writes one key and returns the new revision. It returns KindConflict when the
// key has another revision than r.IfRevision, and KindNotFound when r.Lease has ended.
func (k *KV) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	if err := k.Faults.begin(ctx, k.tm, "put"); err != nil {
		return 0, err
	}
	rev, err := k.put(r)
	if err != nil {
		return 0, err
	}
	return rev, k.Faults.end("put")
}

func (k *KV) put(r lagoonhead.PutRequest) (int64, error) {
	if len(r.Value) > lagoonhead.MaxValueBytes {
		return 0, fail("put", lagoonhead.KindInvalid, "value of %d bytes is larger than %d", len(r.Value), lagoonhead.MaxValueBytes)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if r.Lease != "" && k.leases[r.Lease] == nil {
		return 0, fail("put", lagoonhead.KindNotFound, "lease %q has ended", r.Lease)
	}
	if current := k.entries[r.Key].Revision; r.IfRevision != lagoonhead.AnyRevision && current != r.IfRevision {
		return 0, fail("put", lagoonhead.KindConflict, "key %q has revision %d, not %d", r.Key, current, r.IfRevision)
	}
	k.revision++
	e := lagoonhead.Entry{Key: r.Key, Value: append([]byte(nil), r.Value...), Revision: k.revision, Lease: r.Lease}
	k.savePrevious(r.Key)
	k.entries[r.Key] = e
	k.record(lagoonhead.Event{Entry: e})
	return k.revision, nil
}

// savePrevious keeps the entry of a key for stale reads before it is overwritten or
// removed. The caller holds k.mu.
func (k *KV) savePrevious(key string) {
	if e, ok := k.entries[key]; ok {
		k.previous[key] = e
	}
}

// record adds an event to the history and wakes all watches. The caller holds k.mu.
func (k *KV) record(e lagoonhead.Event) {
	k.history = append(k.history, e)
	if len(k.history) > maxHistory {
		k.history = k.history[1:]
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// Delete removes a key. It returns KindNotFound when the key does not exist, and
// KindConflict when it has another revision than ifRevision.
func (k *KV) Delete(ctx context.Context, key string, ifRevision int64) error {
	if err := k.Faults.begin(ctx, k.tm, "delete"); err != nil {
		return err
	}
	if err := k.delete(key, ifRevision); err != nil {
		return err
	}
	return k.Faults.end("delete")
}

func (k *KV) delete(key string, ifRevision int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	current, ok := k.entries[key]
	if !ok {
		return fail("delete", lagoonhead.KindNotFound, "key %q does not exist", key)
	}
	if ifRevision != lagoonhead.AnyRevision && current.Revision != ifRevision {
		return fail("delete", lagoonhead.KindConflict, "key %q has revision %d, not %d", key, current.Revision, ifRevision)
	}
	k.remove(key)
	return nil
}

// remove deletes a key. The caller holds k.mu.
func (k *KV) remove(key string) {
	k.savePrevious(key)
	delete(k.entries, key)
	k.revision++
	k.record(lagoonhead.Event{Entry: lagoonhead.Entry{Key: key, Revision: k.revision}, Deleted: true})
}

// GrantLease returns a new lease that expires after ttl unless it is renewed.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (lagoonhead.LeaseID, error) {
	if err := k.Faults.begin(ctx, k.tm, "grantLease"); err != nil {
		return "", err
	}
	if ttl <= 0 {
		return "", fail("grantLease", lagoonhead.KindInvalid, "time to live %s is not positive", ttl)
	}
	k.mu.Lock()
	k.nextID++
	id := lagoonhead.LeaseID("lease-" + strconv.FormatInt(k.nextID, 10))
	k.leases[id] = &lease{ttl: ttl, expires: k.tm.Now() + ttl}
	k.mu.Unlock()
	return id, k.Faults.end("grantLease")
}

// RenewLease extends a lease by its time to live from now, or returns KindNotFound
// when it has ended.
func (k *KV) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	if err := k.Faults.begin(ctx, k.tm, "renewLease"); err != nil {
		return err
	}
	k.mu.Lock()
	k.expire()
	l := k.leases[id]
	if l != nil {
		l.expires = k.tm.Now() + l.ttl
	}
	k.mu.Unlock()
	if l == nil {
		return fail("renewLease", lagoonhead.KindNotFound, "lease %q has ended", id)
	}
	return k.Faults.end("renewLease")
}

// RevokeLease ends a lease and deletes its keys. An unknown lease is no error.
func (k *KV) RevokeLease(ctx context.Context, id lagoonhead.LeaseID) error {
	if err := k.Faults.begin(ctx, k.tm, "revokeLease"); err != nil {
		return err
	}
	k.mu.Lock()
	k.end(id)
	k.mu.Unlock()
	return k.Faults.end("revokeLease")
}

// expire ends the leases that have expired. The caller holds k.mu.
func (k *KV) expire() {
	now := k.tm.Now()
	for id, l := range k.leases {
		if l.expires <= now {
			k.end(id)
		}
	}
}

// end removes a lease and deletes its keys. The caller holds k.mu.
func (k *KV) end(id lagoonhead.LeaseID) {
	delete(k.leases, id)
	for key, e := range k.entries {
		if e.Lease == id {
			k.remove(key)
		}
	}
}
