package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// baselineChoice returns the choice of endpoint i for a policy that ignores caches and
// slowdowns: the whole prompt counts as uncached.
func baselineChoice(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, i int) lagoonhead.Choice {
	tokens := r.Request.PromptTokens()
	base := baseTime(now, &es[i], queuedTokens(now, &es[i]), tokens)
	return lagoonhead.Choice{
		Engine: i, Decode: i, Uncached: tokens, BaseTTFT: base, PredictedTTFT: base, Usable: true,
	}
}

// roundRobin picks the endpoints one after the other.
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
			return baselineChoice(now, r, es, i)
		}
	}
	return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: usable}
}

// Reason says that the endpoint was next in order, or why there was none.
func (p *roundRobin) Reason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, c lagoonhead.Choice) string {
	if c.Engine < 0 {
		return noChoiceReason(now, r, es)
	}
	return "next endpoint in round-robin order"
}

// leastOutstanding picks the endpoint with the smallest share of busy slots.
type leastOutstanding struct{ random *rand.Rand }

// Name returns the name that selects the policy.
func (p *leastOutstanding) Name() string { return LeastOutstanding }

// Pick returns a random one of the endpoints with the smallest share of busy
// slots.
func (p *leastOutstanding) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	usable := false
	best, ties := -1, 0
	var minLoad float64
	for i := range es {
		if !eligible(now, r, &es[i], &usable) {
			continue
		}
		load := float64(busySlots(&es[i])) / float64(max(es[i].Endpoint.Slots(), 1))
		if best < 0 || load < minLoad {
			best, minLoad, ties = i, load, 0
		}
		if load > minLoad {
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
	return baselineChoice(now, r, es, best)
}

// Reason gives the number of busy slots, or says why there was no endpoint.
func (p *leastOutstanding) Reason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, c lagoonhead.Choice) string {
	if c.Engine < 0 {
		return noChoiceReason(now, r, es)
	}
	s := &es[c.Engine]
	return fmt.Sprintf("fewest outstanding: %d of %d slots busy", busySlots(s), s.Endpoint.Slots())
}
