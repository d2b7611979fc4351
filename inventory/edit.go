package inventory

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonhead/lagoonhead"
)

// Clone returns a copy whose workspaces, keys and endpoint states can be changed
// without changing inv.
func (inv *Inventory) Clone() *Inventory {
	c := *inv
	c.Workspaces = slices.Clone(inv.Workspaces)
	for i := range c.Workspaces {
		c.Workspaces[i].Keys = slices.Clone(c.Workspaces[i].Keys)
	}
	c.EndpointStates = slices.Clone(inv.EndpointStates)
	return &c
}

func notFound(op, kind, id string) error {
	return &Error{lagoonhead.Fault{
		Op: op, Kind: lagoonhead.KindNotFound, Err: fmt.Errorf("%s %q is not in the inventory", kind, id),
	}}
}

func (inv *Inventory) hasEndpoint(e lagoonhead.EndpointID) bool {
	if slices.ContainsFunc(inv.Engines, func(n Engine) bool { return n.ID == e }) {
		return true
	}
	for _, s := range inv.Services {
		if slices.ContainsFunc(s.Endpoints, func(p ServiceEndpoint) bool { return p.ID == e }) {
			return true
		}
	}
	return false
}

// setState applies change to the state of an endpoint and removes the state if it is
// then empty.
func (inv *Inventory) setState(op string, e lagoonhead.EndpointID, change func(*EndpointState)) error {
	if !inv.hasEndpoint(e) {
		return notFound(op, "endpoint", string(e))
	}
	i := slices.IndexFunc(inv.EndpointStates, func(s EndpointState) bool { return s.Endpoint == e })
	if i < 0 {
		i = len(inv.EndpointStates)
		inv.EndpointStates = append(inv.EndpointStates, EndpointState{Endpoint: e})
	}
	change(&inv.EndpointStates[i])
	if inv.EndpointStates[i] == (EndpointState{Endpoint: e}) {
		inv.EndpointStates = slices.Delete(inv.EndpointStates, i, i+1)
	}
	return nil
}

// SetLeaving marks an endpoint to be drained, or puts it back into service. It
// returns an error of KindNotFound when there is no such endpoint.
func (inv *Inventory) SetLeaving(e lagoonhead.EndpointID, leaving bool) error {
	return inv.setState("inventory.setLeaving", e, func(s *EndpointState) { s.Leaving = leaving })
}

// SetChanging sets or clears the mark of an endpoint whose role is being changed. It
// returns an error of KindNotFound when there is no such endpoint.
func (inv *Inventory) SetChanging(e lagoonhead.EndpointID, changing bool) error {
	return inv.setState("inventory.setChanging", e, func(s *EndpointState) { s.Changing = changing })
}

// SetDesiredRole sets the desired role of an engine; an empty role means the role in
// its Engine entry. It returns an error of KindNotFound when there is no such engine.
func (inv *Inventory) SetDesiredRole(e lagoonhead.EndpointID, r lagoonhead.Role) error {
	const op = "inventory.setWantedRole"
	if !slices.ContainsFunc(inv.Engines, func(n Engine) bool { return n.ID == e }) {
		return notFound(op, "engine", string(e))
	}
	return inv.setState(op, e, func(s *EndpointState) { s.Role = r })
}

// AddKey adds a key to a workspace. It returns an error of KindNotFound when there
// is no such workspace.
func (inv *Inventory) AddKey(w lagoonhead.WorkspaceID, k Key) error {
	i := slices.IndexFunc(inv.Workspaces, func(o Workspace) bool { return o.ID == w })
	if i < 0 {
		return notFound("inventory.addKey", "workspace", string(w))
	}
	inv.Workspaces[i].Keys = append(inv.Workspaces[i].Keys, k)
	return nil
}

// WithdrawKey removes a key and returns the workspace that it belonged to. It
// returns an error of KindNotFound when there is no such key.
func (inv *Inventory) WithdrawKey(id string) (lagoonhead.WorkspaceID, error) {
	for i := range inv.Workspaces {
		w := &inv.Workspaces[i]
		if j := slices.IndexFunc(w.Keys, func(k Key) bool { return k.ID == id }); j >= 0 {
			w.Keys = slices.Delete(w.Keys, j, j+1)
			return w.ID, nil
		}
	}
	return "", notFound("inventory.withdrawKey", "key", id)
}

// Normalize returns a copy whose engines, services, workspaces and endpoint states
// are sorted by identifier. The order of the other lists is kept.
func (inv *Inventory) Normalize() *Inventory {
	c := *inv
	c.Engines = sorted(inv.Engines, func(e Engine) string { return string(e.ID) })
	c.Services = sorted(inv.Services, func(s Service) string { return s.ID })
	c.Workspaces = sorted(inv.Workspaces, func(w Workspace) string { return string(w.ID) })
	c.EndpointStates = sorted(inv.EndpointStates, func(s EndpointState) string { return string(s.Endpoint) })
	return &c
}

func sorted[T any](s []T, id func(T) string) []T {
	c := slices.Clone(s)
	slices.SortFunc(c, func(a, b T) int { return strings.Compare(id(a), id(b)) })
	return c
}

// RemoveEngine removes an engine and its state. It returns an error of KindNotFound
// when there is no such engine.
func (inv *Inventory) RemoveEngine(e lagoonhead.EndpointID) error {
	i := slices.IndexFunc(inv.Engines, func(n Engine) bool { return n.ID == e })
	if i < 0 {
		return notFound("inventory.removeEngine", "engine", string(e))
	}
	inv.Engines = slices.Delete(inv.Engines, i, i+1)
	inv.EndpointStates = slices.DeleteFunc(inv.EndpointStates, func(s EndpointState) bool { return s.Endpoint == e })
	return nil
}
