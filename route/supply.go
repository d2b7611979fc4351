package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// gapShare is the share of a firm engine's slots above which deferrable work
	// waits.
	gapShare = 0.6
	// reclaimableGapShare is the same for a reclaimable engine.
	reclaimableGapShare = 0.9
	// gapTokens is the queued prefill above which deferrable work waits.
	gapTokens = BlockTokens
	// reclaimableRisk is added for interactive work on an engine that may be
	// reclaimed while it answers.
	reclaimableRisk = 20 * time.Millisecond
	// firmCost is added for deferrable work on a firm engine. It exceeds each
	// prediction, so that reclaimable engines come first.
	firmCost = time.Hour
)

// hasGap reports whether deferrable work would delay nothing on the endpoint.
func hasGap(now time.Duration, s *lagoonhead.EngineState) bool {
	if s.Endpoint.Kind() == lagoonhead.KindService {
		return true
	}
	most := gapShare
	if s.Endpoint.Supply() == lagoonhead.SupplyReclaimable {
		most = reclaimableGapShare
	}
	busy := float64(occupied(s)) / float64(max(s.Endpoint.Slots(), 1))
	return busy < most && queuedTokens(now, s) <= gapTokens
}

// supplyCost orders firm and reclaimable engines by the priority of the request.
func supplyCost(r *lagoonhead.Request, s *lagoonhead.EngineState) time.Duration {
	reclaimable := s.Endpoint.Supply() == lagoonhead.SupplyReclaimable
	switch {
	case r.Priority() == lagoonhead.PriorityDeferrable && !reclaimable:
		return firmCost
	case r.Priority() == lagoonhead.PriorityInteractive && reclaimable:
		return reclaimableRisk
	}
	return 0
}
