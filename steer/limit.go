package steer

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// minHolders is the least number of VMs that share a limit of an endpoint, where there are
	// as many. One VM for each request a second comes on top.
	minHolders = 3
	// limitBurstTime is the time whose requests a VM may send at once, if that is more than
	// one.
	limitBurstTime = 250 * time.Millisecond
	// shareTTL is the time for which a VM's share of a limit is kept.
	shareTTL = 500 * time.Millisecond
	// unnamedLimitTTL is the time for which a limit stays in force after the last response that
	// named it, if others do not name it. An endpoint that is busy with several requests may
	// have begun some of the responses before.
	unnamedLimitTTL = time.Second
	// endedLimitTTL is the time for which the end of a limit is told to peers.
	endedLimitTTL = 10 * time.Second
)

// LimitHolders returns the number of VMs of a fleet that share a limit in requests a second.
// Each may send one request at once, so that in a large fleet only some of the VMs use an
// endpoint with a limit.
func LimitHolders(perSecond float64, fleet int) int {
	if perSecond >= float64(fleet) {
		return fleet
	}
	return min(fleet, minHolders+int(perSecond))
}

// namedLimit is what an endpoint last said of the requests that it takes, and this VM's share
// of it as a token bucket.
type namedLimit struct {
	// perSecond is the limit for all VMs together, or 0 for none.
	perSecond float64
	// saidAt is the time of the response that said so.
	saidAt time.Duration
	// share is this VM's part of perSecond. It was asked for at sharedAt.
	share    float64
	sharedAt time.Duration
	// tokens is the number of requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
}

// set replaces the limit and reports whether it has changed. A new one starts with an empty
// bucket, since the requests that were sent before count too.
func (l *namedLimit) set(now, saidAt time.Duration, perSecond float64) (changed bool) {
	l.saidAt = saidAt
	if l.perSecond == perSecond {
		return false
	}
	if l.perSecond == 0 {
		l.tokens = 0
	}
	l.perSecond, l.sharedAt, l.refilledAt = perSecond, 0, now
	return true
}

// refill updates the bucket.
func (l *namedLimit) refill(now time.Duration) {
	burst := max(1, l.share*limitBurstTime.Seconds())
	l.tokens = min(burst, l.tokens+l.share*(now-l.refilledAt).Seconds())
	l.refilledAt = now
}

// wait returns the time until a request may be sent, and false if none ever may.
func (l *namedLimit) wait() (time.Duration, bool) {
	switch {
	case l.tokens >= 1:
		return 0, true
	case l.share <= 0:
		return 0, false
	}
	return time.Duration((1 - l.tokens) / l.share * float64(time.Second)), true
}

// allows reports whether this VM may send a request to a target now.
func (b *Board) allows(now time.Duration, t *target) bool {
	x, _ := b.limitExclusion(now, t)
	if x == ColdShareUsed {
		b.coldCounts.Withheld++
	}
	return x == Included
}

// limitExclusion returns whether the limits of a target exclude it, and until when, or 0 if this VM has
// no share.
func (b *Board) limitExclusion(now time.Duration, t *target) (x Exclusion, until time.Duration) {
	if wait := b.coldWait(now, t); wait > 0 {
		return ColdShareUsed, now + wait
	}
	switch wait, ok := b.namedWait(now, t); {
	case !ok:
		return LimitUsed, 0
	case wait > 0:
		return LimitUsed, now + wait
	default:
		return Included, 0
	}
}

// limited reports whether a target takes a limited number of requests.
func (t *target) limited(now time.Duration) bool { return t.limit.perSecond > 0 || t.isCold(now) }

// limitWait returns the time until this VM may send a request to a target, and false if it has
// no share of the target's limit.
func (b *Board) limitWait(now time.Duration, t *target) (time.Duration, bool) {
	wait, ok := b.namedWait(now, t)
	return max(wait, b.coldWait(now, t)), ok
}

// namedWait is limitWait for the limit that the target names.
func (b *Board) namedWait(now time.Duration, t *target) (time.Duration, bool) {
	l := &t.limit
	if l.perSecond == 0 {
		return 0, true
	}
	if l.sharedAt == 0 || now-l.sharedAt >= shareTTL {
		l.share, l.sharedAt = l.perSecond, now
		if b.LimitShare != nil {
			l.share = b.LimitShare(t.endpoint.ID(), l.perSecond)
		}
	}
	l.refill(now)
	return l.wait()
}

// take counts a request that is sent to a target.
func (b *Board) take(now time.Duration, t *target) {
	if t.limit.perSecond > 0 {
		t.limit.tokens--
	}
	b.takeCold(now, t)
}

// LimitWait returns the time after which this VM may send a request that is bound to a software
// version and regions to an endpoint of the service that runs requests, if all of them have limits
// or are cold; else 0.
func (b *Board) LimitWait(now time.Duration, service string, v lagoonhead.VersionPin, g lagoonhead.RegionSet) (least time.Duration) {
	for _, t := range b.services[service] {
		if t.endpoint.Role() == lagoonhead.RolePrefill || !v.Allows(t.endpoint) || !g.Allows(t.endpoint) {
			continue
		}
		wait, ok := b.limitWait(now, t)
		if !t.limited(now) || (ok && wait == 0) {
			return 0
		}
		if ok && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}

// ReserveRun chooses the endpoint of a run that begins later and takes the run from its limit,
// if all endpoints that may run the request have limits or are cold. If others may, the run needs no
// reservation and reserved is false. ok is false if the limits allow no run now.
func (b *Board) ReserveRun(now time.Duration, r RunRequest) (e lagoonhead.Endpoint, reserved, ok bool) {
	limited := false
	for _, t := range b.services[r.Service] {
		if t.endpoint.Role() == lagoonhead.RolePrefill || !t.eligible(now, r.Avoid, r.Version, r.Regions, false) {
			continue
		}
		if !t.limited(now) {
			return e, false, true
		}
		limited = true
	}
	if !limited {
		return e, false, true
	}
	e, ok = b.PickRun(now, r)
	return e, ok, ok
}

// StartReserved reports whether a run that ReserveRun has reserved at an endpoint may begin there.
func (b *Board) StartReserved(now time.Duration, e lagoonhead.Endpoint) bool {
	t := b.findTarget(e)
	return t != nil && t.eligible(now, nil, lagoonhead.VersionPin{}, lagoonhead.RegionSet{}, true) && b.startReserved(now, t)
}

// ReturnToLimit gives back to the limit of an endpoint a request that was not sent.
func (b *Board) ReturnToLimit(e lagoonhead.Endpoint) {
	if t := b.findTarget(e); t != nil && t.limit.perSecond > 0 {
		t.limit.tokens++
	}
}

// SetLimit records the limit that a response of an endpoint names, in requests a second of all
// VMs together; 0 means that it names none, which ends a limit that no response has named for
// unnamedLimitTTL. It reports whether the limit has changed.
func (b *Board) SetLimit(now time.Duration, e lagoonhead.Endpoint, perSecond float64) (changed bool) {
	t := b.findTarget(e)
	if t == nil || (perSecond == 0 && (t.limit.saidAt == 0 || now-t.limit.saidAt < unnamedLimitTTL)) {
		return false
	}
	return t.limit.set(now, now, perSecond)
}

// mergeLimit takes over what a peer heard of a limit if it is newer than what is known here.
// The same limit must be newer by more than a report can be under way, which its age does not
// count; otherwise peers would make it newer by telling it back and forth.
func (t *target) mergeLimit(now time.Duration, w *Work) {
	least := t.limit.saidAt
	if w.Limit == t.limit.perSecond {
		least += unnamedLimitTTL / 2
	}
	if said := now - w.LimitAge; w.HasLimit && said > least {
		t.limit.set(now, said, w.Limit)
	}
}

// reportLimit adds to a report what is known of the limit of a target.
func (t *target) reportLimit(now time.Duration, w *Work) {
	age := now - t.limit.saidAt
	if t.limit.perSecond > 0 || (t.limit.saidAt > 0 && age < endedLimitTTL) {
		w.HasLimit, w.Limit, w.LimitAge = true, t.limit.perSecond, age
	}
}
