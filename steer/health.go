package steer

import "time"

const (
	// minBackOff and maxBackOff bound the time for which an endpoint gets no work after
	// failures. The maximum lets an endpoint that has recovered be used again within the time
	// in which a caller retries.
	minBackOff = 500 * time.Millisecond
	maxBackOff = 4 * time.Second
	// minRefusalBackOff and maxRefusalBackOff bound the time for which an endpoint gets no
	// work after it refused some.
	minRefusalBackOff = 50 * time.Millisecond
	maxRefusalBackOff = 800 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failures that exclude an endpoint.
	maxConsecutiveFailures = 2
	// failureWeight is the weight of the newest outcome in the moving average failureRate.
	failureWeight = 0.2
	// highFailureRate excludes an endpoint whose failures aren't consecutive. An endpoint that
	// fails all of its work needs three failures to reach it.
	highFailureRate = 0.4
)

// health tracks the outcomes of real work at an endpoint and excludes the endpoint for a
// time when it fails. Health checks aren't used: an endpoint may pass them and fail its
// work, or the other way round.
type health struct {
	consecutiveFailures int
	refusalBackOff      time.Duration
	failureRate         float64
	backOff             time.Duration
	excludedUntil       time.Duration
}

func (h *health) usable(now time.Duration) bool { return now >= h.excludedUntil }

// remaining returns for how long the endpoint gets no work.
func (h *health) remaining(now time.Duration) time.Duration { return max(0, h.excludedUntil-now) }

// good records a success.
func (h *health) good() {
	h.consecutiveFailures, h.refusalBackOff = 0, 0
	h.failureRate *= 1 - failureWeight
	if h.failureRate < highFailureRate/2 {
		h.backOff = 0
	}
}

// bad records a failure.
func (h *health) bad(now time.Duration) {
	h.consecutiveFailures++
	h.failureRate += failureWeight * (1 - h.failureRate)
	if h.consecutiveFailures >= maxConsecutiveFailures || h.failureRate >= highFailureRate {
		h.exclude(now)
	}
}

// unreachable records that no connection to the endpoint was possible.
func (h *health) unreachable(now time.Duration) {
	h.consecutiveFailures++
	h.exclude(now)
}

// refused records that the endpoint has refused work. It gets no work for a short time, so that
// an endpoint that refuses quickly doesn't attract requests that others would serve.
func (h *health) refused(now time.Duration) {
	if now < h.excludedUntil {
		return
	}
	h.refusalBackOff = min(max(2*h.refusalBackOff, minRefusalBackOff), maxRefusalBackOff)
	h.excludedUntil = now + h.refusalBackOff
}

// exclude excludes the endpoint for a time that doubles with each exclusion. Failures of
// work that was already running when an exclusion began don't prolong it.
func (h *health) exclude(now time.Duration) {
	if now < h.excludedUntil {
		return
	}
	h.backOff = min(max(2*h.backOff, minBackOff), maxBackOff)
	h.excludedUntil = now + h.backOff
}
