package steer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// strayCost is what it costs later to read a shared part on a second engine: room
	// in its cache, and the part read again.
	strayCost = 15 * time.Millisecond
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
	// queued is the backlog at the time of the choice, in tokens.
	queued int
}

// PickPrefill chooses the engine with role prefill that has read the prompt first. An
// engine whose work failed lately is chosen only if there is no other. ok is false when
// there is none.
func (b *Board) PickPrefill(now time.Duration, service string, p Prompt, avoid []lagoonhead.EndpointID) (c Prefill, ok bool) {
	if c, ok = b.pickPrefill(now, service, p, avoid, true); ok {
		return c, true
	}
	return b.pickPrefill(now, service, p, avoid, false)
}

func (b *Board) pickPrefill(now time.Duration, service string, p Prompt, avoid []lagoonhead.EndpointID, healthy bool) (c Prefill, ok bool) {
	id, shared := p.shared()
	home := b.home(service, id)
	var best time.Duration
	for _, t := range b.services[service] {
		if t.endpoint.Role() != lagoonhead.RolePrefill || !t.allowed(now, avoid, healthy) {
			continue
		}
		tokens := p.Tokens
		extra := strayCost
		if id != "" && (t == home || t.cache.has(id)) {
			tokens -= shared
			extra = 0
		}
		queued := t.backlog(now)
		wait := b.millis(t, queued+tokens)
		if !ok || wait+extra < best {
			best, ok = wait+extra, true
			c = Prefill{Endpoint: t.endpoint, Tokens: tokens, Wait: wait, queued: queued}
		}
	}
	return c, ok
}

// home returns the engine where the part lives as long as no engine is overloaded.
func (b *Board) home(service, id string) *target {
	if id == "" {
		return nil
	}
	seed := xxhash.Sum64String(id)
	var best *target
	var highest uint64
	for _, t := range b.services[service] {
		if t.endpoint.Role() != lagoonhead.RolePrefill || t.endpoint.Leaving() {
			continue
		}
		if h := mix(seed, t.seed); best == nil || h > highest {
			best, highest = t, h
		}
	}
	return best
}

func (t *target) allowed(now time.Duration, avoid []lagoonhead.EndpointID, healthy bool) bool {
	return !t.endpoint.Leaving() && now >= t.changing && (!healthy || t.health.usable(now)) && !slices.Contains(avoid, t.endpoint.ID())
}

// BeginPrefill counts a prompt that is sent for reading.
func (b *Board) BeginPrefill(c Prefill) {
	if t := b.process(c.Endpoint); t != nil {
		t.own.PrefillTokens += c.Tokens
		t.own.PrefilledTotal += int64(c.Tokens)
		b.count(t.endpoint.Serves(), int64(c.Tokens))
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
		t.cache.read(id, shared)
	}
	if c.queued+c.Tokens >= rateTokens {
		b.learnRate(t, float64(c.queued+c.Tokens)/(float64(took)/float64(time.Millisecond)))
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
