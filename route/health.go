package route

import (
	"math"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// firstBackOff is the time without work after a first failure.
	firstBackOff = time.Second
	// longestBackOff bounds the doubling of the back-off.
	longestBackOff = 30 * time.Second
	// toleratedTimeouts is how many timeouts in a row an endpoint may have before it
	// counts as failing; a single one may be the caller's short deadline.
	toleratedTimeouts = 2
)

const (
	// slowdownWeight is the weight of a new observation in the running mean.
	slowdownWeight = 0.3
	// slowdownHalfLife halves the excess slowdown of an endpoint without
	// observations, so that a recovered endpoint is tried again.
	slowdownHalfLife = 10 * time.Second
	// commonWeight is the weight of a new observation in the mean of all endpoints.
	commonWeight = 0.02
	// mostSlowdown bounds what is learned from one hung request.
	mostSlowdown = 50
	// leastSlowdown is the slowdown from which predictions count it. Below it, chance
	// dominates.
	leastSlowdown = 4
	// observationNoise is added to observed and predicted times, so that short ones
	// say little.
	observationNoise = 100 * time.Millisecond
)

// staleAfter is the age from which a load report counts for less.
const staleAfter = 3 * time.Second

// failing reports whether the endpoint must not get work now.
func failing(now time.Duration, s *lagoonhead.EngineState) bool {
	return s.Failures > toleratedTimeouts && (now < s.RetryAt || s.Probing)
}

// slowdown returns the slowdown that counts in predictions.
func slowdown(now time.Duration, s *lagoonhead.EngineState) float64 {
	if v := learned(now, s); v >= leastSlowdown {
		return v
	}
	return 1
}

// learned returns the endpoint's slowdown, which fades without observations.
func learned(now time.Duration, s *lagoonhead.EngineState) float64 {
	if s.Slowdown <= 1 {
		return 1
	}
	age := float64(now-s.SlowdownAt) / float64(slowdownHalfLife)
	return 1 + (s.Slowdown-1)*math.Exp2(-max(age, 0))
}

// What slows all endpoints, as a fuller batch does, says nothing about one of them,
// so a slowdown is relative to the mean.
//
// observe corrects the slowdown by the time that a first token took. An answer
// that is still due can only raise it.
func (t *Table) observe(now time.Duration, k *Ticket, arrived bool) {
	s := &t.states[k.engine]
	seen := float64(now-k.at+observationNoise) / float64(k.base+observationNoise)
	common := max(t.common, 1)
	if arrived {
		t.common += commonWeight * (min(seen, mostSlowdown) - t.common)
	}
	seen = min(max(seen/common, 1), mostSlowdown)
	old := learned(now, s)
	if !arrived && seen <= old {
		return
	}
	s.Slowdown = old + slowdownWeight*(seen-old)
	s.SlowdownAt = now
}

// judge counts the outcome of an attempt for or against the endpoint.
func judge(now time.Duration, s *lagoonhead.EngineState, k *Ticket, o lagoonhead.Outcome) {
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
		// All requests that were in flight at one failure count once.
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

// backOff returns the time without work after n failures in a row.
func backOff(n int) time.Duration {
	d := firstBackOff
	for range n - 1 {
		d *= 2
		if d >= longestBackOff {
			return longestBackOff
		}
	}
	return d
}
