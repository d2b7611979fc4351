package suspect

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// Crashes of stormEndpoints endpoints within stormWindow that no single request
	// explains are the loss of a rack or a reclaimed failure domain. The smallest
	// failure domain that the system is used with has three engines. The requests
	// there are not to blame, and running all of them apart would waste the capacity
	// that is left.
	stormEndpoints = 3
	stormWindow    = 2 * time.Second
	// stormPause is the shortest time between two storms, so that several causes
	// that are sent together are forgotten only once.
	stormPause = 10 * time.Minute
)

// crash is the crash of one endpoint.
type crash struct {
	endpoint lagoonhead.EndpointID
	at       time.Duration
}

// stormWatch finds crashes of many endpoints at once.
type stormWatch struct {
	recent []crash
	began  time.Duration
	any    bool
}

// note takes the crash of an endpoint and reports whether there are enough
// endpoints for a storm.
func (s *stormWatch) note(id lagoonhead.EndpointID, now time.Duration) bool {
	s.recent = slices.DeleteFunc(s.recent, func(c crash) bool { return now-c.at >= stormWindow })
	if !slices.ContainsFunc(s.recent, func(c crash) bool { return c.endpoint == id }) {
		s.recent = append(s.recent, crash{endpoint: id, at: now})
	}
	return len(s.recent) >= stormEndpoints && (!s.any || now-s.began >= stormPause)
}

func (s *stormWatch) begin(now time.Duration) { s.began, s.any = now, true }

// ignores reports whether crashes are now taken as part of a storm.
func (s *stormWatch) ignores(now time.Duration) bool {
	return s.any && now-s.began < stormWindow
}

func (s *stormWatch) endpoints() []lagoonhead.EndpointID {
	out := make([]lagoonhead.EndpointID, 0, len(s.recent))
	for _, c := range s.recent {
		out = append(out, c.endpoint)
	}
	return out
}

// oneExplains reports whether one request was on all of the endpoints.
func (t *Table) oneExplains(ids []lagoonhead.EndpointID) bool {
	for _, e := range t.entries {
		if !slices.ContainsFunc(ids, func(id lagoonhead.EndpointID) bool { return !e.has(id) }) {
			return true
		}
	}
	return false
}

// forget takes the crashes of the endpoints from all requests.
func (t *Table) forget(ids []lagoonhead.EndpointID) {
	for f, e := range t.entries {
		e.endpoints = slices.DeleteFunc(e.endpoints, func(id lagoonhead.EndpointID) bool {
			return slices.Contains(ids, id)
		})
		if len(e.endpoints) == 0 {
			t.remove(f)
		}
	}
	t.judged = false
}
