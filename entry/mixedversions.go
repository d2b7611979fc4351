package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/origin"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	// mixedVersionsKey holds the services that have served with several software versions lately.
	// VMs tell each other of them; the key is for those that start when no other is left, and
	// cannot see in the registrations which versions have gone, and which all VMs know.
	mixedVersionsKey = fleetPrefix + "mixedVersions"
	// mixedVersionsInterval is the time between checks whether the key is up to date.
	mixedVersionsInterval = 500 * time.Millisecond
	// mixedVersionsWriters is the number of daemons that write the key. The second one stands in
	// for the first and only adds registered versions: two that see a version go at different
	// times would undo each other's writes.
	mixedVersionsWriters = 2
	// minStreamLifetime is the time for which a stream may at least be taken up after its
	// beginning.
	minStreamLifetime = time.Minute
	// maxStreamLifetime is that time if a route sets no timeout, and the maximum.
	maxStreamLifetime = 10 * time.Minute
	// streamLifetimeMargin is for the time that a caller takes to come back, and for VMs that
	// hear late that a version has gone.
	streamLifetimeMargin = 10 * time.Second
	// awakeInterval is the time between two signs that the process runs, and maxPause the time
	// without one after which it counts as having been suspended.
	awakeInterval, maxPause = 100 * time.Millisecond, 500 * time.Millisecond
	// awakeTime is how long the process must have run without a pause for the age of its copy to
	// count. What a watch returns after a pause may have come before it. A watch that began after
	// the pause has ended by then.
	awakeTime = WatchTimeout + 100*time.Millisecond
)

// awake knows how long the process has run without a pause.
type awake struct {
	timer timer.Timer

	mu sync.Mutex
	// seen is the time of the last sign, and since that of the end of the last pause.
	seen, since time.Duration
}

func newAwake(t timer.Timer) *awake {
	now := t.Now()
	return &awake{timer: t, seen: now, since: now}
}

// check records a sign and returns for how long the process has run.
func (a *awake) check() time.Duration {
	now := a.timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.seen > maxPause {
		a.since = now
	}
	a.seen = now
	return now - a.since
}

func (a *awake) run(ctx context.Context) error {
	timer.Every(ctx, a.timer, awakeInterval, func(time.Duration) { a.check() })
	return nil
}

// newVersions returns the memory of the software versions at which streams began.
func (d *Daemon) newVersions() *origin.Tracker {
	return &origin.Tracker{
		Self: d.Settings.VM, Timer: d.Timer, Log: d.Log, Peers: d.pool, Hubs: d.members.Hubs, Fresh: d.knowsVersions,
		Lifetime: d.streamLifetime, OnRelease: d.updateBoard,
	}
}

// knowsVersions reports whether this daemon knows all software versions that were registered
// origin.HoldTime ago or later.
func (d *Daemon) knowsVersions() bool {
	age, ok := d.copy.Age(d.Timer.Now(), d.Platform.EndpointPrefix)
	return ok && age <= maxUpdateAge && d.awake.check() >= awakeTime && !d.isStarting()
}

// isStarting reports whether this daemon has not read the fleet's own keys yet.
func (d *Daemon) isStarting() bool { return d.members.layout() == nil }

// streamLifetime returns how long after its beginning a stream may be taken up.
func (d *Daemon) streamLifetime() time.Duration {
	cat := d.config.Catalog()
	if cat == nil {
		return minStreamLifetime
	}
	longest, ok := cat.LongestTimeout()
	if !ok {
		return maxStreamLifetime
	}
	return min(max(longest+streamLifetimeMargin, minStreamLifetime), maxStreamLifetime)
}

// storesMixedVersions returns the place of this daemon among the writers of the key, from 0, or -1
// if it is none of them.
func (d *Daemon) storesMixedVersions() int {
	list := lease.Candidates(d.members.Hubs(), mixedVersionsKey, mixedVersionsWriters)
	if d.leaving.Load() {
		return -1
	}
	return slices.IndexFunc(list, func(v lagoonhead.VM) bool { return v.ID() == d.Settings.VM })
}

// mixedVersions keeps in the store which services have several software versions.
type mixedVersions struct {
	tracker *origin.Tracker
	store   lagoonhead.Store
	timer   timer.Timer
	log     *zap.Logger
	// place returns the place of this daemon among the writers of the key, or -1.
	place func() int
	// starting reports whether the fleet's own keys have not been read yet.
	starting func() bool

	mu sync.Mutex
	// stored holds the versions under the key, by service, as they were read last.
	stored map[string][]string
}

func (m *mixedVersions) run(ctx context.Context) error {
	timer.Every(ctx, m.timer, mixedVersionsInterval, func(time.Duration) {
		if err := m.write(ctx); err != nil {
			m.log.Warn("cannot store the services with several software versions", zap.Error(err))
		}
	})
	return nil
}

// write writes the key if it does not hold what this daemon knows.
func (m *mixedVersions) write(ctx context.Context) error {
	place := m.place()
	if place < 0 {
		return nil
	}
	list := m.tracker.Mixed()
	if place > 0 {
		list = m.withStored(m.tracker.Registered(list))
	}
	if m.isStored(list) {
		return nil
	}
	value, err := json.Marshal(list)
	if err != nil {
		return &Error{lagoonhead.Fault{Op: "entry.mixedVersions", Kind: lagoonhead.KindInternal, Err: err}}
	}
	old, err := m.store.Get(ctx, mixedVersionsKey)
	if err != nil && !lagoonhead.IsKind(err, lagoonhead.KindNotFound) {
		return err
	}
	_, err = m.store.Put(ctx, lagoonhead.PutRequest{Key: mixedVersionsKey, Value: value, IfRevision: old.Revision})
	return err
}

// withStored returns the versions in list and those under the key.
func (m *mixedVersions) withStored(list map[string][]string) map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, versions := range m.stored {
		all := append(list[service], versions...)
		slices.Sort(all)
		list[service] = slices.Compact(all)
	}
	return list
}

func (m *mixedVersions) isStored(list map[string][]string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.EqualFunc(m.stored, list, slices.Equal[[]string])
}

// read reads the value of the key, which is empty if the key is gone. A daemon that starts takes
// over what it says; later ones it hears from peers, with the time until which they count.
func (m *mixedVersions) read(value []byte) {
	list := make(map[string][]string)
	if len(value) > 0 {
		if err := json.Unmarshal(value, &list); err != nil {
			m.log.Error("cannot decode the services with several software versions", zap.Error(err))
			return
		}
	}
	m.mu.Lock()
	m.stored = list
	m.mu.Unlock()
	if m.starting() {
		m.tracker.Learn(list)
	}
}
