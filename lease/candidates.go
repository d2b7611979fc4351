package lease

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

// Candidates returns the n VMs that come first for a name by rendezvous hashing,
// best first. VMs that are leaving are passed over while others are left. All
// daemons with the same list agree on the answer.
func Candidates(vms []lagoonhead.VM, name string, n int) []lagoonhead.VM {
	type scored struct {
		vm    lagoonhead.VM
		score uint64
	}
	list := make([]scored, 0, len(vms))
	for _, v := range vms {
		list = append(list, scored{v, xxhash.Sum64String(name + "\x00" + string(v.ID()))})
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.vm.Leaving() != b.vm.Leaving() {
			return b.vm.Leaving()
		}
		if a.score != b.score {
			return a.score > b.score
		}
		return a.vm.ID() < b.vm.ID()
	})
	n = min(n, len(list))
	out := make([]lagoonhead.VM, 0, n)
	for _, s := range list[:n] {
		out = append(out, s.vm)
	}
	return out
}
