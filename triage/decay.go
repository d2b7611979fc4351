package triage

import (
	"math"
	"time"
)

// memory is the time constant with which counts decay. A VM of a large fleet sees about one long
// prompt a second, so that less would leave one or two of them. Phases of overload last longer.
const memory = 4 * time.Second

// decayFactor returns by how much a count has decayed after d.
func decayFactor(d, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, d).Seconds() / timeConstant.Seconds())
}

// delays estimates a delay from recent ones.
type delays struct {
	sum, weight float64 // seconds, number; both decay
	at          time.Duration
}

// add records a delay.
func (s *delays) add(now, d time.Duration) {
	f := decayFactor(now-s.at, memory)
	s.sum, s.weight, s.at = s.sum*f+d.Seconds(), s.weight*f+1, now
}

// estimate returns the mean of the recent delays and of a forecast, which counts as one of them.
func (s *delays) estimate(now, forecast time.Duration) time.Duration {
	f := decayFactor(now-s.at, memory)
	return time.Duration((s.sum*f + forecast.Seconds()) / (s.weight*f + 1) * float64(time.Second))
}

// ratio is the part of decaying counts.
type ratio struct {
	part, all float64
	at        time.Duration
}

// add records one count.
func (s *ratio) add(now time.Duration, isPart bool) {
	f := decayFactor(now-s.at, memory)
	s.part, s.all, s.at = s.part*f, s.all*f+1, now
	if isPart {
		s.part++
	}
}

// queued is the number of this VM's tokens that wait at engines, in total and of prompts that were
// put behind, with their decaying integrals over time.
type queued struct {
	all, behind                 int
	allIntegral, behindIntegral float64 // tokens times seconds
	at                          time.Duration
}

// advance integrates up to now.
func (s *queued) advance(now time.Duration) {
	f := decayFactor(now-s.at, memory)
	grown := (1 - f) * memory.Seconds()
	s.allIntegral = s.allIntegral*f + float64(s.all)*grown
	s.behindIntegral = s.behindIntegral*f + float64(s.behind)*grown
	s.at = now
}

// minQueued is the queue, in tokens times seconds, that is added to the measured one, so that a
// single prompt is no evidence: about one long prompt that waits for a second.
const minQueued = 4_000

// behindShare returns the part of the recent queue that was put behind.
func (s *queued) behindShare(now time.Duration) float64 {
	s.advance(now)
	return s.behindIntegral / (s.allIntegral + minQueued)
}

// leastWait is the least forecast per token, in seconds. It rises with usualMemory while the service
// is not overloaded, since engines may have become slower.
type leastWait struct {
	perToken float64
	at       time.Duration
}

// observe adds a forecast and returns the least one for the same number of tokens.
func (s *leastWait) observe(now, wait time.Duration, tokens int, overloaded bool) time.Duration {
	n := float64(max(1, tokens))
	switch x := wait.Seconds() / n; {
	case s.perToken == 0 || x < s.perToken:
		s.perToken = x
	case !overloaded:
		s.perToken += (x - s.perToken) * (1 - decayFactor(now-s.at, usualMemory))
	}
	s.at = now
	return time.Duration(s.perToken * n * float64(time.Second))
}
