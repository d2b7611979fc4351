package entry

import (
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/roster"
	"github.com/lagoonhead/lagoonhead/timer"
)

var (
	_ mirror.Follower = (*configuration)(nil)
	_ mirror.Follower = (*endpoints)(nil)
	_ mirror.Follower = (*members)(nil)
)

// configuration holds the newest configuration received. An older version never replaces
// a newer one.
type configuration struct {
	decode func([]byte) (*catalog.Catalog, error)
	log    *zap.Logger
	// changed is called after each change.
	changed func()

	mu      sync.Mutex
	raw     []byte
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

// value returns the newest configuration as operators wrote it, and its version.
func (c *configuration) value() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw, c.version()
}

// apply puts a configuration from the store or a peer in force if it is newer. source
// names its origin in the log.
func (c *configuration) apply(raw []byte, source string) {
	cat, err := c.decode(raw)
	if err != nil {
		c.log.Error("configuration cannot be read", zap.String("source", source), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.version()
	if cat.Version() <= old {
		return
	}
	c.raw = raw
	c.current.Store(cat)
	c.log.Info("configuration in force", zap.Int64("version", cat.Version()), zap.Int64("former", old), zap.String("source", source))
	c.changed()
}

// Put applies the store's entry of the configuration.
func (c *configuration) Put(e lagoonhead.Entry) { c.apply(e.Value, "store") }

// Removed does nothing: operators never delete the configuration, so the last one stays in
// force.
func (c *configuration) Removed(string) {}

// Synced does nothing; a configuration stays in force whatever its age.
func (c *configuration) Synced(time.Duration) {}

// StoreLost does nothing; the last configuration stays in force.
func (c *configuration) StoreLost(time.Duration, error) {}

// endpoints holds the live endpoints, as registered in the store.
type endpoints struct {
	decode func(key string, value []byte) (lagoonhead.Endpoint, error)
	timer  timer.Timer
	log    *zap.Logger
	roster *roster.Roster
	// changed is called after the list of endpoints has changed.
	changed func()

	// listed is true once all registrations have been read from the store.
	listed atomic.Bool
	mu     sync.Mutex
	// raw holds the registrations as written, by key.
	raw map[string][]byte
	// notified is the version of the roster at the last call of changed.
	notified int64
}

func (p *endpoints) Put(e lagoonhead.Entry) {
	v, err := p.decode(e.Key, e.Value)
	if err != nil {
		p.roster.Unreadable(e.Key)
		p.log.Warn("registration cannot be used", zap.Error(err))
		return
	}
	p.mu.Lock()
	p.raw[e.Key] = e.Value
	p.mu.Unlock()
	p.roster.Put(e.Key, v)
	p.log.Info("endpoint registered", zap.String("endpoint", string(v.ID())), zap.String("service", v.Serves()),
		zap.String("role", string(v.Role())), zap.Bool("leaving", v.Leaving()), zap.String("supply", string(v.Supply())),
		zap.String("failureDomain", string(v.FailureDomain())), zap.String("address", v.Address()))
}

func (p *endpoints) Removed(key string) {
	p.roster.Removed(p.timer.Now(), key)
	p.mu.Lock()
	delete(p.raw, key)
	p.mu.Unlock()
	p.log.Info("registration removed", zap.String("key", key))
}

func (p *endpoints) Synced(at time.Duration) {
	p.roster.Synced(at)
	p.listed.Store(true)
	p.notify()
}

func (p *endpoints) StoreLost(time.Duration, error) { p.roster.StoreLost() }

// addFromPeer adds an endpoint from a registration that a peer has.
func (p *endpoints) addFromPeer(key string, value []byte) {
	v, err := p.decode(key, value)
	if err != nil {
		return // the peer itself logs the error
	}
	p.roster.Seed(key, v)
}

// values returns the registrations as the endpoints wrote them.
func (p *endpoints) values() map[string][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.raw)
}

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
		p.notify()
	}
}

// presence is the value of the entry in the store by which peers find a daemon.
type presence struct {
	FailureDomain lagoonhead.FailureDomain `json:"failureDomain"`
	PeerAddress   string                   `json:"peerAddress"`
	Incarnation   lagoonhead.Incarnation   `json:"incarnation"`
}

// memberPrefix is the prefix of the keys of presence entries; the VM identifier follows.
const memberPrefix = "vm/"

// members holds the VMs whose daemons have a presence entry in the store.
type members struct {
	log *zap.Logger
	// seeds are the peers of the settings, with placeholders as identifiers.
	seeds []lagoonhead.VM

	mu sync.Mutex
	// vms holds the VMs by the key of their presence entry. Synced publishes them in
	// list.
	vms  map[string]lagoonhead.VM
	list atomic.Pointer[[]lagoonhead.VM]
}

// VMs returns the newest list of VMs, or the seeds before the store has been read.
func (m *members) VMs() []lagoonhead.VM {
	if l := m.list.Load(); l != nil {
		return *l
	}
	return m.seeds
}

func (m *members) Put(e lagoonhead.Entry) {
	var p presence
	if err := json.Unmarshal(e.Value, &p); err != nil {
		m.log.Error("cannot decode a presence entry", zap.String("key", e.Key), zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[e.Key] = lagoonhead.NewVM(lagoonhead.VMID(e.Key[len(memberPrefix):]), p.FailureDomain, p.PeerAddress, false)
	m.log.Info("peer seen", zap.String("peer", e.Key[len(memberPrefix):]), zap.String("address", p.PeerAddress))
}

func (m *members) Removed(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.vms, key)
	m.log.Info("peer gone", zap.String("peer", key[len(memberPrefix):]))
}

func (m *members) Synced(time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]lagoonhead.VM, 0, len(m.vms))
	for _, v := range m.vms {
		list = append(list, v)
	}
	m.list.Store(&list)
}

func (m *members) StoreLost(time.Duration, error) {}
