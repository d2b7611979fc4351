package entry

import (
	"encoding/json"
	"expvar"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/hub"
	"github.com/lagoonhead/lagoonhead/lease"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/steer"
)

// fleetPrefix is the prefix of the keys in which the daemons keep what all of them follow:
// presence entries, holders of duties and the slot table.
const fleetPrefix = "fleet/"

const (
	// memberPrefix is the prefix of the keys of presence entries; the VM identifier follows.
	memberPrefix = fleetPrefix + "vm/"
	// slotsKey is the key of the slot table of the limits.
	slotsKey = fleetPrefix + "slots"
)

// presence is the value of the entry in the store by which peers find a daemon.
type presence struct {
	FailureDomain lagoonhead.FailureDomain `json:"failureDomain"`
	PeerAddress   string                   `json:"peerAddress"`
	Incarnation   lagoonhead.Incarnation   `json:"incarnation"`
	// Cores is the processor time of the VM per second.
	Cores float64 `json:"cores"`
}

// layout is the division of the fleet into hubs and attached VMs, as it concerns this VM.
type layout struct {
	*hub.Layout
	// isHub is true if this VM is a hub, and flat if all are. isReader is true if it reads
	// the store for others.
	isHub, flat, isReader bool
	// order holds the hubs in the order in which this VM attaches itself to one.
	order []lagoonhead.VM
}

// members holds the VMs whose daemons have a presence entry in the store.
type members struct {
	self   lagoonhead.VMID
	domain lagoonhead.FailureDomain
	log    *zap.Logger
	// wall returns the wall time without short jumps.
	wall func() time.Time
	// slotsChanged is called when the slot table has changed.
	slotsChanged func()
	// refusedParts is called with the value of the key of the refused prompt parts, and
	// refusedPartsLost when the key is gone.
	refusedParts     func(value []byte)
	refusedPartsLost func()
	// mixedVersions is called with the value of the key of the services with several software
	// versions, which is empty when the key is gone.
	mixedVersions func(value []byte)
	// hubsChanged is called after a change of the hubs.
	hubsChanged func()
	// shares is told of the VMs. It may be nil.
	shares *coldShares
	// incarnation is that of this process, and restarted whether the entry of an earlier one of this
	// VM was seen.
	incarnation lagoonhead.Incarnation
	restarted   bool
	// seeds are the peers of the settings, with placeholders as identifiers.
	seeds []lagoonhead.VM

	mu sync.Mutex
	// vms holds the VMs by the key of their presence entry. Applied publishes them in
	// current if they have changed.
	vms     map[string]lagoonhead.VM
	changed bool
	current atomic.Pointer[layout]
	// era and eraSeen are explained at lastRestore.
	era     int64
	eraSeen time.Time
}

var _ mirror.Follower = (*members)(nil)

// layout returns the newest layout, or nil before the VMs are known.
func (m *members) layout() *layout { return m.current.Load() }

// VMs returns the newest list of VMs, or the seeds before the list is known.
func (m *members) VMs() []lagoonhead.VM {
	if l := m.layout(); l != nil {
		return l.VMs()
	}
	return m.seeds
}

// Hubs returns all hubs, or nothing before the VMs are known.
func (m *members) Hubs() []lagoonhead.VM {
	if l := m.layout(); l != nil {
		return l.Hubs()
	}
	return nil
}

// isHub reports whether this VM is a hub. Before the VMs are known it is one.
func (m *members) isHub() bool {
	l := m.layout()
	return l == nil || l.isHub
}

// isReader reports whether this VM reads the store for others. Before the VMs are known it
// does.
func (m *members) isReader() bool {
	l := m.layout()
	return l == nil || l.isReader
}

// isFlat reports whether all VMs are hubs.
func (m *members) isFlat() bool {
	l := m.layout()
	return l == nil || l.flat
}

// vars returns the number of VMs that are known, which is 0 before the list is.
func (m *members) vars() *expvar.Map {
	v := new(expvar.Map)
	v.Set("known", expvar.Func(func() any {
		if l := m.layout(); l != nil {
			return len(l.VMs())
		}
		return 0
	}))
	return v
}

// limitShare returns the share of this VM in a limit that an endpoint names, both in requests a
// second. While the VMs are not known it has none.
func (m *members) limitShare(e lagoonhead.EndpointID, perSecond float64) float64 {
	l := m.layout()
	if l == nil {
		return 0
	}
	holders := steer.LimitHolders(perSecond, len(l.VMs()))
	if !lease.IsCandidate(l.VMs(), m.self, "limit/"+string(e), holders) {
		return 0
	}
	return perSecond / float64(holders)
}

// Restored records when the era was first seen. A VM whose presence entry the store lost writes
// it again at once.
func (m *members) Restored(era int64, _ time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era, m.eraSeen = era, m.wall()
}

// lastRestore returns the era that the last restore has begun and the wall time at which it was
// seen, or 0 if this process has seen none.
func (m *members) lastRestore() (era int64, seen time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era, m.eraSeen
}

// Put adds a VM, or reports a change of the slot table, of the refused prompt parts or of the
// services with several software versions.
func (m *members) Put(e lagoonhead.Entry, _ mirror.Origin) {
	switch e.Key {
	case slotsKey:
		m.slotsChanged()
		return
	case refusedPartsKey:
		m.refusedParts(e.Value)
		return
	case mixedVersionsKey:
		m.mixedVersions(e.Value)
		return
	}
	name, ok := strings.CutPrefix(e.Key, memberPrefix)
	if !ok {
		return
	}
	var p presence
	if err := json.Unmarshal(e.Value, &p); err != nil {
		m.log.Error("cannot decode a presence entry", zap.String("key", e.Key), zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = true
	m.restarted = m.restarted || (lagoonhead.VMID(name) == m.self && p.Incarnation != m.incarnation)
	m.vms[e.Key] = lagoonhead.NewVM(lagoonhead.VMID(name), p.FailureDomain, p.PeerAddress, false).WithCapacity(p.Cores)
	m.log.Info("peer seen", zap.String("peer", name), zap.String("address", p.PeerAddress))
}

// Removed removes a VM, or reports that the key of the refused prompt parts or of the services
// with several software versions is gone.
func (m *members) Removed(key string, _ mirror.Origin) {
	switch key {
	case refusedPartsKey:
		m.refusedPartsLost()
		return
	case mixedVersionsKey:
		m.mixedVersions(nil)
		return
	}
	name, ok := strings.CutPrefix(key, memberPrefix)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = true
	delete(m.vms, key)
	m.log.Info("peer gone", zap.String("peer", name))
}

// Applied publishes the VMs.
func (m *members) Applied() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.changed {
		return
	}
	m.changed = false
	list := make([]lagoonhead.VM, 0, len(m.vms))
	for _, v := range m.vms {
		list = append(list, v)
	}
	l := &layout{Layout: hub.NewLayout(list)}
	l.isHub, l.flat, l.isReader = l.IsHub(m.self), l.IsFlat(), l.IsReader(m.self)
	l.order = l.Order(m.self, m.domain)
	if m.shares != nil {
		m.shares.changed(list, m.restarted)
	}
	former := m.Hubs()
	m.current.Store(l)
	sameID := func(a, b lagoonhead.VM) bool { return a.ID() == b.ID() }
	if m.hubsChanged != nil && !slices.EqualFunc(byID(former), byID(l.Hubs()), sameID) {
		m.hubsChanged()
	}
}

// byID returns VMs in the order of their identifiers.
func byID(list []lagoonhead.VM) []lagoonhead.VM {
	return slices.SortedFunc(slices.Values(list), func(a, b lagoonhead.VM) int { return strings.Compare(string(a.ID()), string(b.ID())) })
}

// Synced reports that the list matched the store; Applied has published it.
func (m *members) Synced(at time.Duration) {
	if m.shares != nil {
		m.shares.matched(at)
	}
}

// StoreLost does nothing; the last list stays in force.
func (m *members) StoreLost(time.Duration, error) {}
