package caller

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// tracker counts the requests in flight and keeps the state of the drain.
type tracker struct {
	mu           sync.Mutex
	active       int
	drainStarted bool
	closed       bool          // new requests are refused
	idle         chan struct{} // closed when the last request has ended; nil until close is called
}

// Drain shuts the server down without aborting a request. It makes /readyz respond with
// status 503, lets the server accept requests for another Limits.DrainDelay, then
// refuses new ones with the run state "no" and waits for those in flight. When ctx ends
// first, Drain returns an error of KindTimeout and the remaining requests go on.
func (s *Server) Drain(ctx context.Context) error {
	s.once.Do(s.setUp)
	s.tracker.startDrain()
	s.Log.Info("drain started")
	if err := s.Timer.Sleep(ctx, s.Limits.DrainDelay); err != nil {
		return drainError(err)
	}
	select {
	case <-s.tracker.close():
	case <-ctx.Done():
		return drainError(ctx.Err())
	}
	s.Log.Info("all requests have ended")
	if s.Listener != nil && s.listener.Finish(ctx, s.Timer) > 0 {
		return drainError(ctx.Err())
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return drainError(err)
	}
	s.endDrain()
	return nil
}

func drainError(err error) error {
	return fault("caller.drain", lagoonhead.KindTimeout, errors.Wrap(err, "requests are still running"))
}

func (t *tracker) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainStarted = true
}

func (t *tracker) draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainStarted
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

var (
	errShuttingDown    = errors.New("the daemon is shutting down")
	errTooManyRequests = errors.New("the daemon is at its limit of concurrent requests")
)

// enter counts a new request. It returns an error when the server is shutting down or
// has maxRequests already.
func (t *tracker) enter(maxRequests int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return errShuttingDown
	case t.active >= maxRequests:
		return errTooManyRequests
	}
	t.active++
	return nil
}

func (t *tracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 && t.closed {
		close(t.idle)
	}
}

// close makes enter refuse new requests, and returns a channel that is closed when the
// last request in flight has ended.
func (t *tracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return t.idle
	}
	t.closed = true
	t.idle = make(chan struct{})
	if t.active == 0 {
		close(t.idle)
	}
	return t.idle
}
