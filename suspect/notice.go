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
	// newsFor is how long a change is repeated to peers. It spans many heartbeats,
	// so that lost ones do not matter.
	newsFor = 10 * time.Second
	// mergeSlack is above the time that a notice travels. A notice makes a crash look
	// later than it was by that time; without the slack, the times would grow with
	// each exchange of the same notice.
	mergeSlack = 2 * time.Second
	// maxNotices bounds the notices of one heartbeat. At about 60 bytes each they
	// stay within 2 KB.
	maxNotices = 32
)

// Notices returns what peers should know, in a fixed order: requests with two or
// more crashes while they may be refused, and suspects while they are news. When
// there are too many, those with the most crashes go first, then the newest.
func (t *Table) Notices() []*peer.SuspectNotice {
	if t.size.Load() == 0 {
		return nil
	}
	now := t.Timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var told []uint64
	for _, f := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[f]; !e.expired(now) && e.isNews(now) {
			told = append(told, f)
		}
	}
	slices.SortStableFunc(told, func(a, b uint64) int {
		x, y := t.entries[a], t.entries[b]
		if c := cmp.Compare(len(y.endpoints), len(x.endpoints)); c != 0 {
			return c
		}
		return cmp.Compare(y.newest, x.newest)
	})
	out := make([]*peer.SuspectNotice, 0, min(len(told), maxNotices))
	for _, f := range told[:min(len(told), maxNotices)] {
		out = append(out, t.entries[f].notice(f, now))
	}
	return out
}

func (e *entry) isNews(now time.Duration) bool {
	if len(e.endpoints) >= refuseCrashes {
		return now-e.newest < RefusedFor
	}
	return now-e.told < newsFor
}

func (e *entry) notice(fingerprint uint64, now time.Duration) *peer.SuspectNotice {
	n := &peer.SuspectNotice{Fingerprint: fingerprint, AgeMs: (now - e.newest).Milliseconds()}
	for _, id := range e.endpoints {
		n.Endpoints = append(n.Endpoints, string(id))
	}
	return n
}

// Merge takes the notices of a peer. Repeats and old notices change nothing, so
// they may come in any order. A crash that is older than the end of the request
// here does not make it a suspect again.
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
	age := time.Duration(min(max(n.GetAgeMs(), 0), RememberedFor.Milliseconds())) * time.Millisecond
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
		e.told = now
		t.judged = false
	}
	if crashed := now - age; added || crashed > e.newest+mergeSlack {
		e.newest = max(e.newest, crashed)
	}
}
