package route

import (
	"time"

	"github.com/lagoonhead/lagoonhead"
)

// longPrompt is the prompt length from which strict roles send a whole request to
// engines for prefill.
const longPrompt = 2 * BlockTokens

const (
	// mixedShare, prefillRoleShare and decodeRoleShare are the parts of an engine's time
	// that go to prefill while it also decodes.
	mixedShare       = 0.5
	prefillRoleShare = 0.9
	decodeRoleShare  = 0.1
	// transferTime is the time to move the KV cache of one block to another engine.
	transferTime = 25 * time.Millisecond
	// tokenTime is the time of one output token on an engine that does nothing else.
	tokenTime = 20 * time.Millisecond
	// decodeJitter is the random share that is added to the time of an answer.
	decodeJitter = 0.1
	// idlePrefillPace is the pace of an answer on an engine for prefill that is idle.
	idlePrefillPace = 0.25
	// typicalOutput is the output assumed of a request, in tokens. The upper bound
	// that the caller gives is mostly far higher.
	typicalOutput = 200
)

// role returns the role that the engine reports, or else the one it is meant to have.
func role(s *lagoonhead.EngineState) lagoonhead.Role {
	if s.Report.Number > 0 && s.Report.Role != "" {
		return s.Report.Role
	}
	return s.Endpoint.Role()
}

// fits reports whether an engine of the role takes the prompt under strict roles.
// Without handing over, long prompts go to engines for prefill.
func (p *predicted) fits(r *lagoonhead.Request, o lagoonhead.Role) bool {
	switch o {
	case lagoonhead.RolePrefill:
		return p.split || r.PromptTokens() >= longPrompt
	case lagoonhead.RoleDecode:
		return !p.split && r.PromptTokens() < longPrompt
	}
	return true
}

// prefillPace returns the part of the engine's time that a prefill gets.
func prefillPace(s *lagoonhead.EngineState) float64 {
	if occupied(s) == 0 {
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

// decodePace returns the part of the engine's time that decoding gets. An answer
// outlasts the moment, so an engine for prefill that is idle now counts as half
// taken.
func decodePace(now time.Duration, s *lagoonhead.EngineState) float64 {
	idle := queuedTokens(now, s) == 0
	switch role(s) {
	case lagoonhead.RolePrefill:
		if idle {
			return idlePrefillPace
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

// decoder returns the engine that answers soonest after the prefill on the given
// one, or -1 when none has room.
func (p *predicted) decoder(now time.Duration, r *lagoonhead.RouteRequest, es []lagoonhead.EngineState, prefill int) int {
	best, least := -1, time.Duration(0)
	try := func(i int) {
		s := &es[i]
		var usable bool
		if !eligible(now, r, s, &usable) || (p.strictRoles && role(s) == lagoonhead.RolePrefill) {
			return
		}
		busy := float64(max(occupied(s), s.InFlight)) / float64(max(s.Endpoint.Slots(), 1))
		pace := float64(typicalOutput*tokenTime) * (1 + busy) * p.slowdown(now, s) / decodePace(now, s)
		t := time.Duration(pace)
		if i != prefill {
			t += transferTime * time.Duration(r.Request.PromptTokens()/BlockTokens+1)
		}
		// Daemons with the same reports must not all choose the same engine.
		t += time.Duration(p.random.Float64() * decodeJitter * float64(t))
		if best < 0 || t < least {
			best, least = i, t
		}
	}
	try(prefill)
	if len(es) <= scanLimit {
		for i := range es {
			try(i)
		}
		return best
	}
	for range samples {
		try(p.random.IntN(len(es)))
	}
	return best
}
