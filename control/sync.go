package control

import (
	"fmt"
	"slices"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/inventory"
)

// Sync brings an inventory in line with what the platform runs and returns the
// changed copy with one line for each change, or nil when nothing changes. An engine
// that the platform will reclaim is marked as leaving. An ordered engine that is
// ready joins, with slots, price and rates of an engine of the same model and
// supply; one that is gone leaves the inventory. Engines that operators declared are
// never removed.
func Sync(inv *inventory.Inventory, list []lagoonhead.PlatformEndpoint) (*inventory.Inventory, []string) {
	s := syncer{inv: inv.Clone(), listed: make(map[lagoonhead.EndpointID]bool)}
	for _, e := range list {
		s.listed[e.ID] = true
		s.present(e)
	}
	s.absent()
	if len(s.changes) == 0 {
		return nil, nil
	}
	return s.inv, s.changes
}

type syncer struct {
	inv     *inventory.Inventory
	listed  map[lagoonhead.EndpointID]bool
	changes []string
}

func (s *syncer) changed(format string, args ...any) {
	s.changes = append(s.changes, fmt.Sprintf(format, args...))
}

func (s *syncer) present(e lagoonhead.PlatformEndpoint) {
	known := slices.ContainsFunc(s.inv.Engines, func(n inventory.Engine) bool { return n.ID == e.ID })
	switch {
	case known && e.Leaving:
		s.leave(e.ID, "the platform reclaims it")
	case !known && e.Ready && !e.Leaving:
		s.join(e)
	}
}

func (s *syncer) leave(id lagoonhead.EndpointID, why string) {
	if s.leaving(id) {
		return
	}
	if err := s.inv.SetLeaving(id, true); err == nil {
		s.changed("engine %s is leaving: %s", id, why)
	}
}

func (s *syncer) leaving(id lagoonhead.EndpointID) bool {
	return slices.ContainsFunc(s.inv.EndpointStates, func(st inventory.EndpointState) bool {
		return st.Endpoint == id && st.Leaving
	})
}

func (s *syncer) join(e lagoonhead.PlatformEndpoint) {
	t, ok := s.template(e)
	if !ok || !s.hasDomain(e.FailureDomain) {
		return
	}
	t.ID = e.ID
	t.Address = e.Address
	t.FailureDomain = e.FailureDomain
	t.Supply = e.Supply
	t.Ordered = true
	s.inv.Engines = append(s.inv.Engines, t)
	s.changed("engine %s joins in failure domain %s", e.ID, e.FailureDomain)
}

// template returns an engine of the same model, of the same supply if there is one.
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

// absent marks ordered engines that the platform no longer lists as leaving first,
// so that every daemon stops using them, and removes them the next time.
func (s *syncer) absent() {
	var gone []lagoonhead.EndpointID
	for _, n := range s.inv.Engines {
		if n.Ordered && !s.listed[n.ID] {
			gone = append(gone, n.ID)
		}
	}
	for _, id := range gone {
		if !s.leaving(id) {
			s.leave(id, "the platform no longer lists it")
			continue
		}
		if err := s.inv.RemoveEngine(id); err == nil {
			s.changed("engine %s is removed: the platform no longer lists it", id)
		}
	}
}
