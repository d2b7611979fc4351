package steer

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// A cold endpoint crashes when it gets more requests in a second than it takes. The load for which
// this file is made: an endpoint that has just started looks empty to all VMs of the fleet at once,
// and each of them has requests for it.

const (
	// coldSettledPart is the part of the bound that VMs share whose view of the fleet is settled, so
	// that no more VMs than intended have a share. The rest is for the others, whose number is
	// bounded only as far as their views agree.
	coldSettledPart = 0.7
	// coldViews is how many times their share the other VMs may use because their views differ. While
	// all VMs start, or the store is away, it may be more, but then nobody uses the settled part.
	coldViews = 1.5
	// coldBurstPart is the part of what VMs share that they may send at once. Each VM needs a burst
	// of one request, so this also limits the number of VMs that use a cold endpoint.
	coldBurstPart = 0.2
	// coldSendDelay is the longest usual time from the choice of an endpoint to the send. Requests
	// that were chosen within one second and this time may be sent within one second. A run behind
	// a prefill is chosen up to 500 ms ahead.
	coldSendDelay = 500 * time.Millisecond
)

// ColdShare is the share of one VM in the requests that a cold endpoint takes, as a token bucket.
type ColdShare struct {
	// PerSecond is the rate in requests a second; 0 means that the VM must not use the endpoint.
	PerSecond float64
	// Burst is the number of requests that may be sent at once.
	Burst float64
}

// PlanCold divides the requests that a cold endpoint takes. perSecond is their number in a second
// and bound the highest accepted one, over all VMs. vms is the number of VMs. holders of them have
// the returned share each, and the others none. settled tells whether the VM knows that the other
// VMs see the same fleet, or see it as no holder.
//
// In any second, the sends of the holders with settled views add up to at most coldSettledPart of
// bound.
func PlanCold(perSecond, bound float64, vms int, settled bool) (holders int, s ColdShare) {
	total := coldSettledPart * bound
	if !settled {
		total = (1 - coldSettledPart) * bound / coldViews
	}
	burst := max(1, math.Floor(coldBurstPart*total))
	rate := min(perSecond, (total-burst)/(time.Second+coldSendDelay).Seconds())
	if rate <= 0 || vms <= 0 {
		return 0, ColdShare{}
	}
	holders = min(vms, int(burst))
	return holders, ColdShare{PerSecond: rate / float64(holders), Burst: burst / float64(holders)}
}

// ColdTraits says how the endpoints of a service behave after their start.
type ColdTraits struct {
	// Start is the time for which an endpoint is cold after its start.
	Start time.Duration
	// PerSecond is the number of requests a second that a cold endpoint takes from all VMs
	// together. Endpoints are never cold if it is 0.
	PerSecond float64
}

// heardEndpoint tells when this VM first heard of a process of an endpoint.
type heardEndpoint struct {
	incarnation lagoonhead.Incarnation
	// address tells processes apart that state no incarnation.
	address string
	at      time.Duration
	// starting is true if this VM had just started, so that the process may be older.
	starting bool
	// goneAt is the time at which it was first missing from the list, or 0.
	goneAt time.Duration
}

// heardMemory is how long a process that is missing from the list is remembered. One whose entry was
// lost and is written again has not restarted.
const heardMemory = time.Minute

// coldState is what a Board knows of an endpoint that is or was cold, and this VM's share of the
// requests that it takes.
type coldState struct {
	ColdTraits
	// The endpoint is cold from since until until.
	since, until time.Duration
	// suspected is the time until which the endpoint may be cold because it may have restarted.
	suspected time.Duration
	// share is this VM's share, as asked for at sharedAt.
	share    ColdShare
	sharedAt time.Duration
	// tokens is the number of requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
}

// ColdCounts are counters of a Board.
type ColdCounts struct {
	// Cold is the number of endpoints that are cold now.
	Cold int
	// Sent is the number of requests for which a cold endpoint was chosen, and Withheld the number
	// of times that one was passed over because this VM's share allowed no request.
	Sent, Withheld int64
}

// ColdCounts returns the counters of requests to cold endpoints.
func (b *Board) ColdCounts(now time.Duration) ColdCounts {
	c := b.coldCounts
	for _, t := range b.targets {
		if t.isCold(now) {
			c.Cold++
		}
	}
	return c
}

// SetCold updates which endpoints are cold. It is called after SetEndpoints with all endpoints that
// are known, also such as must not be used yet. starting is true until this VM has read the
// registrations once: the endpoints that it hears of until then may have started before, and are
// cold as their registrations say. It returns the endpoints that have become cold, with the time
// until which they are.
func (b *Board) SetCold(now time.Duration, list []lagoonhead.Endpoint, starting bool, traits func(service string) ColdTraits) map[lagoonhead.EndpointID]time.Duration {
	heard := make(map[lagoonhead.EndpointID]heardEndpoint, len(list))
	for _, e := range list {
		h, ok := b.heard[e.ID()]
		if !ok || h.incarnation != e.Incarnation() || h.address != e.Address() {
			h = heardEndpoint{incarnation: e.Incarnation(), address: e.Address(), at: now, starting: starting}
		}
		h.goneAt = 0
		heard[e.ID()] = h
	}
	for id, h := range b.heard {
		if _, ok := heard[id]; ok {
			continue
		}
		if h.goneAt == 0 {
			h.goneAt = now
		}
		if now-h.goneAt < heardMemory {
			heard[id] = h
		}
	}
	b.heard = heard
	var begun map[lagoonhead.EndpointID]time.Duration
	for id, t := range b.targets {
		h, ok := heard[id]
		if !ok {
			continue
		}
		before, until := t.isCold(now), t.endpoint.ColdUntil()
		if v := traits(t.endpoint.Serves()); v != t.cold.ColdTraits {
			t.cold.ColdTraits, t.cold.sharedAt = v, 0
		}
		if !h.starting {
			until = max(until, h.at+t.cold.Start)
		}
		if t.setCold(now, before, until) {
			if begun == nil {
				begun = make(map[lagoonhead.EndpointID]time.Duration)
			}
			begun[id] = t.cold.until
		}
	}
	return begun
}

// setCold sets the time until which a target is cold and reports whether it has become cold. before
// tells whether it was.
func (t *target) setCold(now time.Duration, before bool, until time.Duration) (begun bool) {
	t.cold.until = max(until, t.cold.suspected)
	if before || !t.isCold(now) {
		return false
	}
	// The requests that were sent before the endpoint became cold are not known to the bucket.
	t.cold.since, t.cold.tokens, t.cold.refilledAt, t.cold.sharedAt = now, 0, now, 0
	return true
}

// isCold reports whether a target is cold.
func (t *target) isCold(now time.Duration) bool { return t.cold.PerSecond > 0 && now < t.cold.until }

// suspectCold records that an endpoint accepted no connection. If it accepts one again it may have
// restarted at any time since, which this VM hears late or, without the store, not at all.
func (t *target) suspectCold(now time.Duration) {
	if t.cold.PerSecond > 0 && t.cold.Start > 0 {
		t.cold.suspected = max(t.cold.suspected, now+t.health.remaining(now)+t.cold.Start)
		t.setCold(now, t.isCold(now), t.cold.until)
	}
}

// coldWait returns the time until this VM may send a request to a target as far as it is cold.
func (b *Board) coldWait(now time.Duration, t *target) time.Duration {
	if !t.isCold(now) {
		return 0
	}
	c := &t.cold
	if c.sharedAt == 0 || now-c.sharedAt >= shareTTL {
		c.share, c.sharedAt = ColdShare{c.PerSecond, 1}, now
		if b.ColdShare != nil {
			c.share = b.ColdShare(t.endpoint.ID(), c.PerSecond)
		}
	}
	c.tokens = min(c.share.Burst, c.tokens+c.share.PerSecond*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	if c.tokens >= 1 {
		return 0
	}
	left := c.until - now
	if c.share.PerSecond > 0 {
		left = min(left, time.Duration((1-c.tokens)/c.share.PerSecond*float64(time.Second)))
	}
	return max(left, 1)
}

// takeCold counts a request that is sent to a target if it is cold. Tokens are never given back:
// whether one was taken before the endpoint became cold is not known.
func (b *Board) takeCold(now time.Duration, t *target) {
	if t.isCold(now) {
		t.cold.tokens--
		b.coldCounts.Sent++
	}
}

// startReserved reports whether a run that was reserved at a target may begin there. If the target
// may have become cold since the reservation, the run takes a token.
func (b *Board) startReserved(now time.Duration, t *target) bool {
	if !t.isCold(now) || now-t.cold.since > coldSendDelay {
		return true
	}
	if b.coldWait(now, t) > 0 {
		return false
	}
	b.takeCold(now, t)
	return true
}
