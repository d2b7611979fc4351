package route

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// initialBackOff is how long an endpoint gets no requests after its first failure.
	initialBackOff = time.Second
	// maxBackOff bounds the doubling of the back-off.
	maxBackOff = 30 * time.Second
	// toleratedTimeouts is how many consecutive timeouts an endpoint may have before it
	// counts as failing; a single one may be due to a short deadline of the caller.
	toleratedTimeouts = 2
)

const (
	// slowdownWeight is the weight of a new observation in the moving average of an
	// endpoint's slowdown.
	slowdownWeight = 0.3
	// slowdownHalfLife is the time in which the slowdown of an endpoint without
	// observations falls halfway back to 1, so that a recovered endpoint is tried again.
	slowdownHalfLife = 10 * time.Second
	// meanRatioWeight is the weight of a new observation in the moving average over all
	// endpoints.
	meanRatioWeight = 0.02
	// maxSlowdown bounds the effect of one hung request on the averages.
	maxSlowdown = 50
	// slowdownThreshold is the slowdown from which predictions include it. Smaller values
	// are mostly random variation.
	slowdownThreshold = 4
	// observationNoise is added to observed and predicted times, so that the ratio of
	// two short times stays close to 1.
	observationNoise = 100 * time.Millisecond
)

// staleAfter is the age above which a load report is stale: estimates then rely less
// on it.
const staleAfter = 3 * time.Second

// failing reports whether the endpoint must get no requests now because of its
// failures: its back-off has not ended, or another request already probes it.
func failing(now time.Duration, s *lagoonhead.EngineState) bool {
	return s.Failures > toleratedTimeouts && (now < s.RetryAt || s.Probing)
}

// slowdown returns the factor on predicted times: the learned slowdown if it reaches
// slowdownThreshold, or else 1.
func slowdown(now time.Duration, s *lagoonhead.EngineState) float64 {
	if v := learnedSlowdown(now, s); v >= slowdownThreshold {
		return v
	}
	return 1
}

// learnedSlowdown returns the endpoint's slowdown, which decays towards 1 without
// observations.
func learnedSlowdown(now time.Duration, s *lagoonhead.EngineState) float64 {
	if s.Slowdown <= 1 {
		return 1
	}
	age := float64(now-s.SlowdownAt) / float64(slowdownHalfLife)
	return 1 + (s.Slowdown-1)*math.Exp2(-max(age, 0))
}

// observe updates the endpoint's slowdown with the time that a first token took or,
// when arrived is false, has taken so far; the latter can only raise the slowdown.
//
// The slowdown is relative to the mean of all endpoints, because a cause that slows
// all of them, such as larger batches, does not make this endpoint a worse choice.
func (t *Table) observe(now time.Duration, k *Ticket, arrived bool) {
	s := &t.states[k.engine]
	ratio := float64(now-k.at+observationNoise) / float64(k.base+observationNoise)
	mean := max(t.meanRatio, 1)
	if arrived {
		t.meanRatio += meanRatioWeight * (min(ratio, maxSlowdown) - t.meanRatio)
	}
	ratio = min(max(ratio/mean, 1), maxSlowdown)
	old := learnedSlowdown(now, s)
	if !arrived && ratio <= old {
		return
	}
	s.Slowdown = old + slowdownWeight*(ratio-old)
	s.SlowdownAt = now
}

// recordOutcome updates the failure count and back-off of the endpoint with the
// outcome of an attempt.
func recordOutcome(now time.Duration, s *lagoonhead.EngineState, k *Ticket, o lagoonhead.Outcome) {
	if k.probe {
		s.Probing = false
	}
	if !o.Failed {
		if s.Failures <= toleratedTimeouts || k.probe {
			s.Failures = 0
		}
		return
	}
	var step int
	switch o.Kind {
	case lagoonhead.KindCrashed, lagoonhead.KindUnavailable:
		step = toleratedTimeouts + 1
	case lagoonhead.KindTimeout, lagoonhead.KindUnknown:
		step = 1
	default:
		return
	}
	if s.Failures > toleratedTimeouts {
		// The requests that were in flight when the endpoint failed count as one failure.
		if !k.probe {
			return
		}
		step = 1
	}
	s.Failures += step
	if s.Failures > toleratedTimeouts {
		s.RetryAt = now + backOff(s.Failures-toleratedTimeouts)
	}
}

// backOff returns how long an endpoint gets no requests after n consecutive failures.
func backOff(n int) time.Duration {
	d := initialBackOff
	for range n - 1 {
		d *= 2
		if d >= maxBackOff {
			return maxBackOff
		}
	}
	return d
}
