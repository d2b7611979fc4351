package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// refusalCrashes is the number of endpoints that a request must have crashed to be refused.
	refusalCrashes = 2
	// briefRefusalCrashes is the minimum number of crashes for which all requests that explain
	// them equally well are refused for BrieflyRefusedFor.
	briefRefusalCrashes = 3
)

// candidate is a request with enough crashes to be refused. unexplained holds those of its
// crashes that no request with more unexplained crashes explains.
type candidate struct {
	fingerprint uint64
	entry       *entry
	unexplained []lagoonhead.EndpointID
}

// updateVerdicts sets the verdicts. It begins with the request with the most unexplained
// crashes, since that is the simplest explanation, and regards those crashes as explained
// from then on. Requests that share unexplained crashes and have equally many are rivals:
// none is refused for RefusedFor before one of them has more. The caller holds the lock.
func (t *Table) updateVerdicts(now time.Duration) {
	t.verdictsCurrent = true
	remaining := t.candidates(now)
	explained := make(map[lagoonhead.EndpointID]bool)
	for len(remaining) > 0 {
		for i := range remaining {
			remaining[i].unexplained = unexplained(remaining[i].entry.endpoints, explained)
		}
		remaining = slices.DeleteFunc(remaining, func(c candidate) bool { return len(c.unexplained) < refusalCrashes })
		if len(remaining) == 0 {
			return
		}
		worst := slices.MaxFunc(remaining, compareSuspicion)
		group := rivals(remaining, worst)
		v := groupVerdict(group)
		for _, c := range group {
			c.entry.verdict = v
			for _, id := range c.unexplained {
				explained[id] = true
			}
		}
	}
}

// candidates resets all verdicts and returns the requests that may be refused, in a fixed
// order.
func (t *Table) candidates(now time.Duration) []candidate {
	var out []candidate
	for _, f := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[f]
		e.verdict = allowed
		if len(e.endpoints) >= refusalCrashes && !e.expired(now) {
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

func compareSuspicion(a, b candidate) int {
	if c := cmp.Compare(len(a.unexplained), len(b.unexplained)); c != 0 {
		return c
	}
	return cmp.Compare(b.fingerprint, a.fingerprint)
}

// rivals returns c and the candidates that have as many unexplained crashes as c and share
// one of them with c.
func rivals(all []candidate, c candidate) []candidate {
	var out []candidate
	for _, r := range all {
		if len(r.unexplained) == len(c.unexplained) && (r.fingerprint == c.fingerprint || intersect(r.unexplained, c.unexplained)) {
			out = append(out, r)
		}
	}
	return out
}

func intersect(a, b []lagoonhead.EndpointID) bool {
	return slices.ContainsFunc(a, func(id lagoonhead.EndpointID) bool { return slices.Contains(b, id) })
}

// groupVerdict returns the verdict on rivals. A request that has ended without a crash since
// its newest crash is not the cause, but while it is a rival the cause can't be told from it.
func groupVerdict(group []candidate) verdict {
	switch {
	case len(group) == 1 && group[0].entry.innocent():
		return allowed
	case len(group) == 1:
		return refused
	case len(group[0].unexplained) >= briefRefusalCrashes:
		return refusedBriefly
	}
	return allowed
}
