package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// The names of the policies.
const (
	Predicted        = "predicted"
	RoundRobin       = "roundRobin"
	LeastOutstanding = "leastOutstanding"
	StaticRoles      = "staticRoles"
	NoAffinity       = "noAffinity"
)

// Names lists the policies.
func Names() []string {
	return []string{Predicted, RoundRobin, LeastOutstanding, StaticRoles, NoAffinity}
}

// NewSplit returns the policy with the given name that may hand a request over to
// another engine after its prefill. roundRobin and leastOutstanding cannot; for them
// and for unknown names it returns KindInvalid.
func NewSplit(name string, seed uint64) (lagoonhead.RoutePolicy, error) {
	p, err := New(name, seed)
	if err != nil {
		return nil, err
	}
	q, ok := p.(*predicted)
	if !ok {
		return nil, &Error{lagoonhead.Fault{
			Op: "route.newSplit", Kind: lagoonhead.KindInvalid, Err: errors.Newf("policy %q cannot hand over", name),
		}}
	}
	q.split = true
	return q, nil
}

// New returns the policy with the given name, or KindInvalid. Daemons pass
// different seeds, so that equal views lead them to different engines.
func New(name string, seed uint64) (lagoonhead.RoutePolicy, error) {
	random := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	switch name {
	case Predicted:
		return &predicted{name: name, random: random, affinity: true}, nil
	case NoAffinity:
		return &predicted{name: name, random: random}, nil
	case StaticRoles:
		return &predicted{name: name, random: random, affinity: true, strictRoles: true}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastOutstanding:
		return &leastOutstanding{random: random}, nil
	}
	return nil, &Error{lagoonhead.Fault{
		Op: "route.new", Kind: lagoonhead.KindInvalid, Err: errors.Newf("unknown policy %q", name),
	}}
}

const (
	// scanLimit is the number of engines up to which each one is considered.
	scanLimit = 48
	// samples is the number of engines considered at random above scanLimit.
	samples = 24
	// holders is the number of engines considered because they hold a prefix.
	holders = 8
)

// tieShare is the share of the best prediction by which another engine may be
// worse and still be chosen. Daemons that see the same reports spread over the
// engines within it.
const tieShare = 0.05

// saturated is the mean queue of the engines, in seconds of prefill, above which
// requests wait in the daemon, where the fair order applies. A bound on each engine
// instead of the mean sends prompts away from their cache.
const saturated = 0.5

// workWeight is the weight of the time to compute the uncached prompt, which also
// delays the requests that come after it.
const workWeight = 0.5

// tieFloor is the least difference that decides between two engines.
const tieFloor = 15 * time.Millisecond

// predicted chooses by the predicted time to first token.
type predicted struct {
	name        string
	random      *rand.Rand
	affinity    bool
	strictRoles bool
	// split allows another engine to decode.
	split bool
	// near holds the candidates of one Pick; it is a field to save allocations.
	near [scanLimit + holders]candidate
	held [holders]int
	// levels holds the sorted queues of the candidates.
	levels [scanLimit + holders]float64
	inflow inflow
	crowd  crowd
	// chosen is the number of candidates in near that are holders of a prefix.
	chosen int
	// backlog is the mean queue of the candidates in seconds.
	backlog float64
}

type candidate struct {
	engine int
	depth  int
	tokens int
	base   time.Duration
	score  time.Duration
	time   time.Duration
}

// Name returns the name that selects the policy.
func (p *predicted) Name() string { return p.name }

// Pick considers each engine of a small table, and of a large one those that hold
// the longest prefixes and a random sample.
func (p *predicted) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	n, usable := p.collect(now, r, es)
	if n == 0 {
		p.backlog = 0
		return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: usable}
	}
	p.weighAll(now, r, es, n)
	if p.backlog > saturated {
		return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: true}
	}
	best := p.choose(n)
	decode := best.engine
	if p.split {
		if decode = p.decoder(now, r, es, best.engine); decode < 0 {
			return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: true}
		}
	}
	p.inflow.sent(now, best.tokens)
	return lagoonhead.Choice{
		Engine: best.engine, Decode: decode, Cached: best.depth, Uncached: best.tokens,
		Base: best.base, Predicted: best.time, Usable: true,
	}
}

// collect fills p.near and returns the number of candidates.
func (p *predicted) collect(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) (n int, usable bool) {
	add := func(i int) {
		if n == len(p.near) || !eligible(now, r, &es[i], &usable) {
			return
		}
		if p.strictRoles && !p.fits(r.Request, role(&es[i])) {
			return
		}
		p.near[n] = candidate{engine: i}
		n++
	}
	p.chosen = 0
	if len(es) <= scanLimit {
		for i := range es {
			add(i)
		}
		return n, usable
	}
	if p.affinity && r.Prefix != nil {
		k := r.Prefix.Holders(r.Request.Blocks(), p.held[:])
		for _, i := range p.held[:k] {
			add(i)
		}
		p.chosen = n
	}
	for range samples {
		add(p.random.IntN(len(es)))
	}
	start := p.random.IntN(len(es))
	for k := 0; n == 0 && k < len(es); k++ {
		add((start + k) % len(es))
	}
	return n, usable
}

// weighAll predicts for the candidates.
func (p *predicted) weighAll(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, n int) {
	level := p.level(now, es, n)
	for i := range p.near[:n] {
		c := &p.near[i]
		s := &es[c.engine]
		if p.affinity && r.Prefix != nil {
			c.depth = r.Prefix.Depth(c.engine, r.Request.Blocks())
		}
		c.tokens = uncached(r.Request, c.depth)
		queued := max(reportedTokens(now, s), level) + float64(s.SentTokens)
		c.base = baseTime(now, s, queued, c.tokens)
		if p.split {
			c.base = time.Duration(float64(c.base) / prefillPace(s))
		}
		c.time = time.Duration(float64(c.base) * p.slowdown(now, s))
		delay := time.Duration(workWeight * float64(c.tokens) / s.PrefillRate * float64(time.Second))
		c.score = c.time + delay + supplyCost(r.Request, s)
	}
}

// slowdown returns the factor on the predicted time. With roles, the pace of an
// engine is known only roughly, and the learned factor corrects it.
func (p *predicted) slowdown(now time.Duration, s *lagoonhead.EngineState) float64 {
	if p.split {
		return learned(now, s)
	}
	return slowdown(now, s)
}

// choose returns a random one among the candidates whose score is close to the
// best.
func (p *predicted) choose(n int) *candidate {
	near := p.near[:n]
	least := time.Duration(math.MaxInt64)
	for i := range near {
		least = min(least, near[i].score)
	}
	bound := least + max(tieFloor, time.Duration(tieShare*float64(least)))
	var best *candidate
	ties := 0
	for i := range near {
		if near[i].score > bound {
			continue
		}
		ties++
		if p.random.IntN(ties) == 0 {
			best = &near[i]
		}
	}
	return best
}

// Reason tells the figures that led to the choice.
func (p *predicted) Reason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, c lagoonhead.Choice) string {
	if c.Engine < 0 {
		return fmt.Sprintf("%s, mean queue %.1f s (saturated above %.1f s)", noChoice(now, r, es), p.backlog, saturated)
	}
	s := &es[c.Engine]
	return fmt.Sprintf("predicted first token in %v: %.0f tokens queued, %d of %d prompt tokens not cached, %d of %d slots busy, slowdown %.1f, report %v old",
		c.Predicted.Round(time.Millisecond), queuedTokens(now, s), c.Uncached, r.Request.PromptTokens(),
		occupied(s), s.Endpoint.Slots(), slowdown(now, s), (now - s.ReportAt).Round(time.Millisecond))
}

// noChoice counts why each endpoint was ruled out.
func noChoice(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) string {
	var barred, down, full int
	for i := range es {
		var usable bool
		switch {
		case eligible(now, r, &es[i], &usable):
		case !usable:
			barred++
		case failing(now, &es[i]):
			down++
		default:
			full++
		}
	}
	return fmt.Sprintf("no endpoint of %d: %d leaving, avoided or too expensive, %d failing, %d without room",
		len(es), barred, down, full)
}

// eligible reports whether the endpoint may get the request now. It sets usable
// when the endpoint may get it now or later.
func eligible(now time.Duration, r *lagoonhead.RouteRequest, s *lagoonhead.EngineState, usable *bool) bool {
	e := &s.Endpoint
	if e.Leaving() || (r.CostCeiling > 0 && e.Price() > r.CostCeiling) {
		return false
	}
	if len(r.Avoid) > 0 && slices.Contains(r.Avoid, e.ID()) {
		return false
	}
	*usable = true
	if failing(now, s) || !hasRoom(s) || (r.Suspect && s.Suspects > 0) {
		return false
	}
	return r.Request.Priority() != lagoonhead.PriorityDeferrable || hasGap(now, s)
}
