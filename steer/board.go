package steer

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// firstRate is the speed of prefill, in tokens per millisecond, that is assumed
	// until one has been measured.
	firstRate = 20.0
	// rateWeight is the weight of a new sample of the speed.
	rateWeight = 0.1
	// mostRateStep bounds the ratio of a sample to the speed that is known.
	mostRateStep = 3
	// rateTokens is the shortest queue, in tokens, whose time says something about the
	// speed; below it the fixed cost of a call outweighs the reading.
	rateTokens = 2000
	// leastNewsLife is how long the word of a peer on its work counts at least. Peers of a
	// small fleet tell several times a second.
	leastNewsLife = 2 * time.Second
	// newsGaps is the same in times of the usual gap between two words of a peer. With
	// random gaps, one in twenty is longer.
	newsGaps = 3
)

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a caller declares of a prompt.
type Prompt struct {
	Tokens    int
	MaxOutput int
	// Parts are in the order of the prompt; the last one belongs to the request or to
	// its session alone.
	Parts []Part
}

// shared returns the hash of the last shared part and the tokens up to its end, or 0 when
// the prompt shares too little to keep in mind where.
func (p Prompt) shared() (part uint64, tokens int) {
	if len(p.Parts) < 2 {
		return 0, 0
	}
	n := len(p.Parts) - 1
	for _, part := range p.Parts[:n] {
		tokens += part.Tokens
	}
	if tokens < leastShared {
		return 0, 0
	}
	return max(1, xxhash.Sum64String(p.Parts[n-1].ID)), tokens
}

// Work is what a daemon has under way at one endpoint.
type Work struct {
	Endpoint lagoonhead.EndpointID
	// PrefillTokens are sent for prefill and not done.
	PrefillTokens int
	// Running counts the requests that run.
	Running int
	// PrefilledTotal counts the tokens sent for prefill since the daemon started, and
	// RunTotal the prompt tokens that the endpoint had to read to run requests.
	PrefilledTotal, RunTotal int64
	// Good and Bad count the outcomes of work since the daemon started.
	Good, Bad int64
	// Read are the shared parts that were read last, as hashes.
	Read []uint64
}

type peerWork struct {
	Work
	at time.Duration
}

// target is an endpoint with what is known of it.
type target struct {
	endpoint lagoonhead.Endpoint
	seed     uint64
	own      Work
	peers    map[lagoonhead.VMID]peerWork
	health   health
	outcomes outcomes
	// changing is the time until which the engine takes no work because it changes its
	// role, unless it registers with the new one before.
	changing time.Duration
	cache    *partCache
	// rate is the measured speed of prefill in tokens per millisecond, or 0.
	rate float64
}

// running returns the requests of all daemons that run on the endpoint.
func (b *Board) running(now time.Duration, t *target) int {
	return b.sum(now, t, func(w *Work) int { return w.Running })
}

// backlog returns the tokens of all daemons that wait for prefill.
func (b *Board) backlog(now time.Duration, t *target) int {
	return b.sum(now, t, func(w *Work) int { return w.PrefillTokens })
}

// sum adds up a figure of this daemon's work and of what peers told lately.
func (b *Board) sum(now time.Duration, t *target, figure func(*Work) int) int {
	n, life := figure(&t.own), b.newsLife()
	for _, w := range t.peers {
		if now-w.at < life {
			n += figure(&w.Work)
		}
	}
	return n
}

// newsLife is how long the word of a peer counts.
func (b *Board) newsLife() time.Duration { return max(leastNewsLife, newsGaps*b.Gap) }

// Board knows the endpoints and what is under way at them. It is not safe for
// concurrent use.
type Board struct {
	// Domain is the failure domain of this daemon.
	Domain lagoonhead.FailureDomain
	// IgnoreFailures has an endpoint chosen whatever part of its work fails, unless it is
	// excluded. It is the simpler policy, for comparison.
	IgnoreFailures bool
	// Gap is the usual time between two words of one peer; 0 means that it is short.
	Gap time.Duration

	targets  map[lagoonhead.EndpointID]*target
	services map[string][]*target
	// rates are the mean speeds of prefill by service, in tokens per millisecond.
	rates map[string]float64
	// sent counts the tokens that all daemons sent for prefill, by service.
	sent map[string]sentTokens
	turn uint64
}

// CacheRoom tells the room of the KV cache of a service's engines, in tokens.
type CacheRoom func(service string) int

// Follow takes the list of living endpoints. What is known of a process is kept; an
// endpoint that has restarted is a new one.
func (b *Board) Follow(list []lagoonhead.Endpoint, room CacheRoom) {
	next := make(map[lagoonhead.EndpointID]*target, len(list))
	services := make(map[string][]*target)
	for _, e := range list {
		t := b.process(e)
		if t == nil {
			t = &target{
				seed:  xxhash.Sum64String(string(e.ID())),
				own:   Work{Endpoint: e.ID()},
				peers: make(map[lagoonhead.VMID]peerWork),
				cache: newPartCache(room(e.Serves())),
			}
		}
		if t.endpoint.Role() != e.Role() {
			t.changing = 0
		}
		t.endpoint = e
		next[e.ID()] = t
		services[e.Serves()] = append(services[e.Serves()], t)
	}
	b.targets, b.services = next, services
}

// Peer takes what a peer has under way. It replaces what the peer said before.
func (b *Board) Peer(now time.Duration, vm lagoonhead.VMID, works []Work) {
	seen := make(map[lagoonhead.EndpointID]bool, len(works))
	for _, w := range works {
		t := b.targets[w.Endpoint]
		if t == nil {
			continue
		}
		seen[w.Endpoint] = true
		if old, ok := t.peers[vm]; ok {
			b.count(t.endpoint.Serves(), w.PrefilledTotal-old.PrefilledTotal, w.RunTotal-old.RunTotal)
			// A peer that has restarted counts anew.
			t.outcomes.add(now, float64(max(0, w.Good-old.Good)), float64(max(0, w.Bad-old.Bad)))
		}
		for _, part := range w.Read {
			t.cache.readElsewhere(part)
		}
		t.peers[vm] = peerWork{w, now}
	}
	for id, t := range b.targets {
		if !seen[id] {
			delete(t.peers, vm)
		}
	}
}

// count adds to the tokens that were sent. A peer that has restarted counts anew.
func (b *Board) count(service string, prefill, run int64) {
	if b.sent == nil {
		b.sent = make(map[string]sentTokens)
	}
	n := b.sent[service]
	n.prefill += max(0, prefill)
	n.run += max(0, run)
	b.sent[service] = n
}

type sentTokens struct{ prefill, run int64 }

// Demand is the work of all daemons on a service.
type Demand struct {
	// Sent counts the tokens sent for prefill since this daemon started, and SentToRun
	// the prompt tokens read where the request runs.
	Sent, SentToRun int64
	// Backlog is the tokens that wait at engines that only prefill.
	Backlog int
	// Running counts the requests that run on engines that do not only prefill.
	Running int
	// Rate is the mean speed of prefill in tokens per second.
	Rate float64
}

// Demand returns the work on a service.
func (b *Board) Demand(now time.Duration, service string) Demand {
	d := Demand{Sent: b.sent[service].prefill, SentToRun: b.sent[service].run, Rate: b.serviceRate(service) * 1000}
	for _, t := range b.services[service] {
		if t.endpoint.Role() == lagoonhead.RolePrefill {
			d.Backlog += b.backlog(now, t)
		} else {
			d.Running += b.running(now, t)
		}
	}
	return d
}

// Own returns what this daemon has or had under way, for its peers.
func (b *Board) Own(now time.Duration) []Work {
	var list []Work
	since := now - b.newsLife()
	for _, t := range b.targets {
		if t.own.PrefilledTotal > 0 || t.own.RunTotal > 0 || t.own.Running > 0 || t.own.Good > 0 || t.own.Bad > 0 {
			w := t.own
			w.Read = t.cache.newest(since)
			list = append(list, w)
		}
	}
	return list
}

// rate returns the speed of prefill of a target.
func (b *Board) rate(t *target) float64 {
	if t.rate > 0 {
		return t.rate
	}
	return b.serviceRate(t.endpoint.Serves())
}

// serviceRate returns the mean speed of prefill of a service.
func (b *Board) serviceRate(service string) float64 {
	if r := b.rates[service]; r > 0 {
		return r
	}
	return firstRate
}

func (b *Board) millis(t *target, tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.rate(t) * float64(time.Millisecond))
}

// mix spreads the bits of two hashes over a third one.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b|1)
	return hi ^ lo
}

// Running tells that this daemon has begun or ended runs on the endpoint.
func (b *Board) Running(e lagoonhead.Endpoint, change int) {
	if t := b.process(e); t != nil {
		t.own.Running += change
	}
}

// process returns the target if it is still the same process of the endpoint.
func (b *Board) process(e lagoonhead.Endpoint) *target {
	t := b.targets[e.ID()]
	if t == nil || t.endpoint.Incarnation() != e.Incarnation() || t.endpoint.Address() != e.Address() {
		return nil
	}
	return t
}

// Changing tells that an engine takes no work until the given time, or until it
// registers with another role.
func (b *Board) Changing(id lagoonhead.EndpointID, until time.Duration) {
	if t := b.targets[id]; t != nil && until > t.changing {
		t.changing = until
	}
}

// Result is how the work on an endpoint went.
type Result uint8

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"neutral", "good", "bad", "unreachable", "refused"}[r]
}

// The results of work.
const (
	// Neutral work says nothing about the endpoint: the caller left, or its own
	// time was up.
	Neutral Result = iota
	Good
	// Bad work failed at the endpoint.
	Bad
	// Unreachable means that the endpoint took no connection.
	Unreachable
	// Refused means that the endpoint has no room, or is in the middle of a change.
	Refused
)

// Judge notes how the work on an endpoint went. It returns for how long the endpoint gets
// no work if that begins with this result, and else 0.
func (b *Board) Judge(now time.Duration, e lagoonhead.Endpoint, r Result) (out time.Duration) {
	t := b.process(e)
	if t == nil {
		return 0
	}
	before := t.health.left(now)
	switch r {
	case Good:
		t.health.good()
		t.own.Good++
		t.outcomes.add(now, 1, 0)
	case Bad:
		t.health.bad(now)
		t.own.Bad++
		t.outcomes.add(now, 0, 1)
	case Unreachable:
		t.health.gone(now)
		t.own.Bad++
		t.outcomes.add(now, 0, 1)
	case Refused:
		t.health.refused(now)
	case Neutral:
	}
	if before > 0 {
		return 0
	}
	return t.health.left(now)
}

// Failing returns the part of an endpoint's work that fails at present beyond the usual,
// from what all daemons saw.
func (b *Board) Failing(now time.Duration, e lagoonhead.Endpoint) float64 {
	if t := b.process(e); t != nil {
		return t.outcomes.excess(now)
	}
	return 0
}
