package steer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// domainCost is the part of a full batch for which a run stays in the failure
	// domain of its KV cache or its daemon.
	domainCost = 0.15
)

// Prefill is the choice of an engine that reads a prompt.
type Prefill struct {
	Endpoint lagoonhead.Endpoint
	// Tokens is the expected reading.
	Tokens int
	// Wait is the expected time until the prompt is read.
	Wait time.Duration
	// Queued is the backlog at the time of the choice, in tokens.
	Queued int
}

// PickPrefill chooses the engine with role prefill that has read the prompt first, and
// rather one that is done when the prompt is due than one that costs less. An engine whose work failed lately is chosen only if there is no other. ok is false when
// there is none.
func (b *Board) PickPrefill(now time.Duration, service string, p Prompt, due time.Duration, avoid []lagoonhead.EndpointID) (c Prefill, ok bool) {
	if c, ok = b.pickPrefill(now, service, p, due, avoid, true); ok {
		return c, true
	}
	return b.pickPrefill(now, service, p, due, avoid, false)
}

func (b *Board) pickPrefill(now time.Duration, service string, p Prompt, due time.Duration, avoid []lagoonhead.EndpointID, healthy bool) (c Prefill, ok bool) {
	id, shared := p.shared()
	part := xxhash.Sum64String(id)
	homes := b.homes(service, part)
	var best time.Duration
	for _, t := range b.services[service] {
		if t.endpoint.Role() != lagoonhead.RolePrefill || !t.allowed(now, avoid, healthy) {
			continue
		}
		tokens := p.Tokens
		var extra time.Duration
		switch {
		case id == "":
		case t.cache.has(part):
			tokens -= shared
		case t == homes[0]:
			// Nobody has read the part yet, or a daemon that has just started does not know.
			tokens -= shared / 2
		default:
			extra = strayCost + b.millis(t, shared)
			if t != homes[1] {
				extra += strayCost + b.millis(t, shared)
			}
		}
		queued := t.backlog(now)
		wait := handOverCost + b.millis(t, queued+tokens)
		if now+wait > due {
			extra += lateCost
		}
		if !ok || wait+extra < best {
			best, ok = wait+extra, true
			c = Prefill{Endpoint: t.endpoint, Tokens: tokens, Wait: wait, Queued: queued}
		}
	}
	return c, ok
}

// homes returns the engine where a part is read first, and the one where it is read when
// the first has too much to do.
func (b *Board) homes(service string, part uint64) (homes [2]*target) {
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

// Short reports whether a prompt is so short that the engine that runs the request reads
// it sooner than one that prefills can hand it over, although it reads at half the speed.
func (b *Board) Short(service string, p Prompt) bool {
	rate := b.rates[service]
	if rate == 0 {
		rate = firstRate
	}
	return float64(p.Tokens)/rate*float64(time.Millisecond) < float64(handOverCost)
}

func (t *target) allowed(now time.Duration, avoid []lagoonhead.EndpointID, healthy bool) bool {
	return !t.endpoint.Leaving() && now >= t.changing && (!healthy || t.health.usable(now)) && !slices.Contains(avoid, t.endpoint.ID())
}

// BeginPrefill counts a prompt that is sent for reading.
func (b *Board) BeginPrefill(c Prefill) {
	if t := b.process(c.Endpoint); t != nil {
		t.own.PrefillTokens += c.Tokens
		t.own.PrefilledTotal += int64(c.Tokens)
		b.count(t.endpoint.Serves(), int64(c.Tokens), 0)
	}
}

// EndPrefill ends what BeginPrefill began. took is the time that it took, or 0 when the
// prompt was not read.
func (b *Board) EndPrefill(c Prefill, p Prompt, took time.Duration) {
	t := b.process(c.Endpoint)
	if t == nil {
		return
	}
	t.own.PrefillTokens -= c.Tokens
	if took <= 0 {
		return
	}
	if id, shared := p.shared(); id != "" {
		t.cache.read(xxhash.Sum64String(id), shared)
	}
	if reading := took - handOverCost; c.Queued+c.Tokens >= rateTokens && reading > 0 {
		b.learnRate(t, float64(c.Queued+c.Tokens)/(float64(reading)/float64(time.Millisecond)))
	}
}

func (b *Board) learnRate(t *target, sample float64) {
	service := t.endpoint.Serves()
	if b.rates == nil {
		b.rates = make(map[string]float64)
	}
	b.rates[service] = average(b.rates[service], sample)
	t.rate = average(t.rate, sample)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + rateWeight*(sample-old)
}

// PickRun chooses the endpoint that runs a request: the one with the emptiest batch,
// near the failure domain if the difference is small. Engines that only prefill are
// left out, and an endpoint whose work failed lately is chosen only if there is no
// other. ok is false when there is none.
func (b *Board) PickRun(now time.Duration, service string, near lagoonhead.FailureDomain, avoid []lagoonhead.EndpointID) (e lagoonhead.Endpoint, ok bool) {
	if e, ok = b.pickRun(now, service, near, avoid, true); ok {
		return e, true
	}
	return b.pickRun(now, service, near, avoid, false)
}

func (b *Board) pickRun(now time.Duration, service string, near lagoonhead.FailureDomain, avoid []lagoonhead.EndpointID, healthy bool) (e lagoonhead.Endpoint, ok bool) {
	var best float64
	list := b.services[service]
	b.turn++
	for i := range list {
		// The start of the search moves, so that equal endpoints take turns.
		t := list[(i+int(b.turn%uint64(len(list))))%len(list)]
		if t.endpoint.Role() == lagoonhead.RolePrefill || !t.allowed(now, avoid, healthy) {
			continue
		}
		load := float64(t.running(now)) / float64(max(1, t.endpoint.Slots()))
		if t.endpoint.FailureDomain() != near {
			load += domainCost
		}
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
