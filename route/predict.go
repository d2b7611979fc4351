package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 2000

const (
	// drainShare is the fraction of an engine's prefill rate at which the reported queue
	// is assumed to shrink as the report ages. New requests of other daemons make up for
	// the rest.
	drainShare = 0.5
	// staleShare is the fraction of the slots assumed busy, at least, when the report is
	// stale.
	staleShare = 0.5
	// overflowDelay is added for each request beyond the engine's slots, the new one
	// included.
	overflowDelay = 300 * time.Millisecond
	// batchDelay is added in proportion to the share of busy slots: each step of a full
	// batch delays the chunks of a prefill.
	batchDelay = 60 * time.Millisecond
)

// busySlots returns the number of requests that run on the endpoint, as far as this
// daemon knows.
func busySlots(s *lagoonhead.EngineState) int {
	return max(s.InFlight, s.Report.Running+s.SentRequests)
}

// hasFreeSlot reports whether the endpoint may get one more request.
func hasFreeSlot(s *lagoonhead.EngineState) bool { return busySlots(s) < s.Endpoint.Slots() }

// reportedTokens estimates how many prompt tokens of the reported queue are left, given
// the age of the report.
func reportedTokens(now time.Duration, s *lagoonhead.EngineState) float64 {
	age := now - s.ReportAt
	return max(float64(s.Report.QueuedPrefillTokens)-drainShare*s.PrefillRate*age.Seconds(), 0)
}

// queuedTokens estimates the prompt tokens queued at the engine, including this
// daemon's own dispatches since the report.
func queuedTokens(now time.Duration, s *lagoonhead.EngineState) float64 {
	return reportedTokens(now, s) + float64(s.SentTokens)
}

// uncachedTokens returns the prompt tokens to prefill when the engine has depth leading
// blocks in its cache. At least one token of a prompt is always computed.
func uncachedTokens(r *lagoonhead.Request, depth int) int {
	return max(r.PromptTokens()-depth*BlockTokens, min(r.PromptTokens(), 1))
}

// baseTime predicts the time to first token on an engine without slowdown that has
// queued prompt tokens ahead of the request and then prefills tokens for it.
func baseTime(now time.Duration, s *lagoonhead.EngineState, queued float64, tokens int) time.Duration {
	work := queued + float64(tokens)
	d := time.Duration(work / s.PrefillRate * float64(time.Second))
	n := busySlots(s)
	slots := max(s.Endpoint.Slots(), 1)
	if s.Report.Number > 0 && now-s.ReportAt > staleAfter {
		n = max(n, int(staleShare*float64(slots)))
	}
	d += batchDelay * time.Duration(n) / time.Duration(slots)
	if n >= slots {
		d += overflowDelay * time.Duration(n-slots+1)
	}
	return d
}
