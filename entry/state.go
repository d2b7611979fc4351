package entry

import (
	"bytes"
	"expvar"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/peer"
	"github.com/lagoonhead/lagoonhead/roster"
	"github.com/lagoonhead/lagoonhead/timer"
)

var (
	_ mirror.Follower = (*configuration)(nil)
	_ mirror.Follower = (*endpoints)(nil)
	_ mirror.Follower = (*members)(nil)

	_ lagoonhead.DepartureTracker = (*endpoints)(nil)
)

// configuration holds the newest configuration received. An older version never replaces
// a newer one.
type configuration struct {
	decode func([]byte) (*catalog.Catalog, error)
	log    *zap.Logger
	// changed is called after each change.
	changed func()

	mu      sync.Mutex
	current atomic.Pointer[catalog.Catalog]
}

// Catalog returns the newest catalogue, or nil before the first configuration.
func (c *configuration) Catalog() *catalog.Catalog { return c.current.Load() }

// version returns the version in force, or 0 before the first configuration.
func (c *configuration) version() int64 {
	if cat := c.Catalog(); cat != nil {
		return cat.Version()
	}
	return 0
}

// Restored logs that the store has come back from a copy. The configuration in force stays until
// a newer version is written.
func (c *configuration) Restored(era int64, _ time.Duration) {
	c.log.Warn("store restored from a copy", zap.Int64("era", era), zap.Int64("version", c.version()))
}

// Put puts a configuration in force if it is newer.
func (c *configuration) Put(e lagoonhead.Entry, _ mirror.Origin) {
	cat, err := c.decode(e.Value)
	if err != nil {
		c.log.Error("configuration cannot be read", zap.Int64("storeRevision", lagoonhead.NumberOf(e.Revision)), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.version()
	if cat.Version() <= old {
		return
	}
	c.current.Store(cat)
	c.log.Info("configuration in force", zap.Int64("version", cat.Version()), zap.Int64("former", old),
		zap.Int64("storeRevision", lagoonhead.NumberOf(e.Revision)), zap.Int64("storeEra", lagoonhead.EraOf(e.Revision)))
	c.changed()
}

// Removed does nothing: operators never delete the configuration, so the last one stays in
// force.
func (c *configuration) Removed(string, mirror.Origin) {}

// Applied does nothing; Put puts a configuration in force at once.
func (c *configuration) Applied() {}

// Synced does nothing; a configuration stays in force whatever its age.
func (c *configuration) Synced(time.Duration) {}

// StoreLost does nothing; the last configuration stays in force.
func (c *configuration) StoreLost(time.Duration, error) {}

// endpoints holds the live endpoints, as registered in the store.
type endpoints struct {
	// prefix is the prefix of the keys of registrations, behind which is the endpoint's ID.
	prefix string
	decode func(key string, value []byte) (lagoonhead.Endpoint, error)
	// regions holds the regions of the failure domains.
	regions map[lagoonhead.FailureDomain]string
	timer   timer.Timer
	log     *zap.Logger
	roster  *roster.Roster
	// departureHold is how long departures from before a restore of the store hold after it.
	departureHold time.Duration
	// changed is called after the list of endpoints has changed.
	changed func()

	// cold holds the entries that say that their endpoints stay cold. It is used by the methods of
	// mirror.Follower only, which are called one at a time.
	cold map[string]coldEntry

	mu sync.Mutex
	// notified is the version of the roster at the last call of changed.
	notified int64
	// put is true once an endpoint was reported, and syncedAt the time since boot at which the store
	// was first known to be reachable, or 0.
	put      atomic.Bool
	syncedAt atomic.Int64
}

// Restored keeps endpoints that have left, or said that they leave, out of use although the copy
// of the store has them as they were.
func (p *endpoints) Restored(_ int64, at time.Duration) { p.roster.Restored(at, p.departureHold) }

func (p *endpoints) Put(e lagoonhead.Entry, o mirror.Origin) {
	v, err := p.decode(e.Key, e.Value)
	if err != nil {
		p.roster.Unreadable(e.Key)
		p.log.Warn("registration cannot be used", zap.Error(err))
		return
	}
	v = v.WithRegion(p.regions[v.FailureDomain()])
	v = v.WithColdUntil(p.coldUntil(e, v.ColdFor()))
	p.roster.Put(e.Key, v)
	p.log.Info("endpoint registered", zap.String("endpoint", string(v.ID())), zap.String("service", v.Serves()), zap.String("software", v.Software()),
		zap.String("role", string(v.Role())), zap.Bool("leaving", v.Leaving()), zap.String("supply", string(v.Supply())),
		zap.String("failureDomain", string(v.FailureDomain())), zap.String("address", v.Address()), originField(o))
}

// originField returns the log field of the origin of a change.
func originField(o mirror.Origin) zap.Field {
	return zap.Dict("origin", zap.String("peer", string(o.Peer)), zap.Int64("revision", lagoonhead.NumberOf(o.Revision)),
		zap.Int64("state", lagoonhead.NumberOf(o.State)))
}

// coldEntry is the entry of an endpoint that said that it stays cold, until until.
type coldEntry struct {
	entry lagoonhead.Entry
	until time.Duration
}

// coldUntil returns the time until which an endpoint is cold whose entry says that it stays cold for d.
// An entry that a restored copy of the store has as it was before was not written anew.
func (p *endpoints) coldUntil(e lagoonhead.Entry, d time.Duration) time.Duration {
	if d <= 0 {
		delete(p.cold, e.Key)
		return 0
	}
	until := p.timer.Now() + d
	if o, ok := p.cold[e.Key]; ok && lagoonhead.EraOf(o.entry.Revision) < lagoonhead.EraOf(e.Revision) && bytes.Equal(o.entry.Value, e.Value) {
		until = o.until
	}
	if p.cold == nil {
		p.cold = make(map[string]coldEntry)
	}
	p.cold[e.Key] = coldEntry{e, until}
	return until
}

func (p *endpoints) Removed(key string, o mirror.Origin) {
	delete(p.cold, key)
	kept := p.roster.Removed(p.timer.Now(), key)
	p.log.Info("registration removed", zap.String("key", key), zap.Bool("kept", kept), originField(o))
}

// RecordLeaving keeps a process of an endpoint out of use that has said in a response that it
// leaves.
func (p *endpoints) RecordLeaving(e lagoonhead.Endpoint) bool {
	return p.recordLeaving(e.ID(), e.Incarnation())
}

func (p *endpoints) recordLeaving(id lagoonhead.EndpointID, in lagoonhead.Incarnation) bool {
	if !p.roster.RecordLeaving(p.prefix+string(id), in) {
		return false
	}
	p.notify()
	return true
}

// departures returns the processes that have said that they leave, to tell peers of them. A
// process that is not registered any more is left out, so that what is said of it ends.
func (p *endpoints) departures() (list []*peer.Departure) {
	for key, in := range p.roster.Departing() {
		list = append(list, &peer.Departure{Endpoint: strings.TrimPrefix(key, p.prefix), Incarnation: string(in)})
	}
	return list
}

// vars returns the number of registered endpoints that have said that they leave.
func (p *endpoints) vars() *expvar.Map {
	v := new(expvar.Map)
	v.Set("leaving", expvar.Func(func() any { return len(p.roster.Departing()) }))
	return v
}

// mergeDepartures takes over what a peer tells of processes that leave.
func (p *endpoints) mergeDepartures(vm lagoonhead.VMID, list []*peer.Departure) {
	for _, d := range list {
		if p.recordLeaving(lagoonhead.EndpointID(d.GetEndpoint()), lagoonhead.Incarnation(d.GetIncarnation())) {
			p.log.Info("endpoint leaves", zap.String("endpoint", d.GetEndpoint()), zap.String("incarnation", d.GetIncarnation()),
				zap.String("peer", string(vm)))
		}
	}
}

// Applied reports the changes of the list.
func (p *endpoints) Applied() {
	p.notify()
	p.put.Store(true)
}

// Synced reports to the roster that the store is reachable; Applied has reported the changes.
func (p *endpoints) Synced(at time.Duration) {
	p.roster.Synced(at)
	p.syncedAt.CompareAndSwap(0, int64(at))
}

// firstListTime is the time after the first response of the store within which the first list of
// registrations has come.
const firstListTime = 2 * time.Second

// isStarting reports whether the endpoints that are reported may be those of the first list. A
// response to another call may come before it, and it may be empty.
func (p *endpoints) isStarting() bool {
	at := time.Duration(p.syncedAt.Load())
	return at == 0 || (!p.put.Load() && p.timer.Now()-at < firstListTime)
}

func (p *endpoints) StoreLost(time.Duration, error) { p.roster.StoreLost() }

// notify calls changed if the roster has changed since the last call.
func (p *endpoints) notify() {
	version := p.roster.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.notified {
		return
	}
	p.notified = version
	p.changed()
}

// removeLapsed removes the endpoints that did not register again after an outage of the
// store.
func (p *endpoints) removeLapsed() {
	if n := p.roster.RemoveMissing(p.timer.Now()); n > 0 {
		p.log.Info("endpoints did not come back with the store", zap.Int("count", n))
	}
	p.notify()
}
