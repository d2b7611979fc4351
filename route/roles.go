package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// longPrompt is the prompt length, in tokens, from which a request that is not split
// goes to prefill engines under strict roles.
const longPrompt = 2 * BlockTokens

const (
	// mixedShare, prefillRoleShare and decodeRoleShare are the fractions of an engine's
	// time that go to prefill while it also decodes, by the engine's role.
	mixedShare       = 0.5
	prefillRoleShare = 0.9
	decodeRoleShare  = 0.1
	// transferTime is the time to move the KV cache of one block to another engine.
	transferTime = 25 * time.Millisecond
	// tokenTime is the time per output token on an engine that runs nothing else.
	tokenTime = 20 * time.Millisecond
	// decodeJitter is the largest random fraction added to a predicted decoding time.
	decodeJitter = 0.1
	// idlePrefillDecodeShare is the fraction of its time that a prefill engine without a
	// prefill queue is assumed to give to decoding.
	idlePrefillDecodeShare = 0.25
	// typicalOutput is the assumed length of an output in tokens. The caller's upper
	// bound is no estimate, because it is mostly far higher.
	typicalOutput = 200
)

// role returns the role that the engine reports or, without one, its configured role.
func role(s *lagoonhead.EngineState) lagoonhead.Role {
	if s.Report.Number > 0 && s.Report.Role != "" {
		return s.Report.Role
	}
	return s.Endpoint.Role()
}

// fits reports whether an engine of the role may prefill the request under strict
// roles. If requests are not split, long prompts go to prefill engines and short ones
// to decode engines; otherwise no prompt goes to a decode engine.
func (p *predicted) fits(r *lagoonhead.Request, o lagoonhead.Role) bool {
	switch o {
	case lagoonhead.RolePrefill:
		return p.split || r.PromptTokens() >= longPrompt
	case lagoonhead.RoleDecode:
		return !p.split && r.PromptTokens() < longPrompt
	}
	return true
}

// prefillShare returns the fraction of the engine's time that a prefill gets.
func prefillShare(s *lagoonhead.EngineState) float64 {
	if busySlots(s) == 0 {
		return 1
	}
	switch role(s) {
	case lagoonhead.RolePrefill:
		return prefillRoleShare
	case lagoonhead.RoleDecode:
		return decodeRoleShare
	}
	return mixedShare
}

// decodeShare returns the fraction of the engine's time that decoding gets. A prefill
// engine without a queue counts with idlePrefillDecodeShare only, because it is likely
// to get prefills before the decoding ends.
func decodeShare(now time.Duration, s *lagoonhead.EngineState) float64 {
	idle := queuedTokens(now, s) == 0
	switch role(s) {
	case lagoonhead.RolePrefill:
		if idle {
			return idlePrefillDecodeShare
		}
		return 1 - prefillRoleShare
	case lagoonhead.RoleDecode:
		return 1 - decodeRoleShare
	}
	if idle {
		return 1
	}
	return 1 - mixedShare
}

// pickDecoder returns the engine with the shortest predicted decoding time after the
// prefill on the given engine, or -1 when none is eligible.
func (p *predicted) pickDecoder(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, prefill int) int {
	best, minTime := -1, time.Duration(0)
	try := func(i int) {
		s := &es[i]
		var usable bool
		if !eligible(now, r, s, &usable) || (p.strictRoles && role(s) == lagoonhead.RolePrefill) {
			return
		}
		busy := float64(max(busySlots(s), s.InFlight)) / float64(max(s.Endpoint.Slots(), 1))
		decodeTime := float64(typicalOutput*tokenTime) * (1 + busy) * p.slowdown(now, s) / decodeShare(now, s)
		t := time.Duration(decodeTime)
		if i != prefill {
			t += transferTime * time.Duration(r.Request.PromptTokens()/BlockTokens+1)
		}
		// Without jitter, daemons with the same reports would all choose the same engine.
		t += time.Duration(p.random.Float64() * decodeJitter * float64(t))
		if best < 0 || t < minTime {
			best, minTime = i, t
		}
	}
	try(prefill)
	if len(es) <= scanLimit {
		for i := range es {
			try(i)
		}
		return best
	}
	for range sampleCount {
		try(p.random.IntN(len(es)))
	}
	return best
}
