package steer

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// defaultPrefillRate is the prefill rate, in tokens per millisecond, that is assumed
	// until one has been measured.
	defaultPrefillRate = 20.0
	// rateSampleWeight is the weight of a new sample in the moving average of the prefill rate.
	rateSampleWeight = 0.1
	// maxRateStep bounds the ratio of a sample to the current average of the prefill rate.
	maxRateStep = 3
	// minRateSampleTokens is the smallest queue, in tokens, whose prefill time is used as a
	// sample of the prefill rate; below it the fixed cost of a call dominates the time.
	minRateSampleTokens = 2000
	// minReportTTL is the minimum time for which a peer's report of its work counts.
	// Peers of a small fleet report several times a second.
	minReportTTL = 2 * time.Second
	// ttlIntervals is the time for which a peer's report counts, in multiples of
	// Board.PeerInterval, if that is longer than minReportTTL. The intervals between reports
	// are random, and one in twenty is longer than this multiple.
	ttlIntervals = 3
	// maxVersionServices bounds the services of which the software versions are kept. More are
	// errors of another writer.
	maxVersionServices = 1 << 10
)

// Part is a segment of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is the caller's description of a prompt.
type Prompt struct {
	// Tokens is the length of the prompt, and MaxOutput the limit of the output, both in
	// tokens.
	Tokens    int
	MaxOutput int
	// Parts are in the order of the prompt; the last one belongs to this request or its
	// session alone.
	Parts []Part
}

// SharedParts returns the identifiers of the parts that other prompts may share: all but the
// last one.
func (p Prompt) SharedParts() []string {
	var ids []string
	for i := range len(p.Parts) - 1 {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// shared returns the hash of the last shared part and the number of tokens up to its end,
// or 0 when the shared prefix is too short to track which engine has it cached.
func (p Prompt) shared() (part uint64, tokens int) {
	if len(p.Parts) < 2 {
		return 0, 0
	}
	n := len(p.Parts) - 1
	for _, part := range p.Parts[:n] {
		tokens += part.Tokens
	}
	if tokens < minSharedTokens {
		return 0, 0
	}
	return max(1, xxhash.Sum64String(p.Parts[n-1].ID)), tokens
}

// Work is the work of one daemon at one endpoint.
type Work struct {
	Endpoint lagoonhead.EndpointID
	// PrefillTokens counts the tokens that were sent for prefill and are not prefilled yet.
	PrefillTokens int
	// Running counts the requests of that daemon that run on the endpoint.
	Running int
	// PrefillTotal counts the tokens sent for prefill only, and RunTotal those sent for
	// prefill as part of a run on the same endpoint, both since the daemon started.
	PrefillTotal, RunTotal int64
	// Good and Bad count the successes and failures since the daemon started.
	Good, Bad int64
	// Forecast is the sum of the times that were forecast for prefills by an engine of
	// referenceRate, and Took the sum of the times that they took, both since the daemon started. They are
	// counted where reports are old (Board.Spread).
	Forecast, Took time.Duration
	// Refused counts the refusals since the daemon started, where reports are old.
	Refused int64
	// Age is the mean age of the figures of other daemons that the report includes.
	Age time.Duration
	// RecentParts holds the hashes of the shared parts that were prefilled most recently.
	RecentParts []uint64
	// Limit is the limit that the endpoint named, in requests a second of all VMs together,
	// or 0 if it ended lately, and LimitAge is the time since it said so. They are set if
	// HasLimit is true.
	Limit    float64
	LimitAge time.Duration
	HasLimit bool
}

// peerWork is the newest report of a peer on its work at one endpoint.
type peerWork struct {
	Work
	received time.Duration
	// hub reports whether the peer is a hub, whose reports include those of others.
	hub bool
	// prefill, run, good and bad and so on are the growth of the counters since the first report.
	prefill, run, good, bad, refused int64
	forecast, took                   time.Duration
}

// add returns the peer's next report with the growth of the counters since then. A counter
// that is lower than before started again at 0, or no longer includes another daemon.
func (w peerWork) add(next Work) peerWork {
	w.prefill += max(0, next.PrefillTotal-w.PrefillTotal)
	w.run += max(0, next.RunTotal-w.RunTotal)
	w.good += max(0, next.Good-w.Good)
	w.bad += max(0, next.Bad-w.Bad)
	w.refused += max(0, next.Refused-w.Refused)
	if next.Forecast >= w.Forecast && next.Took >= w.Took {
		w.forecast += next.Forecast - w.Forecast
		w.took += next.Took - w.Took
	}
	w.Work = next
	return w
}

// Recipient is the peer that a report is for.
type Recipient struct {
	VM lagoonhead.VMID
	// Hub is true for a hub. It hears from the other hubs itself, so that it gets only
	// the work of this daemon and of those attached to it.
	Hub bool
	// OwnOnly limits the report to the work of this daemon. It is set by a daemon that is no hub:
	// while VMs have different views of which are hubs, reports that each of them passed on would
	// go round and grow.
	OwnOnly bool
}

// wants reports whether a report to r includes what a peer has reported.
func (r Recipient) wants(vm lagoonhead.VMID, hub bool) bool {
	return !r.OwnOnly && vm != r.VM && (!r.Hub || !hub)
}

// target is an endpoint with its load, health and cache contents.
type target struct {
	endpoint lagoonhead.Endpoint
	// seed is the hash of the endpoint's ID, for rendezvous hashing.
	seed     uint64
	own      Work
	peers    map[lagoonhead.VMID]peerWork
	health   health
	outcomes outcomes
	// changingUntil is the time until which the engine gets no work because it changes its
	// role, unless it registers with the new role earlier.
	changingUntil time.Duration
	cache         *partCache
	// rate is the measured prefill rate in tokens per millisecond, or 0.
	rate     float64
	limit    namedLimit
	cold     coldState
	estimate estimate
}

// running returns the number of requests of all daemons that run on the endpoint.
func (b *Board) running(now time.Duration, t *target) int {
	return b.sum(now, t, func(w *Work) int { return w.Running })
}

// backlog returns the number of tokens of all daemons that wait for prefill.
func (b *Board) backlog(now time.Duration, t *target) int {
	return b.sum(now, t, func(w *Work) int { return w.PrefillTokens })
}

// sum adds up one field of this daemon's work and of the recent reports of its peers.
func (b *Board) sum(now time.Duration, t *target, field func(*Work) int) int {
	n, ttl := field(&t.own), b.reportTTL()
	for _, w := range t.peers {
		if now-w.received < ttl {
			n += field(&w.Work)
		}
	}
	return n
}

// reportTTL returns the time for which a peer's report counts.
func (b *Board) reportTTL() time.Duration { return max(minReportTTL, ttlIntervals*b.PeerInterval) }

// Board holds the endpoints and the work at each of them. It is not safe for concurrent
// use.
type Board struct {
	// Domain is the failure domain of this daemon.
	Domain lagoonhead.FailureDomain
	// IgnoreFailures disables the cost of an endpoint's failure rate, so that only excluded
	// endpoints are avoided. It is the simpler policy, for comparison.
	IgnoreFailures bool
	// Spread makes PickRun draw endpoints at random instead of choosing the emptiest. It is
	// for fleets in which reports are older than a request runs: there all daemons would
	// choose the endpoint that was the emptiest when it reported.
	Spread bool
	// unchanged disables what Spread changes in the choice of engines for prefill. It is the
	// simpler policy, for comparison.
	unchanged bool
	// failuresInTwoDraws makes drawShort take the better of two engines whether or not they fail. It
	// is the simpler policy, for comparison.
	failuresInTwoDraws bool
	// PeerInterval is the usual interval between two reports of one peer; 0 means
	// that it is short.
	PeerInterval time.Duration
	// LimitShare returns the share of this VM in a limit that an endpoint names, both in
	// requests a second. It may be nil if there is one VM.
	LimitShare func(e lagoonhead.EndpointID, perSecond float64) float64
	// ColdShare returns the share of this VM in the requests that an endpoint takes while it is
	// cold, perSecond in a second. It may be nil if there is one VM.
	ColdShare func(e lagoonhead.EndpointID, perSecond float64) ColdShare
	// Evacuated holds the failure domains to which nothing is sent. Their endpoints are marked as
	// leaving.
	Evacuated map[lagoonhead.FailureDomain]bool
	// TransferPerToken returns the time in which an engine of the service gets the KV cache of one
	// token from another one, or 0 if engines do not fetch cached parts from each other. It may
	// be nil, which means the same.
	TransferPerToken func(service string) time.Duration
	// Random is the source of the draws of endpoints. It may be nil, which means the source of
	// math/rand/v2 that all boards of the process share.
	Random *rand.Rand

	targets  map[lagoonhead.EndpointID]*target
	services map[string][]*target
	// versions holds the software versions that were seen of each service.
	versions map[string]seenVersions
	// rates holds the mean prefill rate by service, in tokens per millisecond.
	rates map[string]float64
	// rateSamples counts the samples of rates, by service. It is kept where reports are old.
	rateSamples map[string]int
	// fetchDelays holds, by service, how much longer transfers of cached parts take.
	fetchDelays map[string]fetchDelay
	// sent counts the tokens that all daemons sent for prefill, by service.
	sent map[string]sentTokens
	// runSearchStart, modulo the number of endpoints, is the index at which the newest search
	// for an endpoint that runs a request began.
	runSearchStart uint64
	// heard tells when this VM first heard of each endpoint.
	heard      map[lagoonhead.EndpointID]heardEndpoint
	coldCounts ColdCounts
	// runRatios compares, by service, the times of prefills by engines that run requests with their
	// forecasts.
	runRatios map[string]*forecastRatio
	vars      estimateVars
	// trace records the targets that are assessed. It is nil except in an explanation.
	trace *trace
}

// randomIndex returns a random number from 0 to n-1.
func (b *Board) randomIndex(n int) int {
	if b.Random == nil {
		return rand.IntN(n)
	}
	return b.Random.IntN(n)
}

// randomFraction returns a random number of at least 0 and less than 1.
func (b *Board) randomFraction() float64 {
	if b.Random == nil {
		return rand.Float64()
	}
	return b.Random.Float64()
}

// seenVersions are the software versions of the endpoints of a service since the daemon started.
type seenVersions struct {
	first string
	// several is true once another version than the first was seen.
	several bool
}

// addVersion records the software version of an endpoint.
func (b *Board) addVersion(e lagoonhead.Endpoint) {
	if b.versions == nil {
		b.versions = make(map[string]seenVersions)
	}
	v, ok := b.versions[e.Serves()]
	if !ok {
		if len(b.versions) >= maxVersionServices {
			return
		}
		v.first = e.Software()
	}
	v.several = v.several || v.first != e.Software()
	b.versions[e.Serves()] = v
}

// OnlyVersion returns the software version of the service; ok is false if this daemon has seen no
// endpoint of it, or endpoints of several versions, also such as are gone.
func (b *Board) OnlyVersion(service string) (software string, ok bool) {
	v, ok := b.versions[service]
	return v.first, ok && !v.several
}

// HasVersion reports whether an endpoint that the pin and the regions allow is registered and does
// not leave.
func (b *Board) HasVersion(service string, v lagoonhead.VersionPin, g lagoonhead.RegionSet) bool {
	return slices.ContainsFunc(b.services[service], func(t *target) bool {
		return v.Allows(t.endpoint) && g.Allows(t.endpoint) && !t.endpoint.Leaving()
	})
}

// CacheCapacity returns the KV cache capacity of an engine of the service, in tokens.
type CacheCapacity func(service string) int

// SetEndpoints replaces the list of live endpoints. The state of an endpoint is kept as
// long as its process runs; an endpoint that has restarted starts with none.
func (b *Board) SetEndpoints(list []lagoonhead.Endpoint, capacity CacheCapacity) {
	next := make(map[lagoonhead.EndpointID]*target, len(list))
	services := make(map[string][]*target)
	for _, e := range list {
		t := b.findTarget(e)
		if t == nil {
			t = &target{
				seed:  xxhash.Sum64String(string(e.ID())),
				own:   Work{Endpoint: e.ID()},
				peers: make(map[lagoonhead.VMID]peerWork),
				cache: newPartCache(0),
			}
		}
		// An endpoint may be known before the configuration that states its capacity.
		t.cache.setCapacity(capacity(e.Serves()))
		if t.endpoint.Role() != e.Role() {
			t.changingUntil = 0
		}
		t.endpoint = e
		b.addVersion(e)
		next[e.ID()] = t
		services[e.Serves()] = append(services[e.Serves()], t)
	}
	b.targets, b.services = next, services
}

// Len returns the number of endpoints.
func (b *Board) Len() int { return len(b.targets) }

// SetPeerWork replaces the work that a peer reported before by its new report. hub reports
// whether the peer is a hub.
func (b *Board) SetPeerWork(now time.Duration, vm lagoonhead.VMID, hub bool, works []Work) {
	seen := make(map[lagoonhead.EndpointID]bool, len(works))
	for _, w := range works {
		t := b.targets[w.Endpoint]
		if t == nil {
			continue
		}
		seen[w.Endpoint] = true
		w.Age = max(0, w.Age)
		next := peerWork{Work: w}
		if old, ok := t.peers[vm]; ok {
			next = old.add(w)
			b.addSent(t.endpoint.Serves(), next.prefill-old.prefill, next.run-old.run)
			t.outcomes.add(now, float64(next.good-old.good), float64(next.bad-old.bad))
			t.estimate.sent.add(now, float64(next.prefill-old.prefill+next.run-old.run), sentDecayTime)
			b.addRefusals(now, t, next.refused-old.refused)
			b.addMeasured(now, t, next.forecast-old.forecast, next.took-old.took)
		}
		next.received, next.hub = now, hub
		t.estimate.valid = false
		t.mergeLimit(now, &w)
		for _, part := range w.RecentParts {
			t.cache.addFromPeer(now, b.reportTTL(), part, vm, hub)
		}
		t.peers[vm] = next
	}
	for id, t := range b.targets {
		if !seen[id] {
			delete(t.peers, vm)
		}
	}
}

// addSent adds to the tokens that were sent.
func (b *Board) addSent(service string, prefill, run int64) {
	if b.sent == nil {
		b.sent = make(map[string]sentTokens)
	}
	n := b.sent[service]
	n.prefill += prefill
	n.run += run
	b.sent[service] = n
}

type sentTokens struct{ prefill, run int64 }

// Demand is the work of all daemons for a service.
type Demand struct {
	// SentToPrefill counts the tokens sent since this daemon started to engines that only
	// prefill, and SentToRun those sent for prefill to the engine that runs the request.
	SentToPrefill, SentToRun int64
	// Backlog is the number of tokens that wait at engines that only prefill.
	Backlog int
	// Running counts the requests that run on engines that don't only prefill.
	Running int
	// Rate is the mean prefill rate in tokens per second.
	Rate float64
}

// Demand returns the work of all daemons for a service.
func (b *Board) Demand(now time.Duration, service string) Demand {
	d := Demand{SentToPrefill: b.sent[service].prefill, SentToRun: b.sent[service].run, Rate: b.serviceRate(service) * 1000}
	for _, t := range b.services[service] {
		if t.endpoint.Role() == lagoonhead.RolePrefill {
			d.Backlog += b.backlog(now, t)
		} else {
			d.Running += b.running(now, t)
		}
	}
	return d
}

// Report returns the work at each endpoint that has any, as a report to a peer: that of this
// daemon and what the peer does not hear otherwise.
func (b *Board) Report(now time.Duration, to Recipient) []Work {
	var list []Work
	for _, t := range b.targets {
		if w := b.reportOf(now, t, to); w.hasAny() {
			list = append(list, w)
		}
	}
	return list
}

// hasAny reports whether there is anything to report.
func (w Work) hasAny() bool {
	return w.PrefillTokens > 0 || w.Running > 0 || w.PrefillTotal > 0 || w.RunTotal > 0 || w.Good > 0 || w.Bad > 0 || w.Refused > 0 || len(w.RecentParts) > 0 || w.HasLimit
}

func (b *Board) reportOf(now time.Duration, t *target, to Recipient) Work {
	w, ttl := t.own, b.reportTTL()
	var age, weights float64
	for vm, p := range t.peers {
		if !to.wants(vm, p.hub) {
			continue
		}
		w.PrefillTotal += p.prefill
		w.RunTotal += p.run
		w.Good += p.good
		w.Bad += p.bad
		w.Refused += p.refused
		w.Forecast += p.forecast
		w.Took += p.took
		if now-p.received < ttl {
			w.PrefillTokens += p.PrefillTokens
			w.Running += p.Running
			weight := float64(p.PrefillTokens + 1)
			age += weight * float64(now-p.received+p.Age)
			weights += weight
		}
	}
	if weights > 0 {
		w.Age = time.Duration(age / (weights + float64(t.own.PrefillTokens)))
	}
	w.RecentParts = t.cache.recentSince(now-ttl, to)
	t.reportLimit(now, &w)
	return w
}

// rate returns the prefill rate of a target in tokens per millisecond.
func (b *Board) rate(t *target) float64 {
	if b.estimates() && t.estimate.slowness > 0 {
		return referenceRate / t.estimate.slowness
	}
	if t.rate > 0 {
		return t.rate
	}
	return b.serviceRate(t.endpoint.Serves())
}

// serviceRate returns the mean prefill rate of a service in tokens per millisecond.
func (b *Board) serviceRate(service string) float64 {
	if r := b.rates[service]; r > 0 {
		return r
	}
	return defaultPrefillRate
}

func (b *Board) prefillTime(t *target, tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.rate(t) * float64(time.Millisecond))
}

// mix combines two hashes into one whose bits depend on both.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b|1)
	return hi ^ lo
}

// AddRunning adds change to the number of this daemon's requests that run on the endpoint.
func (b *Board) AddRunning(e lagoonhead.Endpoint, change int) {
	if t := b.findTarget(e); t != nil {
		t.own.Running += change
	}
}

// findTarget returns the target of an endpoint, or nil if the endpoint is unknown or has
// restarted since.
func (b *Board) findTarget(e lagoonhead.Endpoint) *target {
	t := b.targets[e.ID()]
	if t == nil || t.endpoint.Incarnation() != e.Incarnation() || t.endpoint.Address() != e.Address() || t.endpoint.Software() != e.Software() {
		return nil
	}
	return t
}

// SetChanging records that an engine takes no work until the given time, or until it
// registers with another role.
func (b *Board) SetChanging(id lagoonhead.EndpointID, until time.Duration) {
	if t := b.targets[id]; t != nil && until > t.changingUntil {
		t.changingUntil = until
	}
}

// Result is the outcome of work on an endpoint.
type Result uint8

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"neutral", "good", "bad", "unreachable", "refused"}[r]
}

// Outcomes of work on an endpoint.
const (
	// Neutral is an outcome that the endpoint isn't responsible for: the caller left, or the
	// deadline of the request passed.
	Neutral Result = iota
	Good
	// Bad means that the work failed at the endpoint.
	Bad
	// Unreachable means that the endpoint accepted no connection.
	Unreachable
	// Refused means that the endpoint has no room or is changing its role.
	Refused
)

// RecordResult records the outcome of work on an endpoint. If this outcome excludes the
// endpoint, it returns for how long the endpoint gets no work, else 0.
func (b *Board) RecordResult(now time.Duration, e lagoonhead.Endpoint, r Result) (excludedFor time.Duration) {
	t := b.findTarget(e)
	if t == nil {
		return 0
	}
	before := t.health.remaining(now)
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
		t.health.unreachable(now)
		t.suspectCold(now)
		t.own.Bad++
		t.outcomes.add(now, 0, 1)
	case Refused:
		t.health.refused(now)
		if b.estimates() {
			t.own.Refused++
			b.addRefusals(now, t, 1)
		}
	case Neutral:
	}
	if before > 0 {
		return 0
	}
	return t.health.remaining(now)
}

// ExcessFailureRate returns by how much an endpoint's recent failure rate, as seen by all
// daemons, exceeds the baseline.
func (b *Board) ExcessFailureRate(now time.Duration, e lagoonhead.Endpoint) float64 {
	if t := b.findTarget(e); t != nil {
		return t.outcomes.excess(now)
	}
	return 0
}
