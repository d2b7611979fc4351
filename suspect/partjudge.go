package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// partRefusalCrashes is the number of engines that must have crashed under a part since
	// a request with it last finished. Two can come about by chance: the engine to which a
	// sound request was moved may crash too.
	partRefusalCrashes = 3
	// minCrashSpan is the least time from the first to the last of these crashes. Engines
	// that are lost together, as with a rack, crash within less.
	minCrashSpan = 250 * time.Millisecond
)

// partCandidate is a part with the crashes that no part with more of them explains.
type partCandidate struct {
	part    uint64
	crashes []partCrash
}

func (c partCandidate) suspicious() bool {
	n := len(c.crashes)
	return n >= partRefusalCrashes && c.crashes[n-1].at-c.crashes[0].at >= minCrashSpan
}

// explains reports whether the part was in a prompt at a crash. Of a crash before those that
// are kept of the part that is not known, so that it counts as explained.
func (c partCandidate) explains(k partCrash) bool {
	if len(c.crashes) == maxPartCrashes && k.at < c.crashes[0].at {
		return true
	}
	return slices.ContainsFunc(c.crashes, func(o partCrash) bool { return o.process == k.process })
}

// judge returns the groups of parts to refuse. It begins with the part with the most crashes,
// since that is the simplest explanation, and regards these crashes as explained from then
// on. Parts with the same crashes form a group. The caller holds the lock.
func (p *Parts) judge(now time.Duration) [][]uint64 {
	if p.judged {
		return p.refused
	}
	p.removeExpired(now)
	before := p.refused
	p.refused, p.judged = refusedGroups(p.candidates()), true
	p.logRefused(slices.Concat(before...), slices.Concat(p.refused...))
	return p.refused
}

// candidates returns the parts that may be refused, in a fixed order.
func (p *Parts) candidates() []partCandidate {
	var out []partCandidate
	for _, h := range slices.Sorted(maps.Keys(p.entries)) {
		if c := (partCandidate{h, slices.Clone(p.entries[h].crashes)}); c.suspicious() {
			out = append(out, c)
		}
	}
	return out
}

func refusedGroups(remaining []partCandidate) (groups [][]uint64) {
	for len(remaining) > 0 {
		worst := slices.MaxFunc(remaining, func(a, b partCandidate) int {
			return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(b.part, a.part))
		})
		var group []uint64
		var others []partCandidate
		for _, c := range remaining {
			before := len(c.crashes)
			c.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(k partCrash) bool { return worst.explains(k) })
			switch {
			case len(c.crashes) == 0 && before == len(worst.crashes):
				group = append(group, c.part)
			case c.suspicious():
				others = append(others, c)
			}
		}
		groups, remaining = append(groups, group), others
	}
	return groups
}
