package caller

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// endpointCounts counts the requests in flight on each endpoint.
type endpointCounts struct {
	mu     sync.Mutex
	counts map[lagoonhead.EndpointID]int
}

func (c *endpointCounts) add(id lagoonhead.EndpointID, d int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[lagoonhead.EndpointID]int)
	}
	c.counts[id] += d
	if c.counts[id] == 0 {
		delete(c.counts, id)
	}
}

func (c *endpointCounts) count(id lagoonhead.EndpointID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// suspectEndpoints holds the endpoints that run a suspect: a request that has crashed
// an endpoint. No two suspects may run on the same endpoint at the same time.
type suspectEndpoints struct {
	mu       sync.Mutex
	occupied map[lagoonhead.EndpointID]bool
}

func (s *suspectEndpoints) acquire(id lagoonhead.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.occupied[id] {
		return false
	}
	if s.occupied == nil {
		s.occupied = make(map[lagoonhead.EndpointID]bool)
	}
	s.occupied[id] = true
	return true
}

func (s *suspectEndpoints) release(id lagoonhead.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.occupied, id)
}

func (s *suspectEndpoints) list() []lagoonhead.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]lagoonhead.EndpointID, 0, len(s.occupied))
	for id := range s.occupied {
		out = append(out, id)
	}
	return out
}

// neutralOutcome is the outcome of a placement that doesn't count as a failure of its
// endpoint: no attempt was made, the caller disconnected, or the deadline of the request
// passed. Otherwise short deadlines could take healthy endpoints out of service.
var neutralOutcome = lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindStale}

// guardedPlacer places the attempts of one exchange. It keeps suspects on separate
// endpoints and counts the requests in flight. When an endpoint is found, it repeats the
// checks of the configuration and the key, and sets the run state to unknown.
type guardedPlacer struct{ exchange *exchange }

var _ lagoonhead.Placer = guardedPlacer{}

// Place chooses an endpoint. When a check fails, it ends the placement and leaves the
// run state as it was.
func (g guardedPlacer) Place(ctx context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	s := g.exchange.server
	suspect, err := s.Suspects.Check(r.Fingerprint())
	if err != nil {
		s.vars.suspectsRefused.Add(1)
		return nil, fault("caller.suspect", lagoonhead.KindOf(err), err)
	}
	var p lagoonhead.Placement
	if suspect {
		p, err = g.placeSuspect(ctx, r, avoid)
	} else {
		p, err = s.Placer.Place(ctx, r, avoid)
	}
	if err != nil {
		return nil, deadlineError(ctx, err)
	}
	if err := g.exchange.recheck(); err != nil {
		if suspect {
			s.suspectEndpoints.release(p.Endpoint().ID())
		}
		p.Done(neutralOutcome)
		return nil, err
	}
	s.inFlight.add(p.Endpoint().ID(), 1)
	g.exchange.runState = runUnknown
	g.exchange.note("endpoint %s", p.Endpoint().ID())
	return &countedPlacement{Placement: p, server: s, suspect: suspect}, nil
}

// placeSuspect chooses an endpoint that runs no other suspect.
func (g guardedPlacer) placeSuspect(ctx context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	s := g.exchange.server
	avoid = append(slices.Clone(avoid), s.suspectEndpoints.list()...)
	for {
		p, err := s.Placer.Place(ctx, r, avoid)
		if err != nil {
			return nil, err
		}
		id := p.Endpoint().ID()
		if s.suspectEndpoints.acquire(id) {
			return p, nil
		}
		p.Done(neutralOutcome)
		if slices.Contains(avoid, id) {
			return nil, fault("caller.placeSuspect", lagoonhead.KindUnavailable, errors.New("all available endpoints run other requests that have crashed an endpoint"))
		}
		avoid = append(avoid, id)
	}
}

// countedPlacement is a placement that guardedPlacer has counted. Done removes it from
// the counts.
type countedPlacement struct {
	lagoonhead.Placement
	server  *Server
	suspect bool
	once    sync.Once
}

// Done ends the placement. Only the first call has an effect.
func (p *countedPlacement) Done(o lagoonhead.Outcome) {
	p.once.Do(func() {
		id := p.Endpoint().ID()
		p.server.inFlight.add(id, -1)
		if p.suspect {
			p.server.suspectEndpoints.release(id)
		}
		p.Placement.Done(o)
	})
}

// fixedPlacer returns a placement that was chosen before.
type fixedPlacer struct{ placement lagoonhead.Placement }

// Place returns the placement.
func (f fixedPlacer) Place(context.Context, *lagoonhead.Request, []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	return f.placement, nil
}
