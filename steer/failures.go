package steer

import (
	"math"
	"time"
)

const (
	// outcomeDecayTime is the time after which the weight of an outcome has dropped to 1/e.
	// Within it six daemons together see some dozens of outcomes at each endpoint, and an
	// endpoint that has recovered gets work again.
	outcomeDecayTime = 2 * time.Second
	// priorSuccesses is the number of recent successes that is assumed for every endpoint, so
	// that one failure among few outcomes weighs little.
	priorSuccesses = 10
	// drawPriorSuccesses is the same where engines are drawn at random. An engine of a large fleet has
	// some dozen outcomes in outcomeDecayTime, and hardly any once it is avoided. With 10 assumed
	// successes, one that loses 40% of its answers seemed hardly worse than a loaded one.
	drawPriorSuccesses = 3
	// baselineFailureRate is the failure rate that isn't counted against an endpoint, since
	// requests of some kinds fail wherever they run.
	baselineFailureRate = 0.1
	// lossCost is the cost of losing a request that can't be retried. It is above lateCost: a
	// late answer is worth more than none.
	lossCost = 1400 * time.Millisecond
	// retryCost is the cost of a failure that a retry makes up for: the time until the failure
	// is detected, and a second run.
	retryCost = 300 * time.Millisecond
)

// outcomes estimates the current failure rate of an endpoint from exponentially decaying
// counts of the outcomes that all daemons saw.
type outcomes struct {
	good, bad float64
	at        time.Duration
}

func (o *outcomes) add(now time.Duration, good, bad float64) {
	f := o.decayFactor(now)
	o.good, o.bad, o.at = o.good*f+good, o.bad*f+bad, now
}

func (o *outcomes) decayFactor(now time.Duration) float64 {
	return math.Exp(-float64(now-o.at) / float64(outcomeDecayTime))
}

// excess returns by how much the failure rate exceeds baselineFailureRate.
func (o *outcomes) excess(now time.Duration) float64 { return o.excessWithPrior(now, priorSuccesses) }

// excessWithPrior returns the same with another number of assumed successes.
func (o *outcomes) excessWithPrior(now time.Duration, successes float64) float64 {
	f := o.decayFactor(now)
	return max(0, o.bad*f/((o.good+o.bad)*f+successes)-baselineFailureRate)
}

// risk returns the expected cost to a request of the failures and refusals of a target.
func (b *Board) risk(now time.Duration, t *target, retryable bool) time.Duration {
	return b.failureRisk(now, t, retryable) + b.refusalRisk(now, t)
}

// failureRisk returns the expected cost to a request of the failures of a target.
func (b *Board) failureRisk(now time.Duration, t *target, retryable bool) time.Duration {
	if b.IgnoreFailures {
		return 0
	}
	return lossRisk(t.outcomes.excess(now), retryable)
}

// drawExcess returns by how much the failure rate of a target exceeds baselineFailureRate where engines
// are drawn at random.
func (b *Board) drawExcess(now time.Duration, t *target) float64 {
	switch {
	case b.IgnoreFailures:
		return 0
	case b.failuresInTwoDraws:
		return t.outcomes.excess(now)
	default:
		return t.outcomes.excessWithPrior(now, drawPriorSuccesses)
	}
}

// lossRisk returns the expected cost to a request of a failure rate.
func lossRisk(rate float64, retryable bool) time.Duration {
	cost := lossCost
	if retryable {
		cost = retryCost
	}
	return time.Duration(rate * float64(cost))
}
