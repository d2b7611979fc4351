package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/steer"
)

// silenceRecheck is the time between checks whether another endpoint can take a request whose
// endpoint has been silent for too long.
const silenceRecheck = 200 * time.Millisecond

// maxExpiryDelay is the delay of the timer of a silence from which the process counts as stalled.
// What the endpoint sent meanwhile is unread then. Trials at full load had stalls of up to 3 s.
const maxExpiryDelay = 100 * time.Millisecond

// silenceWatch abandons an attempt at an endpoint that is silent for too long, once the retry
// budget and another endpoint allow the request to move. Until then a silent endpoint may still
// answer, and is waited for until the deadline.
type silenceWatch struct {
	*Dispatcher
	cancel  context.CancelCauseFunc
	service string
	// version is the software version to which the request is bound, guarded by mu.
	version lagoonhead.VersionPin
	regions lagoonhead.RegionSet
	// avoid lists the endpoints that can't take the request, with that of the attempt.
	avoid []lagoonhead.EndpointID
	// needed is the number of sends that the move takes from the retry budget.
	needed int

	mu sync.Mutex
	// taken is the number of sends that were taken from the retry budget.
	taken int
	// timer is nil until the watch is first on.
	timer *time.Timer
	// due is the time from which the endpoint has been silent for too long, or 0 while the watch
	// is off.
	due time.Duration
	// stalled is true if the process was stalled as the present silence ended.
	stalled bool
	// held is true if the endpoint was silent for too long and the request could not move.
	held bool
}

// watchSilence returns a watch of an attempt at e that cancel abandons. It is off until the first
// call of restart. The caller must call endWatch after the attempt.
func (r *request) watchSilence(e lagoonhead.Endpoint, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{
		Dispatcher: r.Dispatcher, cancel: cancel, service: r.service, avoid: append(slices.Clone(r.avoid), e.ID()), needed: 1, regions: r.regions,
	}
	if r.prefilled {
		w.needed++ // the prompt may have to be prefilled again
	}
	return w
}

// endWatch ends a watch and keeps the sends that it took from the retry budget for the request.
func (r *request) endWatch(w *silenceWatch) {
	w.pause()
	w.mu.Lock()
	defer w.mu.Unlock()
	r.takenRetries += w.taken
	if w.held {
		r.vars.silencesWaited.Add(1)
		r.addStep("silent, and no other endpoint or no retry budget for the request")
	}
}

// restart makes the attempt be abandoned after a silence of at least the given time, if an endpoint
// that the version allows can take the request then.
func (w *silenceWatch) restart(after time.Duration, v lagoonhead.VersionPin) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.stalled = v, false
	w.arm(after)
}

// arm sets the timer. The caller holds the lock.
func (w *silenceWatch) arm(after time.Duration) {
	w.due = w.Timer.Now() + after
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.expire)
		return
	}
	w.timer.Reset(after)
}

// pause stops the watch until the next call of restart.
func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = 0
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *silenceWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due == 0 {
		return
	}
	left := w.due - w.Timer.Now()
	if left > 0 { // the endpoint has sent something meanwhile
		w.timer.Reset(left)
		return
	}
	if left < -maxExpiryDelay && !w.stalled { // once for each silence, so that a busy process still moves requests
		w.stalled = true
		w.arm(silenceRecheck)
		return
	}
	if !w.takeMove() {
		w.held = true
		w.arm(silenceRecheck)
		return
	}
	w.due = 0
	w.vars.silencesMoved.Add(1)
	w.cancel(errSilent)
}

// takeMove reports whether the request can move, and takes the sends from the retry budget. The
// caller holds the lock.
func (w *silenceWatch) takeMove() bool {
	now := w.Timer.Now()
	ok := false
	w.WithBoard(func(b *steer.Board) {
		ok = b.HasRoom(now, steer.RunRequest{Service: w.service, Avoid: w.avoid, Version: w.version, Regions: w.regions})
	})
	for ok && w.taken < w.needed {
		if ok = w.RetryBudget.Take(w.service); ok {
			w.taken++
		}
	}
	return ok
}
