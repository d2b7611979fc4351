package steer

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// extraCopyCost is the later cost of prefilling a shared part on one more engine, besides
	// the prefill time that other requests lose: the part takes room in that engine's cache.
	extraCopyCost = 15 * time.Millisecond
	// lateCost is the cost of a prompt that is prefilled after it is due. It is above the cost
	// of prefilling the shared part of a long prompt again, so that an idle engine is chosen
	// if it can meet the due time; where no engine can, it changes nothing.
	lateCost = time.Second
	// handOverCost is the cost of prefilling a prompt on a separate engine, whatever its
	// length: the fixed cost of a prefill, one more call, and the transfer of the KV cache.
	// The shortest prompts took 20 ms to prefill this way on an idle engine.
	handOverCost = 20 * time.Millisecond
	// RunSlowdown is how many times longer an engine takes to prefill a prompt that it also
	// runs, since the prefill is interleaved with decoding for other requests.
	RunSlowdown = 2
	// runPrefillWeight is the weight of the time by which a prefill on the engine that runs the
	// request delays that engine's other requests.
	runPrefillWeight = 0.5
	// fullBatchCost is how much later the first event comes in a full batch than in an empty
	// one.
	fullBatchCost = 100 * time.Millisecond
	// queueCost is how much later the first event comes for each further batch of requests that wait
	// at an engine whose batch is full.
	queueCost = time.Second
	// minSharedTokens is the length of the shortest shared prefix, in tokens, that is tracked
	// in the cache estimate. A shorter one is prefilled again in some milliseconds.
	minSharedTokens = 1024
	// crossDomainCost is the cost of running outside the failure domain of the KV cache or
	// the daemon, as a fraction of a full batch.
	crossDomainCost = 0.15
	// spreadDamping is the part of a reported load that counts when endpoints are drawn at
	// random: by the time of the choice most of the reported requests have ended.
	spreadDamping = 0.3
	// farTransferWeight is the weight of an engine that fetches the KV cache from another
	// failure domain, of 1 for one in the same: it takes twice as long and costs more.
	farTransferWeight = 0.1
	// minSpreadWeight is the lowest weight of an endpoint, of 1 for the best one.
	minSpreadWeight = 0.02
)

// PrefillChoice is the choice of the engine that prefills a prompt.
type PrefillChoice struct {
	Endpoint lagoonhead.Endpoint
	// PrefillOnly reports whether the engine only prefills, so that the request runs
	// elsewhere.
	PrefillOnly bool
	// Tokens is the number of tokens that are expected to need prefill.
	Tokens int
	// Wait is the expected time until the prompt is prefilled.
	Wait time.Duration
	// CacheSource is the engine from which the chosen one fetches the shared part of the
	// prompt, or nil.
	CacheSource *lagoonhead.Endpoint
	// queued is the backlog of the engine at the time of the choice, in tokens.
	queued int
	// Estimate is what was assumed of the engine's load.
	Estimate Estimate
}

// PrefillRequest holds the inputs of PickPrefill.
type PrefillRequest struct {
	Service string
	Prompt  Prompt
	// Due is the time by which the prompt must be prefilled for the answer to be in time.
	Due time.Duration
	// MaxPause is the longest pause between events that callers of the service accept; 0
	// means that any pause is accepted.
	MaxPause time.Duration
	// Retryable reports whether the request may run again after a failure.
	Retryable bool
	// Avoid lists the endpoints that must not be chosen.
	Avoid []lagoonhead.EndpointID
	// Version is the software version that the request is bound to.
	Version lagoonhead.VersionPin
	// Regions are those in which the request may be prefilled and run.
	Regions lagoonhead.RegionSet
}

// RunRequest holds the inputs of PickRun.
type RunRequest struct {
	Service string
	// Near is the failure domain that is preferred if the loads differ little.
	Near lagoonhead.FailureDomain
	// Transfer reports whether the engine fetches the KV cache of the prompt from Near.
	Transfer bool
	// Retryable reports whether the request may run again after a failure.
	Retryable bool
	// Avoid lists the endpoints that must not be chosen.
	Avoid []lagoonhead.EndpointID
	// Version is the software version that the request is bound to: that of the stream that
	// goes on, or that of the engine that keeps the KV cache of the prompt.
	Version lagoonhead.VersionPin
	// Regions are those in which the request may run.
	Regions lagoonhead.RegionSet
}

// PickPrefill chooses the engine that prefills the prompt: one that only prefills, or one
// that also runs the request. It minimizes the time until the prefill ends plus the cost
// of the choice: a shared part that is cached on one more engine, the time that other
// requests on the engine lose, and the engine's failure rate. An engine that is done when
// the prompt is due is preferred to one that costs less. An engine that is excluded after
// failures is chosen only if there is no other; one whose limit does not allow another request
// is never chosen. Neither is one that only prefills, unless an engine of its software version
// can run the request. ok is false when there is none.
func (b *Board) PickPrefill(now time.Duration, r PrefillRequest) (c PrefillChoice, ok bool) {
	if c, ok = b.pickPrefill(now, r, true); !ok {
		c, ok = b.pickPrefill(now, r, false)
	}
	if ok {
		b.take(now, b.findTarget(c.Endpoint))
	}
	return c, ok
}

func (b *Board) pickPrefill(now time.Duration, r PrefillRequest, healthy bool) (c PrefillChoice, ok bool) {
	part, shared := r.Prompt.shared()
	apart := b.apartCost(r, part)
	if apart > 0 {
		if c, ok = b.drawShort(now, r, healthy); ok {
			b.vars.shortDrawn.Add(1)
			return c, true
		}
		b.vars.shortCompared.Add(1)
	}
	handOver := b.handOverVersions(now, r, healthy)
	homes := b.homes(part, r, handOver)
	drawn := b.draw(r.Service)
	sources := b.cacheSources(now, part, r)
	var best time.Duration
	for _, pass := range prefillPasses {
		if pass.drawn && !b.estimates() {
			continue
		}
		b.trace.reset()
		for i, t := range b.services[r.Service] {
			if pass.drawn && !drawn.has(i) && (part == 0 || !t.cache.has(part) && t != homes[0] && t != homes[1]) {
				continue
			}
			if !t.eligible(now, r.Avoid, r.Version, r.Regions, healthy) || !b.allows(now, t) || !handOver.allow(t) {
				continue
			}
			v, parts, fits := b.assess(now, t, r, part, shared, homes, sources)
			if !fits && !pass.delaying {
				continue
			}
			b.addRequestCosts(now, t, r, v, handOver, apart, &parts)
			if cost := parts.Total(); !ok || cost < best {
				best, ok, c = cost, true, v
			}
		}
		switch {
		case ok && pass.drawn:
			b.vars.drawn.Add(1)
		case ok && b.estimates():
			b.vars.compared.Add(1)
		}
		if ok {
			break
		}
	}
	return c, ok
}

// addRequestCosts adds to the cost of a prefill at a target what a comparison with other engines
// needs besides: the run behind it, a due time that is missed, failures and refusals.
func (b *Board) addRequestCosts(now time.Duration, t *target, r PrefillRequest, v PrefillChoice, handOver handOverVersions, apart time.Duration, c *Cost) {
	if v.PrefillOnly {
		c.Run, c.Apart = handOver[t.endpoint.Software()], apart
	}
	if now+v.Wait > r.Due {
		c.Late = lateCost
	}
	// A prompt that is prefilled on a separate engine can be prefilled again after a failure.
	b.addRisks(now, t, r.Retryable || v.PrefillOnly, c)
}

// prefillPasses are the engines that pickPrefill compares, in this order until it finds one.
var prefillPasses = []struct {
	// drawn is true for the engines that have the shared part, its homes, and some that are drawn
	// at random. This pass is made where reports are old, as otherwise all VMs would choose the
	// engine that was the emptiest when it reported.
	drawn bool
	// delaying is true if the engines count whose running requests the prefill would delay for
	// too long.
	delaying bool
}{{drawn: true}, {}, {delaying: true}}

// handOverVersions are the software versions at which a prompt may be prefilled apart from its
// run, or nil if every version may. A KV cache is not moved between versions. The values are the costs
// of a run at the emptiest engine of the version, beyond those at the emptiest of all.
type handOverVersions map[string]time.Duration

// handOverVersions returns the versions with an engine that can run the request. Where the
// service has had one version and the request is bound to none and to no regions, it returns nil.
func (b *Board) handOverVersions(now time.Duration, r PrefillRequest, healthy bool) handOverVersions {
	if _, bound := r.Version.Version(); !bound && !b.versions[r.Service].several && !r.Regions.Limited() {
		return nil
	}
	versions := make(handOverVersions)
	least := time.Duration(math.MaxInt64)
	for _, t := range b.services[r.Service] {
		if !b.canRun(now, t, r.Avoid, r.Version, r.Regions, healthy) {
			continue
		}
		load := float64(b.running(now, t)) / float64(max(1, t.endpoint.Slots()))
		cost := time.Duration(load*float64(fullBatchCost) + max(0, load-1)*float64(queueCost))
		if other, ok := versions[t.endpoint.Software()]; !ok || cost < other {
			versions[t.endpoint.Software()] = cost
		}
		least = min(least, cost)
	}
	for v := range versions {
		versions[v] -= least
	}
	return versions
}

// allow reports whether a prompt that is prefilled at a target can run afterwards.
func (v handOverVersions) allow(t *target) bool {
	if v == nil || t.endpoint.Role() != lagoonhead.RolePrefill {
		return true
	}
	_, ok := v[t.endpoint.Software()]
	return ok
}

// evaluate returns the prefill of a prompt at a target with its cost. fits is false when it
// would delay the other requests of the target for longer than callers accept.
func (b *Board) evaluate(now time.Duration, t *target, r PrefillRequest, part uint64, shared int, homes [2]*target, sources cacheSources) (v PrefillChoice, cost time.Duration, fits bool) {
	v, c, fits := b.assess(now, t, r, part, shared, homes, sources)
	return v, c.Total(), fits
}

// assess is evaluate with the parts of the cost.
func (b *Board) assess(now time.Duration, t *target, r PrefillRequest, part uint64, shared int, homes [2]*target, sources cacheSources) (v PrefillChoice, c Cost, fits bool) {
	b.trace.add(t)
	v = PrefillChoice{Endpoint: t.endpoint, PrefillOnly: t.endpoint.Role() == lagoonhead.RolePrefill, Tokens: r.Prompt.Tokens, queued: b.queued(now, t)}
	cached := part != 0 && t.cache.has(part)
	if cached {
		v.Tokens -= shared
	}
	var fetch time.Duration
	if part != 0 && !cached {
		if source, cost, ok := sources.nearest(t, shared); ok && cost < b.prefillTime(t, shared) {
			v.Tokens -= shared
			from := source.endpoint
			v.CacheSource, fetch = &from, cost
		}
	}
	prefill := b.prefillTime(t, v.queued+v.Tokens) + fetch
	if !v.PrefillOnly {
		load := float64(b.running(now, t)) / float64(max(1, t.endpoint.Slots()))
		batch := time.Duration(load * float64(fullBatchCost))
		v.Wait = RunSlowdown * prefill
		if !b.estimates() {
			// Measured speeds include the wait for a place in the batch.
			v.Wait += batch
		}
		v.Estimate = b.describe(now, t, v.queued, RunSlowdown*prefill)
		c.Prefill, c.Batch, c.Others = RunSlowdown*prefill, batch, time.Duration(runPrefillWeight*float64(b.prefillTime(t, v.Tokens)))
		if t.endpoint.FailureDomain() != b.Domain {
			c.Domain = time.Duration(crossDomainCost * float64(fullBatchCost))
		}
		return v, c, r.MaxPause == 0 || RunSlowdown*b.occupancy(t, v.Tokens) < r.MaxPause/2
	}
	v.Wait = handOverCost + prefill
	v.Estimate = b.describe(now, t, v.queued, prefill)
	c.Prefill = v.Wait
	if v.CacheSource != nil {
		c.SharedPart = extraCopyCost
		return v, c, true
	}
	if part != 0 && !cached && t != homes[0] {
		c.SharedPart = extraCopyCost + b.prefillTime(t, shared)
		if t != homes[1] {
			c.SharedPart *= 2
		}
	}
	return v, c, true
}

// homes returns the preferred engine of a shared part, and the one that is preferred when
// the first has a long queue: of those whose software version suits the request, the ones with
// the highest rendezvous hashes.
func (b *Board) homes(part uint64, r PrefillRequest, handOver handOverVersions) (homes [2]*target) {
	if part == 0 {
		return homes
	}
	var highest [2]uint64
	for _, t := range b.services[r.Service] {
		if t.endpoint.Role() != lagoonhead.RolePrefill || t.endpoint.Leaving() || !r.Version.Allows(t.endpoint) || !r.Regions.Allows(t.endpoint) || !handOver.allow(t) {
			continue
		}
		h := mix(part, t.seed)
		switch {
		case homes[0] == nil || h > highest[0]:
			homes[1], highest[1] = homes[0], highest[0]
			homes[0], highest[0] = t, h
		case homes[1] == nil || h > highest[1]:
			homes[1], highest[1] = t, h
		}
	}
	return homes
}

// eligible reports whether a target may get a request that is bound to a software version and to
// regions, apart from its role and its limit.
func (t *target) eligible(now time.Duration, avoid []lagoonhead.EndpointID, v lagoonhead.VersionPin, g lagoonhead.RegionSet, healthy bool) bool {
	return t.exclusion(now, avoid, v, g, healthy) == Included
}

// exclusion returns why a target is not eligible, or Included if it is.
func (t *target) exclusion(now time.Duration, avoid []lagoonhead.EndpointID, v lagoonhead.VersionPin, g lagoonhead.RegionSet, healthy bool) Exclusion {
	switch {
	case t.endpoint.Leaving():
		return Leaving
	case !v.Allows(t.endpoint):
		return OtherVersion
	case !g.Allows(t.endpoint):
		return OtherRegion
	case now < t.changingUntil:
		return ChangingRole
	case healthy && !t.health.usable(now):
		return Failing
	case slices.Contains(avoid, t.endpoint.ID()):
		return Avoided
	default:
		return Included
	}
}

// canRun reports whether a target may get a request to run now.
func (b *Board) canRun(now time.Duration, t *target, avoid []lagoonhead.EndpointID, v lagoonhead.VersionPin, g lagoonhead.RegionSet, healthy bool) bool {
	return t.endpoint.Role() != lagoonhead.RolePrefill && t.eligible(now, avoid, v, g, healthy) && b.allows(now, t)
}

// BeginPrefill records that a prompt is sent for prefill.
func (b *Board) BeginPrefill(v PrefillChoice) {
	t := b.findTarget(v.Endpoint)
	if t == nil {
		return
	}
	t.own.PrefillTokens += v.Tokens
	if v.PrefillOnly {
		t.own.PrefillTotal += int64(v.Tokens)
		b.addSent(t.endpoint.Serves(), int64(v.Tokens), 0)
	} else {
		t.own.RunTotal += int64(v.Tokens)
		b.addSent(t.endpoint.Serves(), 0, int64(v.Tokens))
	}
}

// EndPrefill ends what BeginPrefill began. took is the duration of the prefill, or 0 when
// the prompt was not prefilled.
func (b *Board) EndPrefill(now time.Duration, v PrefillChoice, p Prompt, took time.Duration) {
	t := b.findTarget(v.Endpoint)
	if t == nil {
		return
	}
	t.own.PrefillTokens -= v.Tokens
	if took <= 0 {
		return
	}
	b.AddCached(now, v.Endpoint, p)
	b.recordForecast(now, t, v, took)
	if v.CacheSource != nil {
		b.addFetch(now, t.endpoint.Serves(), took-v.Wait)
		return
	}
	if prefill := took - handOverCost; v.PrefillOnly && v.queued+v.Tokens >= minRateSampleTokens && prefill > 0 {
		b.addRateSample(t, float64(v.queued+v.Tokens)/(float64(prefill)/float64(time.Millisecond)))
	}
}

// AddCached records that an engine has the shared part of a prompt cached, because it has
// prefilled it or fetched it with the KV cache.
func (b *Board) AddCached(now time.Duration, e lagoonhead.Endpoint, p Prompt) {
	if t := b.findTarget(e); t != nil {
		if part, shared := p.shared(); part != 0 {
			t.cache.addOwn(now, part, shared)
		}
	}
}

// addRateSample adds a sample of the prefill rate. A request of a peer that this daemon
// doesn't know of yet makes an engine look slow, so one sample changes the rate little. Where reports are
// old, the first samples of a service are averaged with defaultPrefillRate instead: a VM of a large fleet
// gets some seven in 10 s, by which the moving average of the service reached only 0.63 of the rate.
func (b *Board) addRateSample(t *target, sample float64) {
	service := t.endpoint.Serves()
	if b.rates == nil {
		b.rates = make(map[string]float64)
	}
	own := b.rate(t)
	weight := rateSampleWeight
	if b.estimates() {
		if b.rateSamples == nil {
			b.rateSamples = make(map[string]int)
		}
		b.rateSamples[service]++
		weight = max(weight, 1/float64(b.rateSamples[service]+1))
	}
	b.rates[service] = movingAverage(b.serviceRate(service), sample, weight)
	t.rate = movingAverage(own, sample, rateSampleWeight)
}

func movingAverage(old, sample, weight float64) float64 {
	sample = min(max(sample, old/maxRateStep), old*maxRateStep)
	return old + weight*(sample-old)
}

// PickRun chooses the endpoint that runs a request: the one with the emptiest batch and
// the lowest failure rate, in the failure domain Near if the difference is small. Engines
// that only prefill are left out, and so are endpoints of other software versions than the
// request is bound to and those whose limit does not allow another request; an endpoint that is excluded after failures is chosen only if there is no other.
// With Spread it draws one at random, the emptier the likelier. ok is false when there is none.
func (b *Board) PickRun(now time.Duration, r RunRequest) (e lagoonhead.Endpoint, ok bool) {
	if e, ok = b.pickRun(now, r, true); !ok {
		e, ok = b.pickRun(now, r, false)
	}
	if ok {
		b.take(now, b.findTarget(e))
	}
	return e, ok
}

func (b *Board) pickRun(now time.Duration, r RunRequest, healthy bool) (e lagoonhead.Endpoint, ok bool) {
	var best, weights float64
	list := b.services[r.Service]
	b.runSearchStart++
	for i := range list {
		// The start of the search rotates, so that equal endpoints are chosen round-robin.
		t := list[(i+int(b.runSearchStart%uint64(len(list))))%len(list)]
		if !b.canRun(now, t, r.Avoid, r.Version, r.Regions, healthy) {
			continue
		}
		load := b.runLoad(now, t, r)
		if b.Spread {
			// Each endpoint is chosen with a probability in proportion to its weight.
			w := b.spreadWeight(now, t, r, load)
			weights += w
			if b.randomFraction()*weights < w {
				ok, e = true, t.endpoint
			}
			continue
		}
		if !ok || load < best {
			best, ok, e = load, true, t.endpoint
		}
	}
	return e, ok
}

// spreadWeight returns the weight with which a target of the given runLoad is drawn for a run.
func (b *Board) spreadWeight(now time.Duration, t *target, r RunRequest, load float64) float64 {
	w := max(minSpreadWeight, 1-load) / b.runSlowness(now, t)
	if r.Transfer && t.endpoint.FailureDomain() != r.Near {
		w *= farTransferWeight
	}
	return w
}

// runLoad returns the cost of a run at a target, as a fraction of a full batch.
func (b *Board) runLoad(now time.Duration, t *target, r RunRequest) float64 {
	load := b.batchLoad(now, t)
	if t.endpoint.FailureDomain() != r.Near {
		load += crossDomainCost
	}
	return load + float64(b.risk(now, t, r.Retryable))/float64(fullBatchCost)
}

// batchLoad returns the part of a target's batch that counts as full for a run.
func (b *Board) batchLoad(now time.Duration, t *target) float64 {
	load := float64(b.running(now, t)) / float64(max(1, t.endpoint.Slots()))
	if b.Spread {
		load = min(load, 1) * spreadDamping
	}
	return load
}

// HasRoom reports whether an endpoint can run the request now.
func (b *Board) HasRoom(now time.Duration, r RunRequest) bool {
	return slices.ContainsFunc(b.services[r.Service], func(t *target) bool {
		return b.canRun(now, t, r.Avoid, r.Version, r.Regions, true) && b.running(now, t) < t.endpoint.Slots()
	})
}

// HasRole reports whether an engine of the service with the role can get work.
func (b *Board) HasRole(now time.Duration, service string, r lagoonhead.Role) bool {
	return slices.ContainsFunc(b.services[service], func(t *target) bool {
		return t.endpoint.Role() == r && t.eligible(now, nil, lagoonhead.VersionPin{}, lagoonhead.RegionSet{}, true)
	})
}
