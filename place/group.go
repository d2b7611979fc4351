package place

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/prefix"
	"github.com/lagoonhead/lagoonhead/route"
)

const (
	// blocksPerEngine bounds the cache blocks that the prefix index records per engine.
	blocksPerEngine = 512
	// blocksPerModel bounds the distinct blocks that the prefix index records per model.
	blocksPerModel = 16384
)

// A dispatch is overdue, and raises the endpoint's slowdown, when its first token takes
// longer than overdueFactor times the predicted time plus overdueMargin.
const (
	overdueFactor = 4
	overdueMargin = time.Second
)

// groupKey identifies a model or service.
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
	// waiting maps the requests in the queue to their calls of Place.
	waiting map[*lagoonhead.Request]*waiter
	// running contains the placements in flight.
	running map[*placement]struct{}
	// listed contains the endpoints of the current directory.
	listed map[lagoonhead.EndpointID]bool
}

// waiter is one call of Place.
type waiter struct {
	request lagoonhead.RouteRequest
	// ready receives the placement or the error, once.
	ready chan result
}

// result is the outcome of a call of Place.
type result struct {
	placement *placement
	err       error
}

// update applies the endpoints of the directory to the table. An endpoint that is no
// longer in the directory is removed from the table once nothing runs on it.
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
		if g.unlisted(i) {
			g.table.SetLeaving(i)
			g.removeIdle(i)
		}
	}
}

// unlisted reports whether the endpoint with index i is no longer in the directory.
func (g *group) unlisted(i int) bool {
	id := g.table.States()[i].Endpoint.ID()
	return id != "" && !g.listed[id]
}

// removeIdle removes the endpoint with index i unless requests run on it.
func (g *group) removeIdle(i int) {
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

// markOverdue reports the overdue dispatches to the table.
func (g *group) markOverdue(now time.Duration) {
	for p := range g.running {
		limit := overdueFactor*p.base + overdueMargin
		if p.ticket.Waiting() && now-p.ticket.At() > limit {
			g.table.Overdue(now, &p.ticket)
		}
	}
}
