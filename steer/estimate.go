package steer

import (
	"expvar"
	"fmt"
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// sentDecayTime is the time after which the weight of tokens that peers sent to an engine has
	// dropped to 1/e in their rate. An engine gets some three long prompts a second.
	sentDecayTime = 3 * time.Second
	// undoneTime is the time within which the prompts that peers send are expected not to be
	// prefilled yet, however fast the engine is: about the prefill time of a long prompt whose
	// shared part is cached.
	undoneTime = 80 * time.Millisecond
	// maxSentRatio bounds the rate at which peers are taken to send to an engine, in multiples of its
	// prefill rate. A report that comes after a gap has the work of the whole gap, and a VM that
	// changes its hub hears some work twice: an engine with 16,000 reported tokens was taken for one
	// with 728,000, and its service for full.
	maxSentRatio = 2
	// maxExtrapolation bounds the age of a report for which work sent since is estimated. Loads change
	// within a second, and an older report tells little of the present.
	maxExtrapolation = time.Second
	// slownessDecayTime is the time after which the weight of a measured prefill has dropped to
	// 1/e in an engine's slowness. An engine keeps its speed, and within this time all VMs together
	// measure some dozens of prefills there.
	slownessDecayTime = 15 * time.Second
	// errorDecayTime is the same for the forecast error, which notices that an engine is slow for
	// some 0.6 s.
	errorDecayTime = time.Second
	// referenceRate is the prefill rate, in tokens per millisecond, of the engine for which times
	// are forecast in heartbeats. It is the same in all releases.
	referenceRate = 20.0
	// slownessPrior and errorPrior are the forecast times that are assumed to have been measured
	// without an error, so that single prefills change the estimate little: those of two long
	// prompts and of one.
	slownessPrior, errorPrior = 1600 * time.Millisecond, time.Second
	// maxRunSlowness bounds the slowness by which runs are distributed, and its inverse. Engines have
	// speeds of 0.6 to 1.6.
	maxRunSlowness = 2.0
	// refusalCost is the cost of a refusal: the time of another attempt, which also uses a part of
	// the retry budget.
	refusalCost = 200 * time.Millisecond
	// refusalPrior is the number of recent outcomes without a refusal that is assumed for every
	// endpoint.
	refusalPrior = 3
	// maxForecastError bounds the recent forecast error of an engine, and its inverse.
	maxForecastError = 5.0
	// estimateTTL is the time for which the estimate of an engine is kept if no report comes.
	estimateTTL = 50 * time.Millisecond
)

// decayingSum is a sum whose terms lose weight exponentially with their age.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (s *decayingSum) add(now time.Duration, v float64, decay time.Duration) {
	s.sum, s.at = s.value(now, decay)+v, now
}

func (s *decayingSum) value(now time.Duration, decay time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-float64(now-s.at)/float64(decay))
}

// forecastRatio compares the time that prefills took with what was forecast, both in milliseconds.
type forecastRatio struct{ forecast, took decayingSum }

func (r *forecastRatio) add(now time.Duration, forecast, took float64, decay time.Duration) {
	r.forecast.add(now, forecast, decay)
	r.took.add(now, took, decay)
}

// value returns the ratio of the time taken to the forecast, with a prior of a ratio.
func (r *forecastRatio) value(now, decay, prior time.Duration, ratio float64) float64 {
	p := float64(prior / time.Millisecond)
	return (r.took.value(now, decay) + p*ratio) / (r.forecast.value(now, decay) + p)
}

// estimate is what is expected of an engine's present load where reports are old.
type estimate struct {
	// sent is the number of tokens that peers sent lately.
	sent decayingSum
	// lasting and recent compare the times of prefills with forecasts for an engine of
	// referenceRate.
	lasting, recent forecastRatio
	// refused is the number of refusals that all daemons had lately.
	refused decayingSum

	// The fields below are valid from updatedAt for estimateTTL, until the next report.
	valid     bool
	updatedAt time.Duration
	// reported is the number of tokens that wait by the reports of peers, whose mean age was
	// age at updatedAt.
	reported float64
	age      time.Duration
	// sentRate is the rate at which peers send, in tokens per millisecond.
	sentRate float64
	// slowness is the time of a prefill as a multiple of that of an engine of referenceRate.
	slowness float64
}

// addMeasured records the times of prefills at a target and of their forecasts.
func (b *Board) addMeasured(now time.Duration, t *target, forecastTime, tookTime time.Duration) {
	forecast, took := milliseconds(forecastTime), milliseconds(tookTime)
	if forecast <= 0 {
		return
	}
	b.addRunRatio(now, t, forecast, took)
	e := &t.estimate
	// One prefill that waited behind others that no report showed changes the lasting speed little.
	e.lasting.add(now, forecast, min(took, maxRateStep*forecast*b.lastingSlowness(now, t)), slownessDecayTime)
	e.recent.add(now, forecast, took, errorDecayTime)
	e.valid = false
}

// estimates reports whether loads are estimated, which is so where reports are old.
func (b *Board) estimates() bool { return b.Spread && !b.unchanged }

// estimateOf returns the up-to-date estimate of a target.
func (b *Board) estimateOf(now time.Duration, t *target) *estimate {
	e := &t.estimate
	if e.valid && now-e.updatedAt < estimateTTL {
		return e
	}
	e.valid, e.updatedAt = true, now
	e.reported, e.age = 0, 0
	var weights float64
	ttl := b.reportTTL()
	for _, w := range t.peers {
		if now-w.received >= ttl {
			continue
		}
		e.reported += float64(w.PrefillTokens)
		weight := float64(w.PrefillTokens + 1)
		weights += weight
		e.age += time.Duration(weight * float64(now-w.received+w.Age))
	}
	if weights > 0 {
		e.age = time.Duration(float64(e.age) / weights)
	}
	e.sentRate = e.sent.value(now, sentDecayTime) / float64(sentDecayTime/time.Millisecond)
	lasting := b.lastingSlowness(now, t)
	recent := e.recent.value(now, errorDecayTime, errorPrior, lasting)
	e.slowness = min(max(recent, lasting/maxForecastError), lasting*maxForecastError)
	return e
}

// lastingSlowness returns the slowness of a target over slownessDecayTime.
func (b *Board) lastingSlowness(now time.Duration, t *target) float64 {
	return t.estimate.lasting.value(now, slownessDecayTime, slownessPrior, referenceRate/b.serviceRate(t.endpoint.Serves()))
}

// queued returns the number of tokens of all daemons that are expected to wait for prefill at a
// target. Where reports are old it is this daemon's own work, which is known exactly, plus what
// peers reported, plus what they have sent since at the rate of late, minus what the engine
// has done since.
func (b *Board) queued(now time.Duration, t *target) int {
	if !b.estimates() {
		return b.backlog(now, t)
	}
	e := b.estimateOf(now, t)
	age, sentRate := e.extrapolation(now), min(e.sentRate, maxSentRatio*b.rate(t))
	others := e.reported + (sentRate-b.rate(t))*milliseconds(age)
	least := sentRate * milliseconds(min(age, undoneTime))
	return t.own.PrefillTokens + int(max(others, least))
}

// extrapolation returns the time for which the work of peers is estimated.
func (e *estimate) extrapolation(now time.Duration) time.Duration {
	return min(e.age+now-e.updatedAt, maxExtrapolation)
}

// occupancy returns the time for which a prefill occupies a target that also runs requests. The measured
// speed of such an engine includes the wait for a place in its batch, which delays no others.
func (b *Board) occupancy(t *target, tokens int) time.Duration {
	if !b.estimates() {
		return b.prefillTime(t, tokens)
	}
	return time.Duration(float64(tokens) / b.serviceRate(t.endpoint.Serves()) * float64(time.Millisecond))
}

// runSlowness returns the time to the first event of the runs of a target that prefill their prompt, as a
// multiple of the mean of the service, or 1 where it is not known.
func (b *Board) runSlowness(now time.Duration, t *target) float64 {
	mean := b.runRatios[t.endpoint.Serves()]
	if !b.estimates() || mean == nil {
		return 1
	}
	v := b.estimateOf(now, t).slowness / mean.value(now, slownessDecayTime, slownessPrior, referenceRate/b.serviceRate(t.endpoint.Serves()))
	return min(max(v, 1/maxRunSlowness), maxRunSlowness)
}

// addRunRatio records the times of prefills by engines that run requests, in milliseconds.
func (b *Board) addRunRatio(now time.Duration, t *target, forecast, took float64) {
	if t.endpoint.Role() == lagoonhead.RolePrefill || forecast <= 0 {
		return
	}
	if b.runRatios == nil {
		b.runRatios = make(map[string]*forecastRatio)
	}
	r := b.runRatios[t.endpoint.Serves()]
	if r == nil {
		r = new(forecastRatio)
		b.runRatios[t.endpoint.Serves()] = r
	}
	r.add(now, forecast, took, slownessDecayTime)
}

// addRefusals records refusals of this daemon's requests or of a peer's.
func (b *Board) addRefusals(now time.Duration, t *target, n int64) {
	if n > 0 {
		t.estimate.refused.add(now, float64(n), errorDecayTime)
		b.vars.refusals.Add(n)
	}
}

// refusalRisk returns the expected cost to a request of refusals by a target, as all daemons had them
// in the last second. A refusal that a peer reports does not exclude the endpoint: it is older than
// the time for which one excludes it at the daemon that was refused.
func (b *Board) refusalRisk(now time.Duration, t *target) time.Duration {
	n := t.estimate.refused.value(now, errorDecayTime)
	if n == 0 || b.IgnoreFailures || !b.estimates() {
		return 0
	}
	f := t.outcomes.decayFactor(now) * float64(errorDecayTime) / float64(outcomeDecayTime)
	return time.Duration(n / (n + (t.outcomes.good+t.outcomes.bad)*f + refusalPrior) * float64(refusalCost))
}

// recordForecast records how long the prefill of a choice took.
func (b *Board) recordForecast(now time.Duration, t *target, v PrefillChoice, took time.Duration) {
	forecast := v.Estimate.forecast
	if !b.estimates() || forecast <= 0 {
		return
	}
	b.vars.forecasts.Add(1)
	b.vars.forecastMs.Add(v.Wait.Milliseconds())
	b.vars.tookMs.Add(took.Milliseconds())
	b.vars.errorMs.Add((took - v.Wait).Abs().Milliseconds())
	if v.PrefillOnly {
		took = max(0, took-handOverCost)
	}
	t.own.Forecast += forecast
	t.own.Took += took
	b.addMeasured(now, t, forecast, took)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Estimate is what a choice of an engine for prefill assumed of the engine's load. It is the zero value
// where reports are fresh.
type Estimate struct {
	// Queued is the number of tokens that were expected to wait for prefill, and Reported the number
	// by the last reports, of a mean age of Age.
	Queued, Reported int
	Age              time.Duration
	// Rate is the expected prefill rate in tokens per millisecond.
	Rate float64
	// Unseen is the part of the expected time that is due to tokens which no report shows. It is too
	// uncertain to refuse a prompt for.
	Unseen time.Duration
	// forecast is the expected time of the prefill at an engine of referenceRate, without the cost
	// of a hand-over.
	forecast time.Duration
}

// String describes the estimate for the log, or is empty where none was made.
func (e Estimate) String() string {
	if e.Rate == 0 {
		return ""
	}
	return fmt.Sprintf(", %d tokens queued, %d reported %s ago, %.1f tokens/ms", e.Queued, e.Reported, e.Age.Round(time.Millisecond), e.Rate)
}

// describe returns the estimate of a target behind a choice by which prefill is the expected time
// of the prefill.
func (b *Board) describe(now time.Duration, t *target, queued int, prefill time.Duration) Estimate {
	if !b.estimates() {
		return Estimate{}
	}
	e := b.estimateOf(now, t)
	v := Estimate{
		Queued: queued, Reported: t.own.PrefillTokens + int(e.reported), Age: e.age + now - e.updatedAt, Rate: b.rate(t),
		forecast: time.Duration(float64(prefill) / e.slowness),
	}
	if unseen := v.Queued - v.Reported; unseen > 0 {
		v.Unseen = b.prefillTime(t, unseen)
		if t.endpoint.Role() != lagoonhead.RolePrefill {
			v.Unseen *= RunSlowdown
		}
	}
	return v
}

// Vars returns the counters of choices and forecasts. They stay 0 where reports are fresh.
func (b *Board) Vars() *expvar.Map {
	m := new(expvar.Map)
	for name, v := range map[string]*expvar.Int{
		"shortDrawn": &b.vars.shortDrawn, "shortCompared": &b.vars.shortCompared, "drawn": &b.vars.drawn, "compared": &b.vars.compared,
		"forecasts": &b.vars.forecasts, "forecastMs": &b.vars.forecastMs, "tookMs": &b.vars.tookMs, "errorMs": &b.vars.errorMs,
		"refusals": &b.vars.refusals,
	} {
		m.Set(name, v)
	}
	return m
}

// estimateVars are the counters of a board.
type estimateVars struct {
	// shortDrawn counts the short prompts for which an engine was chosen among some that were drawn,
	// and shortCompared those for which the drawn ones were too bad; drawn counts the prompts for
	// which an engine was chosen among those that have the shared part, its homes and some that
	// were drawn, and compared those for which all engines were compared.
	shortDrawn, shortCompared, drawn, compared expvar.Int
	// forecasts counts the prefills that ended; forecastMs is the sum of their expected times, tookMs
	// the sum of the times that they took, and errorMs that of the absolute differences.
	forecasts, forecastMs, tookMs, errorMs expvar.Int
	// refusals counts the refusals of this daemon's requests and those that peers reported.
	refusals expvar.Int
}
