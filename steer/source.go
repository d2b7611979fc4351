package steer

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// fetchSetupCost is the fixed cost of fetching a cached part from another engine. It keeps
	// parts from being fetched whose prefill takes hardly longer than a transfer that waits for
	// another one.
	fetchSetupCost = 10 * time.Millisecond
	// farFetchFactor is how many times longer a transfer between failure domains takes.
	farFetchFactor = 2
	// fetchDelayWeight is the weight of the newest transfer in the moving average of delays.
	fetchDelayWeight = 0.3
	// fetchDelayDecay is the time after which half of a delay is forgotten, so that transfers are
	// tried again soon after links were slow.
	fetchDelayDecay = time.Second
)

// fetchDelay is the time by which prefills that fetch a shared part take longer than expected. It
// includes the errors of the forecast of the queue, which prefills without a transfer have too.
type fetchDelay struct {
	mean time.Duration
	at   time.Duration
}

// get returns the delay that is expected now.
func (d fetchDelay) get(now time.Duration) time.Duration {
	return time.Duration(float64(d.mean) * math.Exp2(-float64(now-d.at)/float64(fetchDelayDecay)))
}

// add returns the delay after a transfer that took longer than expected by the given time, which is
// negative if it was faster.
func (d fetchDelay) add(now, excess time.Duration) fetchDelay {
	mean := d.get(now)
	mean += time.Duration(fetchDelayWeight * float64(max(0, excess)-mean))
	return fetchDelay{mean, now}
}

// cacheSite is where a transfer begins: KV caches are not moved between software versions, and
// transfers between failure domains take longer.
type cacheSite struct {
	domain   lagoonhead.FailureDomain
	software string
}

// cacheSources are the engines that have a shared part of a prompt in their caches, one for each
// site.
type cacheSources struct {
	bySite map[cacheSite]*target
	// perToken is the time in which one token is transferred within a failure domain.
	perToken time.Duration
	// delay is the time by which transfers take longer at present.
	delay time.Duration
}

// cacheSources returns the engines from which the part can be fetched. Of several at one site it is
// the one with the shortest queue, since its link is the least busy.
func (b *Board) cacheSources(now time.Duration, part uint64, r PrefillRequest) (s cacheSources) {
	if part == 0 || b.TransferPerToken == nil {
		return s
	}
	if s.perToken = b.TransferPerToken(r.Service); s.perToken <= 0 {
		return s
	}
	s.delay = b.fetchDelays[r.Service].get(now)
	for _, t := range b.services[r.Service] {
		if !t.cache.has(part) || !t.eligible(now, nil, r.Version, r.Regions, true) {
			continue
		}
		if s.bySite == nil {
			s.bySite = make(map[cacheSite]*target)
		}
		site := cacheSite{t.endpoint.FailureDomain(), t.endpoint.Software()}
		if other := s.bySite[site]; other == nil || b.queued(now, t) < b.queued(now, other) {
			s.bySite[site] = t
		}
	}
	return s
}

// nearest returns the source from which a target gets tokens the soonest, and the time this takes.
func (s cacheSources) nearest(t *target, tokens int) (source *target, took time.Duration, ok bool) {
	for site, other := range s.bySite {
		if other == t || site.software != t.endpoint.Software() {
			continue
		}
		transfer := time.Duration(tokens) * s.perToken
		if site.domain != t.endpoint.FailureDomain() {
			transfer *= farFetchFactor
		}
		transfer += fetchSetupCost + s.delay
		if !ok || transfer < took || (transfer == took && other.seed < source.seed) {
			source, took, ok = other, transfer, true
		}
	}
	return source, took, ok
}

// addFetch records by how much a prefill that fetched a shared part took longer than expected.
func (b *Board) addFetch(now time.Duration, service string, excess time.Duration) {
	if b.fetchDelays == nil {
		b.fetchDelays = make(map[string]fetchDelay)
	}
	b.fetchDelays[service] = b.fetchDelays[service].add(now, excess)
}
