package steer

import (
	"math"
	"time"
)

const (
	// outcomeLife is the time after which an outcome counts 1/e. Within it six daemons
	// together see some dozens of outcomes at each endpoint, and an endpoint that is
	// well again gets work again.
	outcomeLife = 2 * time.Second
	// outcomePrior is the number of successes that every endpoint is assumed to have had
	// lately, so that one failure of few says little.
	outcomePrior = 10
	// usualFailures is the part of the work whose failure says nothing about an endpoint,
	// since requests of some kinds fail wherever they run.
	usualFailures = 0.1
	// lossCost is what it costs to lose a request that cannot be repeated. It is above
	// lateCost: a late answer still has some worth.
	lossCost = 1400 * time.Millisecond
	// repeatCost is what a failure costs that is made up for by a repeat: the time until it
	// shows, and a second run.
	repeatCost = 300 * time.Millisecond
)

// outcomes estimates the part of an endpoint's work that fails at present, from what all
// daemons saw.
type outcomes struct {
	good, bad float64
	at        time.Duration
}

func (o *outcomes) add(now time.Duration, good, bad float64) {
	f := o.faded(now)
	o.good, o.bad, o.at = o.good*f+good, o.bad*f+bad, now
}

func (o *outcomes) faded(now time.Duration) float64 {
	return math.Exp(-float64(now-o.at) / float64(outcomeLife))
}

// excess returns the part of the work that fails beyond the usual.
func (o *outcomes) excess(now time.Duration) float64 {
	f := o.faded(now)
	return max(0, o.bad*f/((o.good+o.bad)*f+outcomePrior)-usualFailures)
}

// risk returns what the failures of a target cost a request on average.
func (b *Board) risk(now time.Duration, t *target, repeatable bool) time.Duration {
	if b.IgnoreFailures {
		return 0
	}
	cost := lossCost
	if repeatable {
		cost = repeatCost
	}
	return time.Duration(t.outcomes.excess(now) * float64(cost))
}
