package hub

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// MaxFlat is the size of the largest fleet in which every VM is a hub.
	MaxFlat = 12
	// minPerDomain is the number of hubs of a failure domain, so that one can fail.
	minPerDomain = 2
	// maxAttached is the number of VMs of a failure domain for each hub. It bounds the
	// heartbeats that a hub answers.
	maxAttached = 32
	// maxReaders is the number of hubs of a large fleet that read the store for all. They
	// are in different failure domains if there are as many.
	maxReaders = 4
)

// Layout is the division of a fleet into hubs and attached VMs. The zero value has no VM.
type Layout struct {
	vms     []lagoonhead.VM
	hubs    []lagoonhead.VM
	readers []lagoonhead.VM
}

// NewLayout chooses the hubs among vms. The VMs with the largest capacity come first, then
// those with the highest rendezvous hash, so all daemons with the same list choose the same
// hubs, and few change when a VM joins or leaves.
func NewLayout(vms []lagoonhead.VM) *Layout {
	l := &Layout{vms: vms}
	domains := make(map[lagoonhead.FailureDomain][]lagoonhead.VM)
	for _, v := range vms {
		domains[v.FailureDomain()] = append(domains[v.FailureDomain()], v)
	}
	var first, others []lagoonhead.VM // hubs of each domain
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		list := rank(domains[d], string(d))
		n := len(list)
		if len(vms) > MaxFlat {
			n = min(n, max(minPerDomain, (n+maxAttached-1)/maxAttached))
		}
		l.hubs = append(l.hubs, list[:n]...)
		first = append(first, list[0])
		others = append(others, list[1:n]...)
	}
	l.readers = l.hubs
	if !l.IsFlat() {
		l.readers = append(rank(first, "readers"), rank(others, "readers")...)
		l.readers = l.readers[:min(maxReaders, len(l.readers))]
	}
	return l
}

// rank returns VMs in the order in which they become hubs for a name.
func rank(list []lagoonhead.VM, name string) []lagoonhead.VM {
	ranked := slices.Clone(list)
	score := func(v lagoonhead.VM) uint64 { return xxhash.Sum64String(name + "\x00" + string(v.ID())) }
	slices.SortFunc(ranked, func(a, b lagoonhead.VM) int {
		if a.Leaving() != b.Leaving() {
			if a.Leaving() {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.Capacity(), a.Capacity()), cmp.Compare(score(b), score(a)), cmp.Compare(a.ID(), b.ID()))
	})
	return ranked
}

// VMs returns all VMs of the fleet.
func (l *Layout) VMs() []lagoonhead.VM { return l.vms }

// Hubs returns all hubs.
func (l *Layout) Hubs() []lagoonhead.VM { return l.hubs }

// IsReader reports whether a VM reads the store for the others.
func (l *Layout) IsReader(id lagoonhead.VMID) bool { return contains(l.readers, id) }

// IsFlat reports whether every VM is a hub.
func (l *Layout) IsFlat() bool { return len(l.hubs) == len(l.vms) }

// IsHub reports whether a VM is a hub.
func (l *Layout) IsHub(id lagoonhead.VMID) bool { return contains(l.hubs, id) }

// Order returns the hubs to which a VM attaches itself, in order of preference: those of its
// failure domain, then the others. The VMs of a domain are spread over its hubs.
func (l *Layout) Order(id lagoonhead.VMID, d lagoonhead.FailureDomain) []lagoonhead.VM {
	var near, far []lagoonhead.VM
	for _, v := range l.hubs {
		if v.FailureDomain() == d {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	byHash := func(list []lagoonhead.VM) {
		score := func(v lagoonhead.VM) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(v.ID())) }
		slices.SortFunc(list, func(a, b lagoonhead.VM) int { return cmp.Compare(score(b), score(a)) })
	}
	byHash(near)
	byHash(far)
	return append(near, far...)
}

func contains(list []lagoonhead.VM, id lagoonhead.VMID) bool {
	return slices.ContainsFunc(list, func(v lagoonhead.VM) bool { return v.ID() == id })
}
