package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// Exclusion is the reason for which an endpoint cannot get a request, or is not compared with
// others for it.
type Exclusion uint8

// The values of Exclusion.
const (
	// Included is for an endpoint that can get the request.
	Included Exclusion = iota
	Leaving
	// Evacuated is for an endpoint of an evacuated failure domain.
	Evacuated
	OtherVersion
	OtherRegion
	ChangingRole
	// Failing is for an endpoint that gets no work for a time after failures or a refusal.
	Failing
	// Avoided is for an endpoint that the request itself avoids.
	Avoided
	// ColdShareUsed and LimitUsed are for an endpoint that is cold or names a limit, of which this
	// VM's share allows no request now.
	ColdShareUsed
	LimitUsed
	// OtherRole is for an engine that only prefills, if the request is to run.
	OtherRole
	// NoRun is for an engine that only prefills without an engine of its software version that can
	// run the request.
	NoRun
	// DelaysRuns is for an engine whose running requests the prefill would delay for too long. It is
	// chosen if there is no other.
	DelaysRuns
	// NotDrawn is for an engine that was not among those that were drawn at random.
	NotDrawn
)

// String returns the name of the reason, or an empty string for Included.
func (x Exclusion) String() string {
	return [...]string{
		"", "leaving", "evacuated", "software version", "region", "role change", "failures", "avoided", "cold share used up", "limit used up",
		"only prefills", "no engine of its version can run the request", "delays running requests", "not drawn",
	}[x]
}

// Cost holds the parts of the cost of an endpoint for a request. The endpoint with the lowest total is
// chosen, or is the likeliest where runs are drawn.
type Cost struct {
	// Prefill is the time until the prompt is prefilled.
	Prefill time.Duration
	// SharedPart is the later cost of a shared part that is cached on one more engine.
	SharedPart time.Duration
	// Batch is the cost of the requests that run on the engine, and Others that of the time which
	// these lose.
	Batch, Others time.Duration
	// Domain is the cost of another failure domain.
	Domain time.Duration
	// Run is the cost of the run behind a separate prefill, beyond that behind the others. Apart is
	// the cost of a short prompt behind long ones that no report shows yet.
	Run, Apart time.Duration
	// Late is the cost of a prompt that is prefilled after it is due.
	Late time.Duration
	// Failures and Refusals are the expected costs of those.
	Failures, Refusals time.Duration
}

// Total returns the sum of the parts.
func (c *Cost) Total() time.Duration {
	return c.Prefill + c.SharedPart + c.Batch + c.Others + c.Domain + c.Run + c.Apart + c.Late + c.Failures + c.Refusals
}

// addRisks adds the expected costs of failures and refusals, which are those of risk.
func (b *Board) addRisks(now time.Duration, t *target, retryable bool, c *Cost) {
	c.Failures, c.Refusals = b.failureRisk(now, t, retryable), b.refusalRisk(now, t)
}

// Candidate is an endpoint of a service as seen by a choice for a request.
type Candidate struct {
	Endpoint lagoonhead.Endpoint
	// Excluded is the reason for which the endpoint was not considered, and Until the time until
	// which it holds, or 0 if it is not known.
	Excluded Exclusion
	Until    time.Duration
	// QueuedTokens wait for prefill and Running requests run there, as far as known or estimated.
	QueuedTokens, Running int
	// Wait is the expected time until the prompt is prefilled, of which Tokens need it. CacheSource
	// is the engine from which the shared part would be fetched, or nil. All are zero for a run.
	Wait        time.Duration
	Tokens      int
	CacheSource *lagoonhead.Endpoint
	Cost        Cost
	// Drawn reports whether the endpoint was compared because it was drawn at random, or because of
	// the shared part of the prompt.
	Drawn bool
	// Probability is that with which the endpoint is drawn for a run, or 0 if runs are not drawn.
	Probability float64
}

// Assessed reports whether Cost is set.
func (c *Candidate) Assessed() bool {
	return c.Excluded == Included || c.Excluded == DelaysRuns || c.Excluded == NotDrawn
}

// Method is the way in which an endpoint was chosen.
type Method uint8

// The values of Method.
const (
	// Compared means that all endpoints were compared.
	Compared Method = iota
	// DrawnShort means that two engines that run requests were drawn at random and compared, and
	// further ones while failing ones were drawn.
	DrawnShort
	// DrawnSome means that the engines with the shared part of the prompt, its homes and some that
	// were drawn at random were compared.
	DrawnSome
	// DrawnByWeight means that one was drawn with a probability in proportion to its weight.
	DrawnByWeight
)

// String returns the name of the method.
func (m Method) String() string {
	return [...]string{"all are compared", "two are drawn at random and compared, and more while failing ones are drawn", "some are drawn at random and compared", "one is drawn at random by weight"}[m]
}

// Stage is the explanation of the choice of one endpoint.
type Stage struct {
	// Chosen is false if no endpoint can get the request.
	Chosen     bool
	Endpoint   lagoonhead.Endpoint
	Method     Method
	Candidates []Candidate
	// Unhealthy reports whether all endpoints were excluded after failures, so that one of these is
	// chosen.
	Unhealthy bool
	// Reserved reports whether all endpoints for a run have limits, so that the run is counted
	// before the prefill begins.
	Reserved bool
}

// Explanation says where a request would be sent now, and why.
type Explanation struct {
	// Prefill is nil for a request without a prompt.
	Prefill       *Stage
	PrefillChoice PrefillChoice
	// Run is nil if the engine that prefills also runs the request, and if none prefills.
	Run *Stage
	// Wait is LimitWait, and Serves is HasVersion, for the version Version of the request.
	Wait    time.Duration
	Serves  bool
	Version lagoonhead.VersionPin
	// Evacuates reports whether a failure domain is evacuated.
	Evacuates bool
}

// ExplainRequest holds the inputs of Explain.
type ExplainRequest struct {
	// Prefill is nil for a request without a prompt.
	Prefill *PrefillRequest
	// Run returns the inputs of the choice of the endpoint that runs the request. source is the
	// engine that prefills the prompt apart from the run, or nil.
	Run func(source *lagoonhead.Endpoint) RunRequest
}

// Explain returns where a request would be sent now, and why. It makes the same choices as
// PickPrefill, ReserveRun and PickRun on a copy, so that the board stays as it is. Choices at random
// are drawn for the explanation.
func (b *Board) Explain(now time.Duration, r ExplainRequest) Explanation {
	q := r.Run(nil)
	c := b.snapshot(q.Service)
	e := Explanation{Version: q.Version, Evacuates: len(b.Evacuated) > 0}
	e.Wait, e.Serves = c.LimitWait(now, q.Service, q.Version, q.Regions), c.HasVersion(q.Service, q.Version, q.Regions)
	if r.Prefill == nil {
		e.Run = c.explainRun(now, q)
		return e
	}
	e.Prefill = c.explainPrefill(now, *r.Prefill, &e.PrefillChoice)
	if !e.Prefill.Chosen || !e.PrefillChoice.PrefillOnly {
		return e
	}
	q = r.Run(&e.PrefillChoice.Endpoint)
	reserved, ok := c.wouldReserve(now, q)
	e.Run = c.explainRun(now, q)
	e.Run.Reserved = reserved
	if !ok {
		// The prompt is not prefilled if the limits allow no run.
		e.Version = q.Version
		e.Prefill.Chosen = false
	}
	return e
}

// wouldReserve returns the results of ReserveRun, on a copy.
func (b *Board) wouldReserve(now time.Duration, r RunRequest) (reserved, ok bool) {
	_, reserved, ok = b.snapshot(r.Service).ReserveRun(now, r)
	return reserved, ok
}

// snapshot returns a copy of the board with the endpoints of a service. Choices on the copy leave the
// board as it is. The copy must not be used after the next change of the board.
func (b *Board) snapshot(service string) *Board {
	c := &Board{
		Domain: b.Domain, IgnoreFailures: b.IgnoreFailures, Spread: b.Spread, unchanged: b.unchanged, failuresInTwoDraws: b.failuresInTwoDraws, PeerInterval: b.PeerInterval,
		LimitShare: b.LimitShare, ColdShare: b.ColdShare, Evacuated: b.Evacuated, TransferPerToken: b.TransferPerToken,
		targets: make(map[lagoonhead.EndpointID]*target), services: make(map[string][]*target),
		versions: b.versions, rates: maps.Clone(b.rates), rateSamples: maps.Clone(b.rateSamples), fetchDelays: maps.Clone(b.fetchDelays), sent: maps.Clone(b.sent),
		runSearchStart: b.runSearchStart, heard: b.heard, coldCounts: b.coldCounts, runRatios: b.runRatios,
	}
	for _, t := range b.services[service] {
		u := *t // choices do not change what its maps and pointers refer to
		c.targets[u.endpoint.ID()] = &u
		c.services[service] = append(c.services[service], &u)
	}
	return c
}

// trace records which targets a choice assesses.
type trace struct{ assessed map[*target]bool }

func (r *trace) reset() {
	if r != nil {
		clear(r.assessed)
	}
}

func (r *trace) add(t *target) {
	if r != nil {
		r.assessed[t] = true
	}
}

// explainPrefill explains and makes a choice of PickPrefill. The board must be a snapshot.
func (b *Board) explainPrefill(now time.Duration, r PrefillRequest, choice *PrefillChoice) *Stage {
	var s Stage
	before := b.snapshot(r.Service)
	b.trace = &trace{assessed: make(map[*target]bool)}
	defer func() { b.trace = nil }()
	*choice, s.Chosen = b.PickPrefill(now, r)
	s.Endpoint = choice.Endpoint
	switch {
	case !s.Chosen:
	case b.vars.shortDrawn.Value() > 0:
		s.Method = DrawnShort
	case b.vars.drawn.Value() > 0:
		s.Method = DrawnSome
	}
	healthy := true
	if t := before.targets[s.Endpoint.ID()]; s.Chosen {
		s.Unhealthy = !t.health.usable(now)
		healthy = !s.Unhealthy
	}
	part, shared := r.Prompt.shared()
	apart, handOver := before.apartCost(r, part), before.handOverVersions(now, r, healthy)
	homes, sources := before.homes(part, r, handOver), before.cacheSources(now, part, r)
	chosenFits := true
	for i, t := range before.services[r.Service] {
		c := before.candidate(now, t, r.Avoid, r.Version, r.Regions, healthy)
		if c.Excluded == Included && !handOver.allow(t) {
			c.Excluded = NoRun
		}
		if c.Excluded == Included {
			v, cost, fits := before.assess(now, t, r, part, shared, homes, sources)
			before.addRequestCosts(now, t, r, v, handOver, apart, &cost)
			if s.Method == DrawnShort {
				cost.Failures = lossRisk(before.drawExcess(now, t), r.Retryable)
			}
			c.Wait, c.Tokens, c.CacheSource, c.Cost = v.Wait, v.Tokens, v.CacheSource, cost
			c.Drawn = s.Method != Compared && b.trace.assessed[b.services[r.Service][i]]
			switch {
			case !fits:
				c.Excluded = DelaysRuns
			case s.Method != Compared && !c.Drawn:
				c.Excluded = NotDrawn
			}
			if t.endpoint.ID() == s.Endpoint.ID() {
				chosenFits = fits
			}
		}
		s.Candidates = append(s.Candidates, c)
	}
	for i := range s.Candidates {
		if c := &s.Candidates[i]; c.Excluded == DelaysRuns && !chosenFits {
			c.Excluded = Included // no engine fits, so that all are compared
		}
	}
	return &s
}

// explainRun explains and makes a choice of PickRun. The board must be a snapshot.
func (b *Board) explainRun(now time.Duration, r RunRequest) *Stage {
	var s Stage
	before := b.snapshot(r.Service)
	s.Endpoint, s.Chosen = b.PickRun(now, r)
	if b.Spread {
		s.Method = DrawnByWeight
	}
	healthy := true
	if t := before.targets[s.Endpoint.ID()]; s.Chosen {
		s.Unhealthy = !t.health.usable(now)
		healthy = !s.Unhealthy
	}
	var weights float64
	for _, t := range before.services[r.Service] {
		c := before.candidate(now, t, r.Avoid, r.Version, r.Regions, healthy)
		if t.endpoint.Role() == lagoonhead.RolePrefill {
			c.Excluded, c.Until = OtherRole, 0
		}
		if c.Excluded == Included {
			c.Cost.Batch = time.Duration(math.Round(before.batchLoad(now, t) * float64(fullBatchCost)))
			if t.endpoint.FailureDomain() != r.Near {
				c.Cost.Domain = time.Duration(crossDomainCost * float64(fullBatchCost))
			}
			before.addRisks(now, t, r.Retryable, &c.Cost)
			if b.Spread {
				c.Probability = before.spreadWeight(now, t, r, before.runLoad(now, t, r))
				weights += c.Probability
			}
		}
		s.Candidates = append(s.Candidates, c)
	}
	for i := range s.Candidates {
		if weights > 0 {
			s.Candidates[i].Probability /= weights
		}
	}
	return &s
}

// candidate returns the load of a target and why it cannot get a request, apart from its role.
func (b *Board) candidate(now time.Duration, t *target, avoid []lagoonhead.EndpointID, v lagoonhead.VersionPin, g lagoonhead.RegionSet, healthy bool) Candidate {
	c := Candidate{Endpoint: t.endpoint, QueuedTokens: b.queued(now, t), Running: b.running(now, t)}
	c.Excluded = t.exclusion(now, avoid, v, g, healthy)
	switch c.Excluded {
	case Leaving:
		if b.Evacuated[t.endpoint.FailureDomain()] {
			c.Excluded = Evacuated
		}
	case ChangingRole:
		c.Until = t.changingUntil
	case Failing:
		c.Until = t.health.excludedUntil
	case Included:
		c.Excluded, c.Until = b.limitExclusion(now, t)
	}
	return c
}

// SortCandidates sorts candidates for display: those with a cost come before the others, by the reason
// for which they are excluded, and by cost.
func SortCandidates(list []Candidate) {
	slices.SortStableFunc(list, func(x, y Candidate) int {
		switch {
		case x.Assessed() != y.Assessed() && x.Assessed():
			return -1
		case x.Assessed() != y.Assessed():
			return 1
		}
		return cmp.Or(cmp.Compare(x.Excluded, y.Excluded), cmp.Compare(x.Cost.Total(), y.Cost.Total()))
	})
}
