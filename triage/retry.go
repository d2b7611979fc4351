package triage

import "time"

const (
	// callersShare is the part of the time that a caller has left up to which it waits before it
	// comes back. Callers do not honour a longer Retry-After.
	callersShare = 1.0 / 3
	// minSpread is the least part of a Retry-After over which callers that are refused together
	// are spread.
	minSpread = 0.5
	// returnTime is for how long after its Retry-After a request is known that comes back. Callers
	// that come back at all do so at once.
	returnTime = 2 * time.Second
	// maxRefusals bounds the requests of which a refusal is remembered, 32 bytes each. A VM refuses
	// some tens of requests in the time for which they are.
	maxRefusals = 4096
)

// RetryAfter returns the time after which the caller of a refused request may come back: that in
// which the backlog drains, with a random part, and at most a third of the time that it has left.
func (j *Judge) RetryAfter(now, drains, giveUp time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.retryAfter(now, drains, giveUp)
}

func (j *Judge) retryAfter(now, drains, giveUp time.Duration) time.Duration {
	latest := time.Duration(callersShare * float64(max(0, giveUp-now)))
	// The random part comes after the time in which the backlog drains if there is room for it.
	first := min(max(0, drains), time.Duration((1-minSpread)*float64(latest)))
	spread := min(latest-first, max(first, time.Duration(minSpread*float64(latest))))
	return first + time.Duration(j.random()*float64(spread))
}

// refusals holds the requests that were refused lately, so that they have a better chance when they
// come back.
type refusals struct {
	byFingerprint map[uint64]refusal
	// swept is when the outdated ones were last removed.
	swept time.Duration
}

// refusal is the time at which a refused request may come back, and until when it is known.
type refusal struct{ from, until time.Duration }

func (s *refusals) add(now time.Duration, fingerprint uint64, after time.Duration) {
	if s.byFingerprint == nil {
		s.byFingerprint = make(map[uint64]refusal)
	}
	if now-s.swept >= returnTime {
		s.swept = now
		for f, v := range s.byFingerprint {
			if v.until < now {
				delete(s.byFingerprint, f)
			}
		}
	}
	if len(s.byFingerprint) < maxRefusals {
		s.byFingerprint[fingerprint] = refusal{now + after, now + after + returnTime}
	}
}

// known reports whether the request was refused lately.
func (s *refusals) known(now time.Duration, fingerprint uint64) bool {
	v, ok := s.byFingerprint[fingerprint]
	return ok && now <= v.until
}

// returned reports whether the request was refused lately and waited as it was asked to. One that
// comes back at once has no better chance than before.
func (s *refusals) returned(now time.Duration, fingerprint uint64) bool {
	return s.known(now, fingerprint) && s.byFingerprint[fingerprint].from <= now
}

func (s *refusals) remove(fingerprint uint64) { delete(s.byFingerprint, fingerprint) }
