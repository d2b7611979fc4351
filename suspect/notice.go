package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/peer"
)

const (
	// noticePeriod is the time for which a changed entry is sent to peers. It spans many
	// heartbeats, so that the loss of some doesn't matter.
	noticePeriod = 10 * time.Second
	// mergeSlack is above the transfer time of a notice. A received notice makes a crash look
	// later than it was by that time; without the slack, the times would increase with each
	// exchange of the same notice.
	mergeSlack = 2 * time.Second
	// maxNotices bounds the notices of one heartbeat. At about 60 bytes each they take at
	// most 2 KB.
	maxNotices = 32
)

// Notices returns the entries to send to peers, in a fixed order: requests with two or more
// crashes while they may be refused, and other suspects for noticePeriod after a change. If
// there are too many, those with the most crashes go first, then the newest.
func (t *Table) Notices() []*peer.SuspectNotice {
	if t.size.Load() == 0 {
		return nil
	}
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var fingerprints []uint64
	for _, f := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[f]; !e.expired(now) && e.shouldNotify(now) {
			fingerprints = append(fingerprints, f)
		}
	}
	slices.SortStableFunc(fingerprints, func(a, b uint64) int {
		x, y := t.entries[a], t.entries[b]
		if c := cmp.Compare(len(y.endpoints), len(x.endpoints)); c != 0 {
			return c
		}
		return cmp.Compare(y.newestCrash, x.newestCrash)
	})
	out := make([]*peer.SuspectNotice, 0, min(len(fingerprints), maxNotices))
	for _, f := range fingerprints[:min(len(fingerprints), maxNotices)] {
		out = append(out, t.entries[f].notice(f, now))
	}
	return out
}

func (e *entry) shouldNotify(now time.Duration) bool {
	if len(e.endpoints) >= refusalCrashes {
		return now-e.newestCrash < RefusedFor
	}
	return now-e.changedAt < noticePeriod
}

func (e *entry) notice(fingerprint uint64, now time.Duration) *peer.SuspectNotice {
	n := &peer.SuspectNotice{Fingerprint: fingerprint, AgeMs: (now - e.newestCrash).Milliseconds()}
	for _, id := range e.endpoints {
		n.Endpoints = append(n.Endpoints, string(id))
	}
	return n
}

// Merge merges the notices of a peer. Duplicate and old notices change nothing, so they may
// arrive in any order. A crash that is older than the time when the request last ended here
// does not make it a suspect again.
func (t *Table) Merge(notices []*peer.SuspectNotice) {
	if len(notices) == 0 {
		return
	}
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range notices {
		t.merge(n, now)
	}
}

func (t *Table) merge(n *peer.SuspectNotice, now time.Duration) {
	age := noticeAge(n.GetAgeMs())
	ids := n.GetEndpoints()
	if len(ids) == 0 || age >= RememberedFor || (len(ids) == 1 && age >= SuspectFor) {
		return
	}
	e := t.entry(n.GetFingerprint(), now)
	added := false
	for _, id := range ids {
		if len(e.endpoints) < maxEndpoints && !e.has(lagoonhead.EndpointID(id)) {
			e.add(lagoonhead.EndpointID(id))
			added = true
		}
	}
	if added {
		e.changedAt = now
		t.verdictsCurrent = false
	}
	if crashed := now - age; added || crashed > e.newestCrash+mergeSlack {
		e.newestCrash = max(e.newestCrash, crashed)
	}
}
