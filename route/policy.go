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

// Names returns the names of all policies.
func Names() []string {
	return []string{Predicted, RoundRobin, LeastOutstanding, StaticRoles, NoAffinity}
}

// NewSplit returns the policy with the given name in the mode that may choose
// different engines for the prefill and the decoding of a request. RoundRobin and
// LeastOutstanding have no such mode; for them and for unknown names the error is
// KindInvalid.
func NewSplit(name string, seed uint64) (lagoonhead.RoutePolicy, error) {
	p, err := New(name, seed)
	if err != nil {
		return nil, err
	}
	q, ok := p.(*predicted)
	if !ok {
		return nil, &Error{lagoonhead.Fault{
			Op: "route.newSplit", Kind: lagoonhead.KindInvalid, Err: errors.Newf("policy %q cannot choose separate engines for prefill and decoding", name),
		}}
	}
	q.split = true
	return q, nil
}

// New returns the policy with the given name, or a KindInvalid error if there is none.
// Daemons pass different seeds, so that they choose different engines when they have
// the same state.
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
	// scanLimit is the largest number of engines of which every one is considered.
	scanLimit = 48
	// sampleCount is the number of engines drawn at random from a table above scanLimit.
	sampleCount = 24
	// maxHolders bounds the engines considered because they hold a prefix of the prompt,
	// in a table above scanLimit.
	maxHolders = 8
)

// tieShare is the fraction of the best score by which the score of another engine may
// be worse and still count as equal. Daemons that have the same reports spread their
// requests over the engines that count as equal.
const tieShare = 0.05

// saturationQueue is the mean queue of the engines, in seconds of prefill, above which
// requests wait in the daemon, where fair queueing applies. A bound on each engine
// instead of the mean would route prompts away from the engines that have them cached.
const saturationQueue = 0.5

// workWeight is the weight in the score of the time to prefill the uncached prompt,
// which also delays later requests.
const workWeight = 0.5

// minTieMargin is the smallest margin within which scores count as equal; see tieShare.
const minTieMargin = 15 * time.Millisecond

// predicted picks the engine with the shortest predicted time to first token, adjusted
// for the delay of later requests and for the supply class.
type predicted struct {
	name   string
	random *rand.Rand
	// affinity lets prompt blocks that an engine has cached count in its favor.
	affinity bool
	// strictRoles excludes the engines whose role does not fit; see fits.
	strictRoles bool
	// split allows another engine to decode the request after the prefill.
	split bool
	// candidates holds the candidates of one Pick; the arrays are fields to save
	// allocations.
	candidates    [scanLimit + maxHolders]candidate
	prefixHolders [maxHolders]int
	// queues holds the reported queues of the candidates, in tokens, sorted by
	// fillLevel.
	queues   [scanLimit + maxHolders]float64
	sendRate tokenRate
	peerLoad peerLoad
	// holderCount is how many leading candidates were chosen as holders of a prefix.
	holderCount int
	// backlog is the mean queue of the candidates, in seconds of prefill.
	backlog float64
}

// candidate is an engine that may get the request.
type candidate struct {
	// engine is the index of the engine in the states.
	engine int
	// depth is the number of leading prompt blocks in the engine's cache.
	depth int
	// tokens is the number of prompt tokens to prefill.
	tokens int
	// base is the predicted time to first token without the slowdown.
	base time.Duration
	// score decides between candidates; lower is better.
	score time.Duration
	// time is the predicted time to first token.
	time time.Duration
}

// Name returns the name that selects the policy.
func (p *predicted) Name() string { return p.name }

// Pick considers every engine of a table up to scanLimit; of a larger one it considers
// the engines that hold the longest prefixes of the prompt and a random sample.
func (p *predicted) Pick(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) lagoonhead.Choice {
	n, usable := p.collect(now, r, es)
	if n == 0 {
		p.backlog = 0
		return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: usable}
	}
	p.scoreAll(now, r, es, n)
	if p.backlog > saturationQueue {
		return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: true}
	}
	best := p.choose(n)
	decode := best.engine
	if p.split {
		if decode = p.pickDecoder(now, r, es, best.engine); decode < 0 {
			return lagoonhead.Choice{Engine: -1, Decode: -1, Usable: true}
		}
	}
	p.sendRate.add(now, best.tokens)
	return lagoonhead.Choice{
		Engine: best.engine, Decode: decode, Cached: best.depth, Uncached: best.tokens,
		BaseTTFT: best.base, PredictedTTFT: best.time, Usable: true,
	}
}

// collect fills p.candidates and returns the number of candidates. usable is false
// when no endpoint considered can get the request now or later.
func (p *predicted) collect(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) (n int, usable bool) {
	add := func(i int) {
		if n == len(p.candidates) || !eligible(now, r, &es[i], &usable) {
			return
		}
		if p.strictRoles && !p.fits(r.Request, role(&es[i])) {
			return
		}
		p.candidates[n] = candidate{engine: i}
		n++
	}
	p.holderCount = 0
	if len(es) <= scanLimit {
		for i := range es {
			add(i)
		}
		return n, usable
	}
	if p.affinity && r.Prefix != nil {
		k := r.Prefix.EnginesWithPrefix(r.Request.Blocks(), p.prefixHolders[:])
		for _, i := range p.prefixHolders[:k] {
			add(i)
		}
		p.holderCount = n
	}
	for range sampleCount {
		add(p.random.IntN(len(es)))
	}
	start := p.random.IntN(len(es))
	for k := 0; n == 0 && k < len(es); k++ {
		add((start + k) % len(es))
	}
	return n, usable
}

// scoreAll predicts the time to first token of the n candidates and sets their scores.
func (p *predicted) scoreAll(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, n int) {
	level := p.fillLevel(now, es, n)
	for i := range p.candidates[:n] {
		c := &p.candidates[i]
		s := &es[c.engine]
		if p.affinity && r.Prefix != nil {
			c.depth = r.Prefix.CachedBlocks(c.engine, r.Request.Blocks())
		}
		c.tokens = uncachedTokens(r.Request, c.depth)
		queued := max(reportedTokens(now, s), level) + float64(s.SentTokens)
		c.base = baseTime(now, s, queued, c.tokens)
		if p.split {
			c.base = time.Duration(float64(c.base) / prefillShare(s))
		}
		c.time = time.Duration(float64(c.base) * p.slowdown(now, s))
		delay := time.Duration(workWeight * float64(c.tokens) / s.PrefillRate * float64(time.Second))
		c.score = c.time + delay + supplyPenalty(r.Request, s)
	}
}

// slowdown returns the factor on the predicted time. When prefill and decoding are
// split, the prefill share of an engine is only a rough estimate, so the learned
// slowdown counts even below slowdownThreshold and corrects it.
func (p *predicted) slowdown(now time.Duration, s *lagoonhead.EngineState) float64 {
	if p.split {
		return learnedSlowdown(now, s)
	}
	return slowdown(now, s)
}

// choose returns a random one of the first n candidates whose scores are close to the
// best score.
func (p *predicted) choose(n int) *candidate {
	candidates := p.candidates[:n]
	minScore := time.Duration(math.MaxInt64)
	for i := range candidates {
		minScore = min(minScore, candidates[i].score)
	}
	bound := minScore + max(minTieMargin, time.Duration(tieShare*float64(minScore)))
	var best *candidate
	ties := 0
	for i := range candidates {
		if candidates[i].score > bound {
			continue
		}
		ties++
		if p.random.IntN(ties) == 0 {
			best = &candidates[i]
		}
	}
	return best
}

// Reason gives the estimates behind the choice, or says why there was no endpoint.
func (p *predicted) Reason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, c lagoonhead.Choice) string {
	if c.Engine < 0 {
		return fmt.Sprintf("%s, mean queue %.1f s (saturated above %.1f s)", noChoiceReason(now, r, es), p.backlog, saturationQueue)
	}
	s := &es[c.Engine]
	return fmt.Sprintf("predicted first token in %v: %.0f tokens queued, %d of %d prompt tokens not cached, %d of %d slots busy, slowdown %.1f, report %v old",
		c.PredictedTTFT.Round(time.Millisecond), queuedTokens(now, s), c.Uncached, r.Request.PromptTokens(),
		busySlots(s), s.Endpoint.Slots(), slowdown(now, s), (now - s.ReportAt).Round(time.Millisecond))
}

// noChoiceReason says how many endpoints were ruled out for which reason.
func noChoiceReason(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState) string {
	var ineligible, down, full int
	for i := range es {
		var usable bool
		switch {
		case eligible(now, r, &es[i], &usable):
		case !usable:
			ineligible++
		case failing(now, &es[i]):
			down++
		default:
			full++
		}
	}
	return fmt.Sprintf("no endpoint of %d: %d leaving, avoided or too expensive, %d failing, %d without room",
		len(es), ineligible, down, full)
}

// eligible reports whether the endpoint may get the request now. It sets *usable to
// true when the endpoint may get the request now or later.
func eligible(now time.Duration, r *lagoonhead.RouteRequest, s *lagoonhead.EngineState, usable *bool) bool {
	e := &s.Endpoint
	if e.Leaving() || (r.CostCeiling > 0 && e.Price() > r.CostCeiling) {
		return false
	}
	if len(r.Avoid) > 0 && slices.Contains(r.Avoid, e.ID()) {
		return false
	}
	*usable = true
	if failing(now, s) || !hasFreeSlot(s) || (r.Suspect && s.Suspects > 0) {
		return false
	}
	return r.Request.Priority() != lagoonhead.PriorityDeferrable || admitsDeferrable(now, s)
}
