package steer

import (
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// strayCost is what it costs later to read a shared part on one more engine, besides
	// the time that the reading takes from others: room in its cache.
	strayCost = 15 * time.Millisecond
	// lateCost is what a prompt that is read after it is due costs. It is above the cost of
	// reading the shared part of a long prompt again, so that an idle engine reads it in
	// time; where all are late, it changes nothing.
	lateCost = time.Second
	// handOverCost is what a prompt costs that is read apart, whatever its length: the fixed
	// cost of a reading, one more call, and the transfer of the KV cache. The shortest
	// prompts took 20 ms to read apart on an idle engine.
	handOverCost = 20 * time.Millisecond
	// RunSlowdown is how many times longer an engine takes to read a prompt that it runs
	// itself, between the tokens of other requests.
	RunSlowdown = 2
	// runReadWeight is the weight of the time that such a reading takes from the others.
	runReadWeight = 0.5
	// batchCost is how much later the first event comes in a full batch than in an empty
	// one.
	batchCost = 100 * time.Millisecond
	// leastShared is the shortest shared part, in tokens, whose place is kept in mind. A
	// shorter one is read again in some milliseconds.
	leastShared = 1024
	// domainCost is the part of a full batch for which a run stays in the failure
	// domain of its KV cache or its daemon.
	domainCost = 0.15
)

// Reading is the choice of an engine that reads a prompt.
type Reading struct {
	Endpoint lagoonhead.Endpoint
	// Apart tells that the engine only prefills, so that the request runs elsewhere.
	Apart bool
	// Tokens is the expected reading.
	Tokens int
	// Wait is the expected time until the prompt is read.
	Wait time.Duration
	// queued is the backlog at the time of the choice, in tokens.
	queued int
}

// ReadRequest is what a choice of an engine that reads depends on.
type ReadRequest struct {
	Service string
	Prompt  Prompt
	// Due is when the prompt must be read for a timely answer.
	Due time.Duration
	// Pause is the longest pause between events that callers of the service accept; 0
	// means any.
	Pause time.Duration
	// Repeatable tells that the request may run again after a failure.
	Repeatable bool
	Avoid      []lagoonhead.EndpointID
}

// RunRequest is what a choice of an endpoint that runs a request depends on.
type RunRequest struct {
	Service string
	// Near is the failure domain that is preferred if the difference is small.
	Near lagoonhead.FailureDomain
	// Repeatable tells that the request may run again after a failure.
	Repeatable bool
	Avoid      []lagoonhead.EndpointID
}

// PickReading chooses the engine that reads the prompt: one that only prefills, or one that
// runs the request as well. It looks for the earliest end of the reading, and weighs what
// the choice costs others: a shared part read on one more engine, and the tokens of
// other requests that wait for a reading among them, and the part of its work that an
// engine fails. An engine that is done when the prompt is due goes before one that costs
// less. An engine whose work failed lately is
// chosen only if there is no other. ok is false when there is none.
func (b *Board) PickReading(now time.Duration, r ReadRequest) (c Reading, ok bool) {
	if c, ok = b.pickReading(now, r, true); ok {
		return c, true
	}
	return b.pickReading(now, r, false)
}

func (b *Board) pickReading(now time.Duration, r ReadRequest, healthy bool) (c Reading, ok bool) {
	part, shared := r.Prompt.shared()
	homes := b.homes(r.Service, part)
	var best time.Duration
	for pass := range 2 {
		for _, t := range b.services[r.Service] {
			if !t.allowed(now, r.Avoid, healthy) {
				continue
			}
			v, cost, fits := b.weigh(now, t, r, part, shared, homes)
			// A prompt that would hold up others for too long runs among them only if
			// nothing else reads it.
			if !fits && pass == 0 {
				continue
			}
			if now+v.Wait > r.Due {
				cost += lateCost
			}
			// A prompt that is read apart is read again after a failure.
			cost += b.risk(now, t, r.Repeatable || v.Apart)
			if !ok || cost < best {
				best, ok, c = cost, true, v
			}
		}
		if ok {
			break
		}
	}
	return c, ok
}

// weigh returns the reading of a prompt at a target with its cost. fits is false when it
// would hold up the other requests of the target for longer than callers accept.
func (b *Board) weigh(now time.Duration, t *target, r ReadRequest, part uint64, shared int, homes [2]*target) (v Reading, cost time.Duration, fits bool) {
	v = Reading{Endpoint: t.endpoint, Apart: t.endpoint.Role() == lagoonhead.RolePrefill, Tokens: r.Prompt.Tokens, queued: b.backlog(now, t)}
	known := part != 0 && t.cache.has(part)
	if known {
		v.Tokens -= shared
	}
	reading := b.millis(t, v.queued+v.Tokens)
	if !v.Apart {
		load := float64(b.running(now, t)) / float64(max(1, t.endpoint.Slots()))
		v.Wait = RunSlowdown*reading + time.Duration(load*float64(batchCost))
		cost = v.Wait + time.Duration(runReadWeight*float64(b.millis(t, v.Tokens)))
		if t.endpoint.FailureDomain() != b.Domain {
			cost += time.Duration(domainCost * float64(batchCost))
		}
		return v, cost, r.Pause == 0 || RunSlowdown*b.millis(t, v.Tokens) < r.Pause/2
	}
	v.Wait = handOverCost + reading
	cost = v.Wait
	if part != 0 && !known && t != homes[0] {
		cost += strayCost + b.millis(t, shared)
		if t != homes[1] {
			cost += strayCost + b.millis(t, shared)
		}
	}
	return v, cost, true
}

// homes returns the engine where a part is read first, and the one where it is read when
// the first has too much to do.
func (b *Board) homes(service string, part uint64) (homes [2]*target) {
	if part == 0 {
		return homes
	}
	var highest [2]uint64
	for _, t := range b.services[service] {
		if t.endpoint.Role() != lagoonhead.RolePrefill || t.endpoint.Leaving() {
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

func (t *target) allowed(now time.Duration, avoid []lagoonhead.EndpointID, healthy bool) bool {
	return !t.endpoint.Leaving() && now >= t.changing && (!healthy || t.health.usable(now)) && !slices.Contains(avoid, t.endpoint.ID())
}

// BeginReading counts a prompt that is sent to be read.
func (b *Board) BeginReading(v Reading) {
	t := b.process(v.Endpoint)
	if t == nil {
		return
	}
	t.own.PrefillTokens += v.Tokens
	if v.Apart {
		t.own.PrefilledTotal += int64(v.Tokens)
		b.count(t.endpoint.Serves(), int64(v.Tokens), 0)
	} else {
		t.own.RunTotal += int64(v.Tokens)
		b.count(t.endpoint.Serves(), 0, int64(v.Tokens))
	}
}

// EndReading ends what BeginReading began. took is the time that it took, or 0 when the
// prompt was not read.
func (b *Board) EndReading(now time.Duration, v Reading, p Prompt, took time.Duration) {
	t := b.process(v.Endpoint)
	if t == nil {
		return
	}
	t.own.PrefillTokens -= v.Tokens
	if took <= 0 {
		return
	}
	b.Holds(now, v.Endpoint, p)
	if reading := took - handOverCost; v.Apart && v.queued+v.Tokens >= rateTokens && reading > 0 {
		b.learnRate(t, float64(v.queued+v.Tokens)/(float64(reading)/float64(time.Millisecond)))
	}
}

// Holds notes that an engine holds the shared part of a prompt, because it has read it or
// fetched it with the KV cache.
func (b *Board) Holds(now time.Duration, e lagoonhead.Endpoint, p Prompt) {
	if t := b.process(e); t != nil {
		if part, shared := p.shared(); part != 0 {
			t.cache.read(now, part, shared)
		}
	}
}

// learnRate takes a sample of the speed of prefill. A queue of a peer that this daemon has
// not heard of makes an engine look slow, so one sample moves the speed by little.
func (b *Board) learnRate(t *target, sample float64) {
	service := t.endpoint.Serves()
	if b.rates == nil {
		b.rates = make(map[string]float64)
	}
	own := b.rate(t)
	b.rates[service] = average(b.serviceRate(service), sample)
	t.rate = average(own, sample)
}

func average(old, sample float64) float64 {
	sample = min(max(sample, old/mostRateStep), old*mostRateStep)
	return old + rateWeight*(sample-old)
}

// PickRun chooses the endpoint that runs a request: the one with the emptiest batch and
// the fewest failures, near the failure domain if the difference is small. Engines that
// only prefill are left out, and an endpoint whose work failed lately is chosen only if
// there is no other. ok is false when there is none.
func (b *Board) PickRun(now time.Duration, r RunRequest) (e lagoonhead.Endpoint, ok bool) {
	if e, ok = b.pickRun(now, r, true); ok {
		return e, true
	}
	return b.pickRun(now, r, false)
}

func (b *Board) pickRun(now time.Duration, r RunRequest, healthy bool) (e lagoonhead.Endpoint, ok bool) {
	var best float64
	list := b.services[r.Service]
	b.turn++
	for i := range list {
		// The start of the search moves, so that equal endpoints take turns.
		t := list[(i+int(b.turn%uint64(len(list))))%len(list)]
		if t.endpoint.Role() == lagoonhead.RolePrefill || !t.allowed(now, r.Avoid, healthy) {
			continue
		}
		load := float64(b.running(now, t)) / float64(max(1, t.endpoint.Slots()))
		if t.endpoint.FailureDomain() != r.Near {
			load += domainCost
		}
		load += float64(b.risk(now, t, r.Repeatable)) / float64(batchCost)
		if !ok || load < best {
			best, ok, e = load, true, t.endpoint
		}
	}
	return e, ok
}

// HasRole reports whether an engine of the service in the role can get work.
func (b *Board) HasRole(now time.Duration, service string, r lagoonhead.Role) bool {
	return slices.ContainsFunc(b.services[service], func(t *target) bool {
		return t.endpoint.Role() == r && t.allowed(now, nil, true)
	})
}
