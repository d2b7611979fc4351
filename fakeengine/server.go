package fakeengine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// listenRetryInterval is the time between attempts to listen again on the address of
// a crashed engine.
const listenRetryInterval = 10 * time.Millisecond

// Server serves an Engine over TCP as if it were a process of its own: a crash
// closes the listener and all connections, so that new connections are refused.
type Server struct {
	// Engine is the engine to serve. It must be set. Run overwrites its OnCrash.
	Engine *Engine
	// Listener is used until the first crash. After a restart the server listens on the
	// same address again. It must be set.
	Listener net.Listener
	// RestartAfter is the time from a crash to the restart as a new incarnation; 0
	// means that Run returns at the crash.
	RestartAfter time.Duration
}

// Run serves until ctx ends, or until a crash when RestartAfter is 0.
func (s *Server) Run(ctx context.Context) error {
	address := s.Listener.Addr().String()
	l := s.Listener
	crash := make(chan struct{}, 1)
	s.Engine.OnCrash = func() {
		select {
		case crash <- struct{}{}:
		default:
		}
	}
	for {
		crashed, err := s.serve(ctx, l, crash)
		if err != nil || !crashed || s.RestartAfter == 0 {
			return err
		}
		if s.Engine.Timer.Sleep(ctx, s.RestartAfter) != nil {
			return nil
		}
		if l, err = s.listen(ctx, address); err != nil {
			return err
		}
		s.Engine.Restart()
	}
}

// serve serves on l until ctx ends or the engine crashes, then closes all
// connections.
func (s *Server) serve(ctx context.Context, l net.Listener, crash <-chan struct{}) (crashed bool, err error) {
	h := &http.Server{Handler: s.Engine, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- h.Serve(l) }()
	select {
	case <-ctx.Done():
	case <-crash:
		crashed = true
	case err = <-done:
		return false, fail("fakeengine.serve", lagoonhead.KindUnavailable, err)
	}
	_ = h.Close()
	if err = <-done; errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return crashed, err
}

// listen retries until the address is free or ctx ends.
func (s *Server) listen(ctx context.Context, address string) (net.Listener, error) {
	for {
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp", address)
		if err == nil {
			return l, nil
		}
		if s.Engine.Timer.Sleep(ctx, listenRetryInterval) != nil {
			return nil, fail("fakeengine.listen", lagoonhead.KindUnavailable, err)
		}
	}
}
