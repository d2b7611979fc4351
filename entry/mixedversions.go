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
	// minStreamLifetime is the time for which a stream may at least be taken up after its
	// beginning. The longest timeout of a route in the deployments is 10 s.
	minStreamLifetime = time.Minute
	// maxStreamLifetime is that time if a route sets no timeout, and the maximum.
	maxStreamLifetime = 10 * time.Minute
	// streamLifetimeMargin is for the time that a caller takes to come back, and for VMs that
	// hear late that a version has gone.
	streamLifetimeMargin = 10 * time.Second
)

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
	return ok && age <= maxUpdateAge && !d.isStarting()
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

// storesMixedVersions reports whether this daemon writes the key. Only one does: two that see a
// version go at different times would undo each other's writes.
func (d *Daemon) storesMixedVersions() bool {
	return !d.leaving.Load() && lease.IsCandidate(d.members.Hubs(), d.Settings.VM, mixedVersionsKey, 1)
}

// mixedVersions keeps in the store which services have several software versions.
type mixedVersions struct {
	tracker *origin.Tracker
	store   lagoonhead.Store
	timer   timer.Timer
	log     *zap.Logger
	// writes reports whether this daemon writes the key.
	writes func() bool
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
	if !m.writes() {
		return nil
	}
	list := m.tracker.Mixed()
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
