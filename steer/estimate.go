package steer

import (
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
	// slownessDecayTime is the time after which the weight of a measured prefill has dropped to
	// 1/e in an engine's slowness. An engine keeps its speed, and within this time all VMs together
	// measure some dozens of prefills there.
	slownessDecayTime = 15 * time.Second
	// errorDecayTime is the same for the forecast error, which notices that an engine is slow for
	// some 0.6 s.
	errorDecayTime = time.Second
	// slownessPrior and errorPrior are the forecast time that is assumed to have been measured
	// without an error, so that single prefills change the estimate little.
	slownessPrior, errorPrior = 500 * time.Millisecond, 300 * time.Millisecond
	// maxSlowness bounds an engine's slowness and forecast error, and their inverses.
	maxSlowness = 5.0
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
func (r *forecastRatio) value(now, decay time.Duration, prior time.Duration, ratio float64) float64 {
	p := float64(prior / time.Millisecond)
	v := (r.took.value(now, decay) + p*ratio) / (r.forecast.value(now, decay) + p)
	return min(max(v, 1/maxSlowness), maxSlowness)
}

// estimate is what is expected of an engine's present load where reports are old.
type estimate struct {
	// sent is the number of tokens that peers sent lately.
	sent decayingSum
	// lasting and recent compare the times of prefills with forecasts that assume an engine of mean
	// speed.
	lasting, recent forecastRatio

	// The fields below are valid from updatedAt for estimateTTL, until the next report.
	valid     bool
	updatedAt time.Duration
	// reported is the number of tokens that wait by the reports of peers, whose mean age was
	// age at updatedAt.
	reported float64
	age      time.Duration
	// sentRate is the rate at which peers send, in tokens per millisecond.
	sentRate float64
	// slowness is the time of a prefill as a multiple of that of an engine of mean speed.
	slowness float64
}

// measured records the times of prefills and of their forecasts, in milliseconds.
func (e *estimate) measured(now time.Duration, forecast, took float64) {
	if forecast <= 0 {
		return
	}
	e.lasting.add(now, forecast, took, slownessDecayTime)
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
	lasting := e.lasting.value(now, slownessDecayTime, slownessPrior, 1)
	e.slowness = e.recent.value(now, errorDecayTime, errorPrior, lasting)
	return e
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
	age := float64(e.age+now-e.updatedAt) / float64(time.Millisecond)
	others := e.reported + (e.sentRate-b.rate(t))*age
	least := e.sentRate * min(age, float64(undoneTime/time.Millisecond))
	return t.own.PrefillTokens + int(max(others, least))
}

// forecast notes in a choice how long the prefill would take at an engine of mean speed.
func (b *Board) forecast(t *target, v *PrefillChoice, prefill time.Duration) {
	if b.estimates() {
		v.forecast = time.Duration(float64(prefill) / t.estimate.slowness)
	}
}

// recordForecast records how long a prefill took that was forecast for an engine of mean speed.
func (b *Board) recordForecast(now time.Duration, t *target, forecast, took time.Duration) {
	if !b.estimates() || forecast <= 0 {
		return
	}
	t.own.Forecast += forecast
	t.own.Took += took
	t.estimate.measured(now, milliseconds(forecast), milliseconds(took))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Estimate is what a log line can show of an engine's estimated load.
type Estimate struct {
	// Queued is the number of tokens that are expected to wait for prefill, and Reported the number
	// by the last reports, whose mean age is Age.
	Queued, Reported int
	Age              time.Duration
	// Slowness is the time of a prefill as a multiple of that of an engine of mean speed.
	Slowness float64
}

// EstimateOf returns the estimate of an engine's load; ok is false if the engine is unknown or if
// reports are fresh, so that none is made.
func (b *Board) EstimateOf(now time.Duration, e lagoonhead.Endpoint) (v Estimate, ok bool) {
	t := b.findTarget(e)
	if t == nil || !b.estimates() {
		return v, false
	}
	s := b.estimateOf(now, t)
	return Estimate{Queued: b.queued(now, t), Reported: t.own.PrefillTokens + int(s.reported), Age: s.age, Slowness: s.slowness}, true
}
