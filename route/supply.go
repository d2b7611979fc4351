package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// firmBusyLimit is the share of busy slots of a firm (not reclaimable) engine from
	// which deferrable requests wait.
	firmBusyLimit = 0.6
	// reclaimableBusyLimit is the same for a reclaimable engine.
	reclaimableBusyLimit = 0.9
	// deferrableQueueLimit is the queue, in prompt tokens, above which deferrable requests
	// wait.
	deferrableQueueLimit = BlockTokens
	// reclaimablePenalty is added to the score of a reclaimable engine for interactive
	// requests, because the engine may be reclaimed during the answer.
	reclaimablePenalty = 20 * time.Millisecond
	// firmPenalty is added to the score of a firm engine for deferrable requests. It
	// exceeds any prediction, so that reclaimable engines come first.
	firmPenalty = time.Hour
)

// admitsDeferrable reports whether the endpoint is idle enough that a deferrable
// request does not delay others. Services always are.
func admitsDeferrable(now time.Duration, s *lagoonhead.EngineState) bool {
	if s.Endpoint.Kind() == lagoonhead.EndpointKindService {
		return true
	}
	busyLimit := firmBusyLimit
	if s.Endpoint.Supply() == lagoonhead.SupplyReclaimable {
		busyLimit = reclaimableBusyLimit
	}
	busy := float64(busySlots(s)) / float64(max(s.Endpoint.Slots(), 1))
	return busy < busyLimit && queuedTokens(now, s) <= deferrableQueueLimit
}

// supplyPenalty returns the time added to the engine's score for its supply class (firm
// or reclaimable), given the priority of the request.
func supplyPenalty(r *lagoonhead.Request, s *lagoonhead.EngineState) time.Duration {
	reclaimable := s.Endpoint.Supply() == lagoonhead.SupplyReclaimable
	switch {
	case r.Priority() == lagoonhead.PriorityDeferrable && !reclaimable:
		return firmPenalty
	case r.Priority() == lagoonhead.PriorityInteractive && reclaimable:
		return reclaimablePenalty
	}
	return 0
}
