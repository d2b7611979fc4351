package origin

import (
	"strconv"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/lease"
)

const (
	// homeCount is the number of hubs that are told of a stream.
	homeCount = 2
	// firstAsked is the number of hubs that are asked at first: the homes, and those that were
	// homes if up to two hubs have joined since.
	firstAsked = 4
)

// order returns the hubs in the order in which they are homes of a stream: the first by rendezvous
// hashing, the next one in another failure domain if there is one, then the others.
func order(hubs []lagoonhead.VM, key uint64) []lagoonhead.VM {
	list := lease.Candidates(hubs, "stream/"+strconv.FormatUint(key, 16), len(hubs))
	for i := 1; i < len(list); i++ {
		if v := list[i]; v.FailureDomain() != list[0].FailureDomain() {
			copy(list[2:i+1], list[1:i])
			list[1] = v
			break
		}
	}
	return list
}

// homes returns the hubs that are told of a stream.
func homes(hubs []lagoonhead.VM, key uint64) []lagoonhead.VM {
	list := order(hubs, key)
	return list[:min(homeCount, len(list))]
}

// witness is the answer of one VM to an inquiry.
type witness struct {
	vm lagoonhead.VMID
	Answer
	// hub reports whether the VM is a hub, and fresh whether its copy of the registrations is
	// younger than HoldTime.
	hub, fresh bool
}

// inquiry decides from the answers of VMs at which version a stream began.
type inquiry struct {
	// hubs is the number of all hubs.
	hubs int

	found         *witness
	contradiction bool
	versions      map[string]bool
	// single is the number of hubs that have seen one version only, and fresh that of those
	// among them with a fresh copy.
	single, fresh int
}

// add takes an answer into account.
func (q *inquiry) add(w witness) {
	if w.Known {
		q.contradiction = q.contradiction || (q.found != nil && q.found.Software != w.Software)
		q.found = &w
		return
	}
	if q.versions == nil {
		q.versions = make(map[string]bool)
	}
	for _, v := range w.Versions {
		q.versions[v] = true
	}
	if !w.hub || len(w.Versions) != 1 {
		return
	}
	q.single++
	if w.fresh {
		q.fresh++
	}
}

// mixed reports whether several versions have been seen.
func (q *inquiry) mixed() bool { return len(q.versions) > 1 }

// decided reports whether further answers are not needed.
func (q *inquiry) decided() bool {
	return q.found != nil || (!q.mixed() && q.fresh > 0)
}

// result returns the version and where it is known from. ok is false if it is not known: no VM
// that answered knows the stream, and either there are several versions, or no hub has a fresh
// copy and most hubs do not say that there is one version only.
func (q *inquiry) result() (software, source string, ok bool) {
	if q.found != nil {
		return q.found.Software, string(q.found.vm), !q.contradiction
	}
	if len(q.versions) != 1 || (q.fresh == 0 && 2*q.single <= q.hubs) {
		return "", "", false
	}
	for v := range q.versions {
		software = v
	}
	return software, sourceOnly, true
}
