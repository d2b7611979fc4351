package lease

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

// Candidates returns the first n VMs for a name in the order of rendezvous hashing.
// VMs that are leaving come after all others. The result is the same on all daemons with
// the same set of VMs.
func Candidates(vms []lagoonhead.VM, name string, n int) []lagoonhead.VM {
	seed := xxhash.Sum64String(name)
	list := make([]ranked, 0, len(vms))
	for _, v := range vms {
		list = append(list, rank(seed, v))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	n = min(n, len(list))
	out := make([]lagoonhead.VM, 0, n)
	for _, r := range list[:n] {
		out = append(out, r.vm)
	}
	return out
}

// IsCandidate reports whether self is among Candidates(vms, name, n). It stops once it
// has found n VMs that come before self, so for most names it hashes only a few VMs.
func IsCandidate(vms []lagoonhead.VM, self lagoonhead.VMID, name string, n int) bool {
	for _, v := range vms {
		if v.ID() == self {
			return isCandidate(vms, v, name, n)
		}
	}
	return false
}

func isCandidate(vms []lagoonhead.VM, self lagoonhead.VM, name string, n int) bool {
	seed := xxhash.Sum64String(name)
	own := rank(seed, self)
	better := 0
	for _, v := range vms {
		if v.ID() != self.ID() && rank(seed, v).before(own) {
			better++
		}
		if better >= n {
			return false
		}
	}
	return true
}

// ranked is a VM with its rendezvous hash for one name.
type ranked struct {
	vm    lagoonhead.VM
	score uint64
}

func rank(seed uint64, v lagoonhead.VM) ranked {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(string(v.ID())) // WriteString never fails
	return ranked{v, d.Sum64()}
}

func (r ranked) before(o ranked) bool {
	if r.vm.Leaving() != o.vm.Leaving() {
		return o.vm.Leaving()
	}
	if r.score != o.score {
		return r.score > o.score
	}
	return r.vm.ID() < o.vm.ID()
}
