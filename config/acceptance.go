package config

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Acceptance determines whether a majority of the listed VMs has a revision, or a newer
// one, in force. It does no I/O and reads no clock.
//
// All VMs of the majority must have the revision in force at the same moment. A
// daemon that restarts after its confirmation may come back with an older revision,
// so adding up confirmations of different moments could count VMs that have lost the
// revision. A process had the revision in force at a moment if it confirmed it in two
// answers, one received before that moment and one requested after it.
type Acceptance struct {
	revision  int64
	intervals map[lagoonhead.VMID]interval
}

// interval is the time in which one process certainly had the revision in force. It
// is empty, with to before from, until a second answer whose request was sent after the
// first one was received.
type interval struct {
	incarnation lagoonhead.Incarnation
	from, to    time.Duration
}

// NewAcceptance returns the state of a revision that no VM has confirmed yet.
func NewAcceptance(revision int64) *Acceptance {
	return &Acceptance{revision: revision, intervals: make(map[lagoonhead.VMID]interval)}
}

// RecordAnswer records the revision that a VM reported as in force. The times are those at
// which the request was sent and its answer was received.
func (a *Acceptance) RecordAnswer(vm lagoonhead.VMID, in lagoonhead.Incarnation, revision int64, sent, received time.Duration) {
	iv, ok := a.intervals[vm]
	same := ok && iv.incarnation == in
	switch {
	case revision < a.revision && !same:
		delete(a.intervals, vm)
	case revision < a.revision:
		// Answers arrived out of order: an earlier one has already confirmed the
		// revision, and within one process the revision in force never decreases.
	case !same:
		a.intervals[vm] = interval{incarnation: in, from: received, to: sent}
	default:
		iv.from, iv.to = min(iv.from, received), max(iv.to, sent)
		a.intervals[vm] = iv
	}
}

// Accepted reports whether there is a moment at which a majority of the listed VMs
// had the revision in force.
func (a *Acceptance) Accepted(listed []lagoonhead.VMID) bool {
	for _, vm := range listed {
		iv, ok := a.intervals[vm]
		if ok && a.countAt(listed, iv.from) >= Majority(len(listed)) {
			return true
		}
	}
	return false
}

// countAt returns the number of listed VMs that had the revision in force at the
// given time.
func (a *Acceptance) countAt(listed []lagoonhead.VMID, at time.Duration) int {
	n := 0
	for _, vm := range listed {
		if iv, ok := a.intervals[vm]; ok && iv.from <= at && at <= iv.to {
			n++
		}
	}
	return n
}

// Split divides the listed VMs into those whose current process has confirmed the
// revision, and the others.
func (a *Acceptance) Split(listed []lagoonhead.VMID) (confirmed, unconfirmed []lagoonhead.VMID) {
	for _, vm := range listed {
		if _, ok := a.intervals[vm]; ok {
			confirmed = append(confirmed, vm)
		} else {
			unconfirmed = append(unconfirmed, vm)
		}
	}
	return confirmed, unconfirmed
}
