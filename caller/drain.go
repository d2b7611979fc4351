package caller

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// tracker counts the requests in flight and holds the state of the drain.
type tracker struct {
	mu      sync.Mutex
	n       int
	leaving bool
	closed  bool
	idle    chan struct{}
}

// Drain ends the server without cutting off a request. It turns /readyz to 503,
// goes on accepting for Limits.DrainDelay, then refuses new requests with "not
// run" and waits until the running ones have ended. When ctx ends first, it
// returns an error of KindTimeout and the rest runs on.
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
	// Shutdown waits for the last bytes of answers and closes idle connections.
	if err := s.http.Shutdown(ctx); err != nil {
		return drainError(err)
	}
	return nil
}

func drainError(err error) error {
	return fault("caller.drain", lagoonhead.KindTimeout, errors.Wrap(err, "requests are still running"))
}

func (t *tracker) startDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

func (t *tracker) draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

var (
	errClosed = errors.New("the daemon is shutting down")
	errFull   = errors.New("the daemon has as many requests as it takes at once")
)

// enter counts a request, or returns why it is not accepted. There are at most most
// requests at once.
func (t *tracker) enter(most int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return errClosed
	case t.n >= most:
		return errFull
	}
	t.n++
	return nil
}

func (t *tracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.closed {
		close(t.idle)
	}
}

// close refuses new requests and returns a channel that is closed when the last
// one has ended.
func (t *tracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return t.idle
	}
	t.closed = true
	t.idle = make(chan struct{})
	if t.n == 0 {
		close(t.idle)
	}
	return t.idle
}
