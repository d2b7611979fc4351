package control

import (
	"fmt"
	"slices"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
)

// Sync updates a copy of an inventory to match the platform's list of endpoints. It
// returns the copy and a message for each change, or nil if nothing changes. An engine
// that the platform will reclaim is marked as leaving. An ordered engine that is ready
// is added, with slots, price and rates copied from an engine of the same model and,
// if there is one, the same supply. An ordered engine that is no longer listed is
// marked as leaving and removed in a later call. Engines that operators declared are
// never removed.
func Sync(inv *inventory.Inventory, list []lagoonhead.PlatformEndpoint) (*inventory.Inventory, []string) {
	s := syncer{inv: inv.Clone(), listed: make(map[lagoonhead.EndpointID]bool)}
	for _, e := range list {
		s.listed[e.ID] = true
		s.syncListed(e)
	}
	s.syncUnlisted()
	if len(s.changes) == 0 {
		return nil, nil
	}
	return s.inv, s.changes
}

// syncer is the state of one call of Sync.
type syncer struct {
	inv     *inventory.Inventory
	listed  map[lagoonhead.EndpointID]bool
	changes []string
}

func (s *syncer) addChange(format string, args ...any) {
	s.changes = append(s.changes, fmt.Sprintf(format, args...))
}

// syncListed handles an engine that the platform lists.
func (s *syncer) syncListed(e lagoonhead.PlatformEndpoint) {
	known := slices.ContainsFunc(s.inv.Engines, func(n inventory.Engine) bool { return n.ID == e.ID })
	switch {
	case known && e.Leaving:
		s.markLeaving(e.ID, "the platform reclaims it")
	case !known && e.Ready && !e.Leaving:
		s.addEngine(e)
	}
}

// markLeaving marks an engine as leaving unless it is marked already.
func (s *syncer) markLeaving(id lagoonhead.EndpointID, reason string) {
	if s.isLeaving(id) {
		return
	}
	if err := s.inv.SetLeaving(id, true); err == nil {
		s.addChange("engine %s is leaving: %s", id, reason)
	}
}

func (s *syncer) isLeaving(id lagoonhead.EndpointID) bool {
	return slices.ContainsFunc(s.inv.EndpointStates, func(st inventory.EndpointState) bool {
		return st.Endpoint == id && st.Leaving
	})
}

// addEngine adds a listed engine to the inventory, if its model and failure domain are
// known.
func (s *syncer) addEngine(e lagoonhead.PlatformEndpoint) {
	t, ok := s.template(e)
	if !ok || !s.hasDomain(e.FailureDomain) {
		return
	}
	t.ID = e.ID
	t.Address = e.Address
	t.FailureDomain = e.FailureDomain
	t.Supply = e.Supply
	t.OrderedByPlanner = true
	s.inv.Engines = append(s.inv.Engines, t)
	s.addChange("engine %s joins in failure domain %s", e.ID, e.FailureDomain)
}

// template returns an engine of the inventory with the same model and, if there is one,
// the same supply.
func (s *syncer) template(e lagoonhead.PlatformEndpoint) (t inventory.Engine, ok bool) {
	for _, n := range s.inv.Engines {
		if n.Model != e.Serves {
			continue
		}
		if n.Supply == e.Supply {
			return n, true
		}
		if !ok {
			t, ok = n, true
		}
	}
	return t, ok
}

func (s *syncer) hasDomain(d lagoonhead.FailureDomain) bool {
	return slices.ContainsFunc(s.inv.FailureDomains, func(f inventory.FailureDomain) bool { return f.ID == d })
}

// syncUnlisted marks ordered engines that the platform no longer lists as leaving, so
// that every daemon stops using them, and removes them in a later call of Sync.
func (s *syncer) syncUnlisted() {
	var unlisted []lagoonhead.EndpointID
	for _, n := range s.inv.Engines {
		if n.OrderedByPlanner && !s.listed[n.ID] {
			unlisted = append(unlisted, n.ID)
		}
	}
	for _, id := range unlisted {
		if !s.isLeaving(id) {
			s.markLeaving(id, "the platform no longer lists it")
			continue
		}
		if err := s.inv.RemoveEngine(id); err == nil {
			s.addChange("engine %s is removed: the platform no longer lists it", id)
		}
	}
}
