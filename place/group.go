package place

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/prefix"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	// blocksPerEngine is how many cache blocks are remembered per engine.
	blocksPerEngine = 512
	// blocksPerModel is how many blocks have known holders, per model.
	blocksPerModel = 16384
)

// overdueFactor and overdueFloor give the time, from the predicted one, after
// which a missing first token tells against the endpoint.
const (
	overdueFactor = 4
	overdueFloor  = time.Second
)

type groupKey struct {
	kind   lagoonhead.EndpointKind
	serves string
}

// group is the state of the endpoints that serve one model or service.
type group struct {
	key    groupKey
	table  *route.Table
	prefix *prefix.Index
	policy lagoonhead.RoutePolicy
	queue  *Queue
	// waiting holds the requests in the queue.
	waiting map[*lagoonhead.Request]*waiter
	// running holds the placements in flight.
	running map[*placement]struct{}
	// listed holds the endpoints in the directory.
	listed map[lagoonhead.EndpointID]bool
}

// waiter is one call of Place.
type waiter struct {
	request lagoonhead.RouteRequest
	// ready gets the placement or the error, once.
	ready chan result
}

type result struct {
	placement *placement
	err       error
}

// update takes the endpoints in the directory. One that is gone keeps its place
// until nothing runs on it.
func (g *group) update(d lagoonhead.Directory) {
	es := d.Endpoints(g.key.kind, g.key.serves)
	rates, _ := d.(lagoonhead.TokenRater)
	g.listed = make(map[lagoonhead.EndpointID]bool, len(es))
	for _, e := range es {
		g.listed[e.ID()] = true
		i := g.table.Put(e)
		if rates == nil {
			continue
		}
		if r, _ := rates.TokenRates(e.ID()); r > 0 {
			g.table.SetPrefillRate(i, r)
		}
	}
	for i := range g.table.States() {
		if g.gone(i) {
			g.table.Leave(i)
			g.drop(i)
		}
	}
}

// gone reports whether the endpoint is out of the directory.
func (g *group) gone(i int) bool {
	id := g.table.States()[i].Endpoint.ID()
	return id != "" && !g.listed[id]
}

// drop removes an endpoint that is out of the directory once nothing runs on it.
func (g *group) drop(i int) {
	if g.table.States()[i].InFlight > 0 {
		return
	}
	g.table.Remove(i)
	if g.prefix != nil {
		g.prefix.Reset(i)
	}
}

// pick chooses an endpoint for the waiter.
func (g *group) pick(now time.Duration, w *waiter) lagoonhead.Choice {
	if g.prefix != nil {
		w.request.Prefix = g.prefix
	}
	return g.policy.Pick(now, &w.request, g.table.States())
}

// overdue tells the table of dispatches whose first token is long due.
func (g *group) overdue(now time.Duration) {
	for p := range g.running {
		late := overdueFactor*p.base + overdueFloor
		if p.ticket.Waiting() && now-p.ticket.At() > late {
			g.table.Overdue(now, &p.ticket)
		}
	}
}
