package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 2000

const (
	// drainShare is how much of the reported queue is taken to be served as the
	// report ages. The rest is refilled by other daemons.
	drainShare = 0.5
	// staleShare of the slots is assumed busy when the report is stale.
	staleShare = 0.5
	// fullWait is added when more requests run than the engine has slots.
	fullWait = 300 * time.Millisecond
	// batchWait is added in proportion to the running share of the slots: each step
	// of a full batch delays the chunks of a prefill.
	batchWait = 60 * time.Millisecond
)

// occupied returns the number of requests that run on the endpoint, as far as
// known.
func occupied(s *lagoonhead.EngineState) int {
	return max(s.InFlight, s.Report.Running+s.SentRequests)
}

// hasRoom reports whether the endpoint may get one request more.
func hasRoom(s *lagoonhead.EngineState) bool { return occupied(s) < s.Endpoint.Slots() }

// reportedTokens returns what is left of the reported queue if the engine has
// computed since then and got nothing more.
func reportedTokens(now time.Duration, s *lagoonhead.EngineState) float64 {
	age := now - s.ReportAt
	return max(float64(s.Report.QueuedPrefillTokens)-drainShare*s.PrefillRate*age.Seconds(), 0)
}

// queuedTokens returns the prompt tokens that wait at the engine, as far as known.
func queuedTokens(now time.Duration, s *lagoonhead.EngineState) float64 {
	return reportedTokens(now, s) + float64(s.SentTokens)
}

// uncached returns the prompt tokens to prefill when the engine holds depth
// blocks. At least one token is computed for each prompt.
func uncached(r *lagoonhead.Request, depth int) int {
	return max(r.PromptTokens()-depth*BlockTokens, min(r.PromptTokens(), 1))
}

// baseTime predicts the time to first token of a healthy engine that has queued
// prompt tokens waiting and computes tokens more.
func baseTime(now time.Duration, s *lagoonhead.EngineState, queued float64, tokens int) time.Duration {
	work := queued + float64(tokens)
	d := time.Duration(work / s.PrefillRate * float64(time.Second))
	n := occupied(s)
	slots := max(s.Endpoint.Slots(), 1)
	if s.Report.Number > 0 && now-s.ReportAt > staleAfter {
		n = max(n, int(staleShare*float64(slots)))
	}
	d += batchWait * time.Duration(n) / time.Duration(slots)
	if n >= slots {
		d += fullWait * time.Duration(n-slots+1)
	}
	return d
}
