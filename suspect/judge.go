package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// refuseCrashes is how many endpoints a request must have crashed to be refused.
	refuseCrashes = 2
	// holdCrashes is how many crashes of requests that explain them equally well
	// lead to a short refusal of all of them.
	holdCrashes = 3
)

// candidate is a request with enough crashes to be refused. open are those of its
// crashes that no worse request explains.
type candidate struct {
	fingerprint uint64
	entry       *entry
	open        []lagoonhead.EndpointID
}

// judge sets the verdicts. It takes the request with the most unexplained crashes
// first, since that is the simplest explanation, and regards those crashes as
// explained from then on. Requests that share unexplained crashes and have
// equally many are rivals: neither is refused before one of them stands out. The
// caller holds the lock.
func (t *Table) judge(now time.Duration) {
	t.judged = true
	left := t.candidates(now)
	explained := make(map[lagoonhead.EndpointID]bool)
	for len(left) > 0 {
		for i := range left {
			left[i].open = unexplained(left[i].entry.endpoints, explained)
		}
		left = slices.DeleteFunc(left, func(c candidate) bool { return len(c.open) < refuseCrashes })
		if len(left) == 0 {
			return
		}
		worst := slices.MaxFunc(left, worse)
		group := rivals(left, worst)
		v := groupVerdict(group)
		for _, c := range group {
			c.entry.verdict = v
			for _, id := range c.open {
				explained[id] = true
			}
		}
	}
}

// candidates clears all verdicts and returns the requests that may be refused, in
// a fixed order.
func (t *Table) candidates(now time.Duration) []candidate {
	var out []candidate
	for _, f := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[f]
		e.verdict = clear
		if len(e.endpoints) >= refuseCrashes && !e.expired(now) {
			out = append(out, candidate{fingerprint: f, entry: e})
		}
	}
	return out
}

func unexplained(ids []lagoonhead.EndpointID, explained map[lagoonhead.EndpointID]bool) []lagoonhead.EndpointID {
	var out []lagoonhead.EndpointID
	for _, id := range ids {
		if !explained[id] {
			out = append(out, id)
		}
	}
	return out
}

func worse(a, b candidate) int {
	if c := cmp.Compare(len(a.open), len(b.open)); c != 0 {
		return c
	}
	return cmp.Compare(b.fingerprint, a.fingerprint)
}

// rivals returns c and the candidates that explain as many crashes and one in
// common with c.
func rivals(all []candidate, c candidate) []candidate {
	var out []candidate
	for _, r := range all {
		if len(r.open) == len(c.open) && (r.fingerprint == c.fingerprint || share(r.open, c.open)) {
			out = append(out, r)
		}
	}
	return out
}

func share(a, b []lagoonhead.EndpointID) bool {
	return slices.ContainsFunc(a, func(id lagoonhead.EndpointID) bool { return slices.Contains(b, id) })
}

// groupVerdict returns the verdict on rivals. A request that has ended without a
// crash since is no cause, but while it is a rival the cause does not stand out.
func groupVerdict(group []candidate) verdict {
	switch {
	case len(group) == 1 && group[0].entry.innocent():
		return clear
	case len(group) == 1:
		return refused
	case len(group[0].open) >= holdCrashes:
		return held
	}
	return clear
}
