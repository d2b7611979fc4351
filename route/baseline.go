package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// plainChoice is the choice of a policy that predicts nothing.
func plainChoice(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, i int) lagoonhead.Choice {
	tokens := r.Request.PromptTokens()
	base := baseTime(now, &es[i], queuedTokens(now, &es[i]), tokens)
	return lagoonhead.Choice{
		Engine: i, Decode: i, Uncached: tokens, Base: base, Predicted: base, Usable: true,
	}
}

// roundRobin takes the endpoints in turn.
type roundRobin struct{ next int }

// Name returns the name that selects the policy.
func (p *roundRobin) Name() string { return RoundRobin }

// Pick returns the next endpoint that may get the request.
func (p *roundRobin) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	usable := false
	for k := range es {
		i := (p.next + k) % len(es)
		if eligible(now, r, &es[i], &usable) {
			p.next = i + 1
			return plainChoice(now, r, es, i)
		}
	}
	return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: usable}
}

// Reason tells that the endpoint was next.
func (p *roundRobin) Reason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, c lagoonhead.Choice) string {
	if c.Engine < 0 {
		return noChoice(now, r, es)
	}
	return "next in turn"
}

// leastOutstanding takes the endpoint with the fewest running requests.
type leastOutstanding struct{ random *rand.Rand }

// Name returns the name that selects the policy.
func (p *leastOutstanding) Name() string { return LeastOutstanding }

// Pick returns a random one of the endpoints with the smallest share of busy
// slots.
func (p *leastOutstanding) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	usable := false
	best, ties := -1, 0
	var least float64
	for i := range es {
		if !eligible(now, r, &es[i], &usable) {
			continue
		}
		load := float64(occupied(&es[i])) / float64(max(es[i].Endpoint.Slots(), 1))
		if best < 0 || load < least {
			best, least, ties = i, load, 0
		}
		if load > least {
			continue
		}
		ties++
		if p.random.IntN(ties) == 0 {
			best = i
		}
	}
	if best < 0 {
		return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: usable}
	}
	return plainChoice(now, r, es, best)
}

// Reason tells the share of busy slots.
func (p *leastOutstanding) Reason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, c lagoonhead.Choice) string {
	if c.Engine < 0 {
		return noChoice(now, r, es)
	}
	s := &es[c.Engine]
	return fmt.Sprintf("fewest outstanding: %d of %d slots busy", occupied(s), s.Endpoint.Slots())
}
