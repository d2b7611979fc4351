package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonhead/lagoonhead/steer"
)

const (
	// silenceRecheck is the time between checks whether another endpoint can take a request whose
	// endpoint has been silent for too long.
	silenceRecheck = 200 * time.Millisecond
	// maxExpiryDelay is the delay of the timer of a silence from which the process counts as stalled.
	// What the endpoint sent meanwhile is unread then. Trials at full load had stalls of up to 3 s.
	maxExpiryDelay = 100 * time.Millisecond
	// endedSilenceFactor is the factor by which an endpoint may be silent for longer after it has gone on
	// while the request was moving.
	endedSilenceFactor = 1.5
)

// silenceWatch moves a request to another endpoint while that of an attempt is silent for too long.
// The attempt is abandoned once another endpoint has accepted the request: until then its endpoint
// may still answer, and if none accepts it is waited for until the deadline.
//
// A request that may not move has a nil silenceWatch, which never moves it.
type silenceWatch struct {
	*Dispatcher
	// ctx is that of the request, and abandon ends the attempt.
	ctx     context.Context
	abandon context.CancelCauseFunc
	// send sends the request to another endpoint and returns once that has accepted it.
	send func(context.Context, *request) (*attempt, error)
	// runs and sends are those of the request with the attempt, and avoided is the number of endpoints
	// that the request avoids with that of the attempt. None of them includes moves.
	runs, sends, avoided int

	mu sync.Mutex
	// request is the copy of the request with which the next move begins. It avoids the endpoint of the
	// attempt and those that did not take the request in former moves.
	request *request
	// timer is nil until the watch is first on.
	timer *time.Timer
	// due is the time from which the endpoint has been silent for too long, or 0 while the watch
	// is off.
	due time.Duration
	// factor multiplies the times of silences.
	factor float64
	// stalled is true if the process was stalled as the present silence ended.
	stalled bool
	// held is true if the endpoint was silent for too long and the request could not move.
	held bool
	// ended is true after end.
	ended bool
	// moving is closed when the move in progress ends; it is nil if there is none. withdraw ends it,
	// and withdrawn is true after that.
	moving    chan struct{}
	withdraw  context.CancelCauseFunc
	withdrawn bool
	// next is the attempt at the endpoint that has accepted the request, or nil.
	next *attempt
}

// watchSilence returns a watch of an attempt, or nil if the request may not move. It is off until
// the first call of restart. The caller must call endWatch after the attempt.
func (r *request) watchSilence(ctx context.Context, a *attempt) *silenceWatch {
	if !r.mayMove() {
		return nil
	}
	m := r.fork()
	if a.answer == nil { // counted by send
		m.runs++
		m.sends++
	}
	if !m.mayMove() {
		return nil
	}
	m.avoid = append(append(m.avoid, a.endpoint.ID()), r.unwilling...)
	m.takeReserved(r)
	w := &silenceWatch{
		Dispatcher: r.Dispatcher, ctx: ctx, abandon: a.cancel, send: sendSingle, runs: m.runs, sends: m.sends, avoided: len(r.avoid) + 1,
		request: m, factor: 1,
	}
	if r.route.Streaming {
		w.send = sendStream
	}
	return w
}

// endWatch ends the watch of an attempt that has ended with err, and keeps for the request what moves
// have sent and recorded. It returns the attempt at the endpoint that has accepted the request, or
// nil. If the attempt has failed, a move in progress is waited for.
func (r *request) endWatch(w *silenceWatch, err error) *attempt {
	if w == nil {
		return nil
	}
	w.end(err == nil)
	m := w.request
	r.steps = append(r.steps, m.steps...)
	r.sends += m.sends - w.sends
	r.runs += m.runs - w.runs
	r.prefilled = m.prefilled
	r.unwilling = m.avoid[w.avoided:]
	r.takeReserved(m)
	if w.held {
		r.vars.silencesWaited.Add(1)
		r.addStep("silent, and no other endpoint or no retry budget for the request")
	}
	return w.next
}

// end stops the watch and returns after the end of a move in progress, which is withdrawn if the
// attempt has answered the request.
func (w *silenceWatch) end(answered bool) {
	if answered {
		w.heard()
	}
	w.mu.Lock()
	w.disarm()
	w.ended = true
	moving := w.moving
	w.mu.Unlock()
	if moving != nil {
		<-moving
	}
}

// restart makes the request move after a silence of at least the given time, if an endpoint
// that its version allows can take it then. r is the request of the attempt.
func (w *silenceWatch) restart(after time.Duration, r *request) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.request
	m.version, m.started, m.call.LastEventID = r.version, r.started, r.call.LastEventID
	w.stalled = false
	w.arm(time.Duration(float64(after) * w.factor))
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

// disarm stops the timer. The caller holds the lock.
func (w *silenceWatch) disarm() {
	w.due = 0
	if w.timer != nil {
		w.timer.Stop()
	}
}

// heard records that the endpoint has sent something. It stops the watch until the next call of
// restart and withdraws a move in progress. It returns false if another endpoint has accepted the
// request, so that what this one sends must not be used.
func (w *silenceWatch) heard() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disarm()
	if w.moving != nil && !w.withdrawn {
		w.withdrawn = true
		w.factor *= endedSilenceFactor
		w.withdraw(errNotSilent)
	}
	return w.next == nil
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
	if w.moving != nil { // it is withdrawn
		w.arm(silenceRecheck)
		return
	}
	if !w.takeMove() {
		w.held = true
		w.arm(silenceRecheck)
		return
	}
	w.due = 0
	m := w.request.fork()
	m.takeReserved(w.request)
	ctx, cancel := context.WithCancelCause(w.ctx)
	moving := make(chan struct{})
	w.moving, w.withdraw, w.withdrawn = moving, cancel, false
	go func() {
		defer close(moving)
		w.move(ctx, m)
	}()
}

// takeMove reports whether the request can move, and takes the sends from the retry budget. The
// caller holds the lock.
func (w *silenceWatch) takeMove() bool {
	m, now := w.request, w.Timer.Now()
	if !m.mayMove() {
		return false
	}
	ok := false
	w.WithBoard(func(b *steer.Board) {
		ok = b.HasRoom(now, steer.RunRequest{Service: m.service, Avoid: m.avoid, Version: m.version, Regions: m.regions})
	})
	needed := 1
	if m.prefilled && m.spare == nil {
		needed++ // the prompt may have to be prefilled again
	}
	for ok && m.takenRetries < needed {
		if ok = w.RetryBudget.Take(m.service); ok {
			m.takenRetries++
		}
	}
	return ok
}

// move sends m, the copy of the request for one move, to another endpoint. If that accepts it, the
// attempt is abandoned.
func (w *silenceWatch) move(ctx context.Context, m *request) {
	m.addStep("silent: asks another endpoint")
	next, err := w.send(ctx, m)
	m.returnReservation()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moving = nil
	if next != nil && w.withdrawn {
		next.discard()
		next = nil
	}
	n := w.request
	n.steps, n.sends, n.prefilled = append(n.steps, m.steps...), m.sends, m.prefilled
	n.takeReserved(m)
	switch {
	case w.withdrawn:
		// The endpoint that was asked is cut off, so that it does not count as a run.
		w.vars.movesWithdrawn.Add(1)
		n.addStep("not silent any more")
	case err != nil:
		w.vars.movesFailed.Add(1)
		n.runs, n.avoid = m.runs, m.avoid
		if !w.ended {
			w.arm(silenceRecheck)
		}
	default:
		n.runs = m.runs
		w.next = next
		w.vars.silencesMoved.Add(1)
		w.abandon(errSilent)
	}
}
