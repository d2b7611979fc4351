// Package place implements the root's Placer. Placer keeps what this daemon knows
// of all endpoints (package route) and of the prefixes that engines hold (package
// prefix), takes load reports, cache events and outcomes, and puts requests that
// find no room into a queue.
//
// An endpoint never runs more requests than its slots as far as this daemon knows,
// a leaving endpoint gets none, and two suspect requests never share one.
package place
