package caller

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// inFlight counts the requests on each endpoint.
type inFlight struct {
	mu sync.Mutex
	n  map[lagoonhead.EndpointID]int
}

func (f *inFlight) add(id lagoonhead.EndpointID, d int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n == nil {
		f.n = make(map[lagoonhead.EndpointID]int)
	}
	f.n[id] += d
	if f.n[id] == 0 {
		delete(f.n, id)
	}
}

func (f *inFlight) count(id lagoonhead.EndpointID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n[id]
}

// suspectPlaces holds the endpoints that run a suspect, so that no two run on the
// same one.
type suspectPlaces struct {
	mu    sync.Mutex
	taken map[lagoonhead.EndpointID]bool
}

func (p *suspectPlaces) take(id lagoonhead.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken[id] {
		return false
	}
	if p.taken == nil {
		p.taken = make(map[lagoonhead.EndpointID]bool)
	}
	p.taken[id] = true
	return true
}

func (p *suspectPlaces) release(id lagoonhead.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.taken, id)
}

func (p *suspectPlaces) list() []lagoonhead.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]lagoonhead.EndpointID, 0, len(p.taken))
	for id := range p.taken {
		out = append(out, id)
	}
	return out
}

// neutral is the end of a placement that tells nothing about its endpoint: no
// attempt was made, the caller left, or the caller's own deadline passed. Short
// deadlines could otherwise put healthy endpoints out of use.
var neutral = lagoonhead.Outcome{Failed: true, Kind: lagoonhead.KindStale}

// guardedPlacer places the attempts of one exchange. It keeps suspects apart,
// counts what is in flight and repeats the checks of freshness and key once a
// place is found. From then on the run state is unknown.
type guardedPlacer struct{ x *exchange }

var _ lagoonhead.Placer = guardedPlacer{}

// Place chooses an endpoint. A failed check ends the placement as not run.
func (g guardedPlacer) Place(ctx context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	s := g.x.server
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
	if err := g.x.stillAllowed(); err != nil {
		if suspect {
			s.suspects.release(p.Endpoint().ID())
		}
		p.Done(neutral)
		return nil, err
	}
	s.running.add(p.Endpoint().ID(), 1)
	g.x.run = runUnknown
	g.x.note("endpoint %s", p.Endpoint().ID())
	return &countedPlacement{Placement: p, server: s, suspect: suspect}, nil
}

// placeSuspect finds an endpoint without another suspect.
func (g guardedPlacer) placeSuspect(ctx context.Context, r *lagoonhead.Request, avoid []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	s := g.x.server
	avoid = append(slices.Clone(avoid), s.suspects.list()...)
	for {
		p, err := s.Placer.Place(ctx, r, avoid)
		if err != nil {
			return nil, err
		}
		id := p.Endpoint().ID()
		if s.suspects.take(id) {
			return p, nil
		}
		p.Done(neutral)
		if slices.Contains(avoid, id) {
			return nil, fault("caller.placeSuspect", lagoonhead.KindUnavailable, errors.New("all endpoints run other suspects"))
		}
		avoid = append(avoid, id)
	}
}

// countedPlacement undoes the counts of guardedPlacer at its end.
type countedPlacement struct {
	lagoonhead.Placement
	server  *Server
	suspect bool
	once    sync.Once
}

// Done ends the placement.
func (p *countedPlacement) Done(o lagoonhead.Outcome) {
	p.once.Do(func() {
		id := p.Endpoint().ID()
		p.server.running.add(id, -1)
		if p.suspect {
			p.server.suspects.release(id)
		}
		p.Placement.Done(o)
	})
}

// fixedPlacer gives one placement that was found before.
type fixedPlacer struct{ p lagoonhead.Placement }

// Place returns the placement.
func (f fixedPlacer) Place(context.Context, *lagoonhead.Request, []lagoonhead.EndpointID) (lagoonhead.Placement, error) {
	return f.p, nil
}
