package place

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Report processes a load report of an engine.
func (p *Placer) Report(r lagoonhead.LoadReport) {
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g, i := p.find(r.Endpoint)
	if g == nil {
		return
	}
	former := g.table.States()[i].Report
	if !g.table.Report(now, r) {
		p.metrics.oldReports.Add(1)
		return
	}
	if former.Number != 0 && former.Incarnation != r.Incarnation && g.prefix != nil {
		g.prefix.Reset(i)
	}
	p.serve(now, g)
}

// CacheEvents processes cache events of an engine, in order.
func (p *Placer) CacheEvents(id lagoonhead.EndpointID, vs []lagoonhead.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, i := p.find(id)
	if g == nil || g.prefix == nil {
		return
	}
	for _, v := range vs {
		g.prefix.ApplyEvent(i, v)
	}
}

// InFlight returns the number of this daemon's requests that run on the endpoint, also
// when the endpoint is leaving or no longer in the directory.
func (p *Placer) InFlight(id lagoonhead.EndpointID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, i := p.find(id)
	if g == nil {
		return 0
	}
	return g.table.States()[i].InFlight
}

// Waiting returns the number of requests that wait for an endpoint.
func (p *Placer) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, g := range p.groups {
		n += g.queue.Len()
	}
	return n
}

// States returns a copy of the state of each endpoint.
func (p *Placer) States() []lagoonhead.EngineState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []lagoonhead.EngineState
	for _, g := range p.groups {
		for _, s := range g.table.States() {
			if s.Endpoint.ID() != "" {
				all = append(all, s)
			}
		}
	}
	return all
}

// find returns the group of an endpoint and its index in the group's table, or a nil
// group if the endpoint is unknown.
func (p *Placer) find(id lagoonhead.EndpointID) (*group, int) {
	for _, g := range p.groups {
		if i, ok := g.table.Index(id); ok {
			return g, i
		}
	}
	return nil, 0
}

// placed holds the inputs of one placement from which Explain builds its reason.
type placed struct {
	at      time.Duration
	policy  lagoonhead.RoutePolicy
	request lagoonhead.RouteRequest
	state   lagoonhead.EngineState
	choice  lagoonhead.Choice
}

func newPlaced(now time.Duration, g *group, w *waiter, c lagoonhead.Choice) placed {
	v := placed{
		at: now, policy: g.policy, request: w.request, choice: c,
		state: g.table.States()[c.Engine],
	}
	// decision builds the reason from a table that contains only the chosen endpoint.
	v.choice.Engine, v.choice.Decode = 0, 0
	v.request.Prefix = nil
	return v
}

// decision returns the placement with its reason.
func (v *placed) decision() lagoonhead.Decision {
	states := []lagoonhead.EngineState{v.state}
	return lagoonhead.Decision{
		At: v.at, Topic: "request", Subject: string(v.request.Request.ID()),
		Result: "placed on " + string(v.state.Endpoint.ID()),
		Reason: v.policy.Reason(v.at, &v.request, states, v.choice),
	}
}

// Explain returns the newest placements of the request with the given identifier, or of
// all requests when it is empty: at most limit, from the oldest to the newest. Reasons
// are built here rather than in Place, because that is called for every request.
func (p *Placer) Explain(id lagoonhead.RequestID, limit int) []lagoonhead.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recent == nil {
		return nil
	}
	var found []placed
	p.recent.Each(func(v placed) bool {
		if id == "" || v.request.Request.ID() == id {
			found = append(found, v)
		}
		return true
	})
	found = found[max(len(found)-limit, 0):]
	ds := make([]lagoonhead.Decision, 0, len(found))
	for i := range found {
		ds = append(ds, found[i].decision())
	}
	return ds
}
