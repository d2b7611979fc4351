package steer

import "time"

const (
	// firstBackOff and longestBackOff bound the time for which an endpoint whose work
	// failed gets none. The longest one lets an endpoint that is back be used again
	// within the time in which a caller retries.
	firstBackOff   = 500 * time.Millisecond
	longestBackOff = 4 * time.Second
	// firstRefusal and longestRefusal bound the time for which an endpoint that refused
	// gets no work.
	firstRefusal   = 50 * time.Millisecond
	longestRefusal = 800 * time.Millisecond
	// mostFailures in a row end the use of an endpoint for a while.
	mostFailures = 2
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// highFailureRate ends the use of an endpoint that fails without failing in a row.
	// An endpoint that fails all of its work needs three failures to reach it.
	highFailureRate = 0.4
)

// health is judged by the outcome of real work. A health check says little: an
// endpoint may pass it and fail its work, or the other way round.
type health struct {
	inRow   int
	refusal time.Duration
	rate    float64
	backOff time.Duration
	until   time.Duration
}

func (h *health) usable(now time.Duration) bool { return now >= h.until }

// left returns for how long the endpoint gets no work.
func (h *health) left(now time.Duration) time.Duration { return max(0, h.until-now) }

// good notes work that the endpoint did.
func (h *health) good() {
	h.inRow, h.refusal = 0, 0
	h.rate *= 1 - failureWeight
	if h.rate < highFailureRate/2 {
		h.backOff = 0
	}
}

// bad notes work that the endpoint failed.
func (h *health) bad(now time.Duration) {
	h.inRow++
	h.rate += failureWeight * (1 - h.rate)
	if h.inRow >= mostFailures || h.rate >= highFailureRate {
		h.exclude(now)
	}
}

// gone notes that the endpoint could not be reached at all.
func (h *health) gone(now time.Duration) {
	h.inRow++
	h.exclude(now)
}

// refused notes that the endpoint has no room. It gets none for a short time, so that an
// endpoint that refuses quickly does not draw the requests that others would serve.
func (h *health) refused(now time.Duration) {
	if now < h.until {
		return
	}
	h.refusal = min(max(2*h.refusal, firstRefusal), longestRefusal)
	h.until = now + h.refusal
}

// exclude ends the use for a time that doubles. Failures of work that was under way
// when the time began do not prolong it.
func (h *health) exclude(now time.Duration) {
	if now < h.until {
		return
	}
	h.backOff = min(max(2*h.backOff, firstBackOff), longestBackOff)
	h.until = now + h.backOff
}
