package suspect

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// Crashes of stormEndpoints endpoints within stormWindow that no single request
	// explains are attributed to the loss of a rack or a reclaimed failure domain. The
	// smallest failure domain in use has three engines. The requests there are not the
	// cause, and running each on a separate endpoint would waste the remaining capacity.
	stormEndpoints = 3
	stormWindow    = 2 * time.Second
	// stormPause is the shortest time between the starts of two storms, so that a caller
	// that sends several crashing requests together has their crashes ignored only once.
	stormPause = 10 * time.Minute
)

type crash struct {
	endpoint lagoonhead.EndpointID
	at       time.Duration
}

// stormDetector detects crashes of many endpoints within a short time.
type stormDetector struct {
	recent    []crash
	startedAt time.Duration
	started   bool
}

// add adds the crash of an endpoint and reports whether enough endpoints have crashed for a
// new storm.
func (s *stormDetector) add(id lagoonhead.EndpointID, now time.Duration) bool {
	s.recent = slices.DeleteFunc(s.recent, func(c crash) bool { return now-c.at >= stormWindow })
	if !slices.ContainsFunc(s.recent, func(c crash) bool { return c.endpoint == id }) {
		s.recent = append(s.recent, crash{endpoint: id, at: now})
	}
	return len(s.recent) >= stormEndpoints && (!s.started || now-s.startedAt >= stormPause)
}

func (s *stormDetector) start(now time.Duration) { s.startedAt, s.started = now, true }

// ignores reports whether new crashes belong to a storm and are ignored.
func (s *stormDetector) ignores(now time.Duration) bool {
	return s.started && now-s.startedAt < stormWindow
}

func (s *stormDetector) endpoints() []lagoonhead.EndpointID {
	out := make([]lagoonhead.EndpointID, 0, len(s.recent))
	for _, c := range s.recent {
		out = append(out, c.endpoint)
	}
	return out
}

// oneExplains reports whether one request was running on all of the endpoints.
func (t *Table) oneExplains(ids []lagoonhead.EndpointID) bool {
	for _, e := range t.entries {
		if !slices.ContainsFunc(ids, func(id lagoonhead.EndpointID) bool { return !e.has(id) }) {
			return true
		}
	}
	return false
}

// removeCrashes removes the crashes of the endpoints from all requests.
func (t *Table) removeCrashes(ids []lagoonhead.EndpointID) {
	for f, e := range t.entries {
		e.endpoints = slices.DeleteFunc(e.endpoints, func(id lagoonhead.EndpointID) bool {
			return slices.Contains(ids, id)
		})
		if len(e.endpoints) == 0 {
			t.remove(f)
		}
	}
	t.verdictsCurrent = false
}
