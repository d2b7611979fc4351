package config

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Acceptance tells when a majority of the listed VMs holds a revision. It is pure.
//
// All of the majority must hold the revision at one moment. A VM that confirmed
// and was then replaced by a new process may have joined again with an older
// revision, so that counting answers of different times could count VMs that have
// forgotten. Two answers of one process, the first received before the moment and
// the second asked for after it, show that it held the revision at that moment.
type Acceptance struct {
	revision int64
	holding  map[lagoonhead.VMID]holding
}

// holding is the time during which one process certainly held the revision.
type holding struct {
	incarnation lagoonhead.Incarnation
	from, to    time.Duration
}

// NewAcceptance returns the acceptance of a revision that nobody has confirmed.
func NewAcceptance(revision int64) *Acceptance {
	return &Acceptance{revision: revision, holding: make(map[lagoonhead.VMID]holding)}
}

// Answer takes the revision that a VM has in force, from an answer to a request
// that was sent and answered at the given times.
func (a *Acceptance) Answer(vm lagoonhead.VMID, in lagoonhead.Incarnation, revision int64, sent, received time.Duration) {
	h, ok := a.holding[vm]
	same := ok && h.incarnation == in
	switch {
	case revision < a.revision && !same:
		delete(a.holding, vm)
	case revision < a.revision:
		// The answer crossed a later one.
	case !same:
		a.holding[vm] = holding{incarnation: in, from: received, to: sent}
	default:
		h.from, h.to = min(h.from, received), max(h.to, sent)
		a.holding[vm] = h
	}
}

// Accepted reports whether a majority of the listed VMs held the revision at one
// moment.
func (a *Acceptance) Accepted(listed []lagoonhead.VMID) bool {
	for _, vm := range listed {
		h, ok := a.holding[vm]
		if ok && a.countAt(listed, h.from) >= Majority(len(listed)) {
			return true
		}
	}
	return false
}

func (a *Acceptance) countAt(listed []lagoonhead.VMID, at time.Duration) int {
	n := 0
	for _, vm := range listed {
		if h, ok := a.holding[vm]; ok && h.from <= at && at <= h.to {
			n++
		}
	}
	return n
}

// Split divides the listed VMs into those that have confirmed the revision and the
// others.
func (a *Acceptance) Split(listed []lagoonhead.VMID) (confirmed, unconfirmed []lagoonhead.VMID) {
	for _, vm := range listed {
		if _, ok := a.holding[vm]; ok {
			confirmed = append(confirmed, vm)
		} else {
			unconfirmed = append(unconfirmed, vm)
		}
	}
	return confirmed, unconfirmed
}
