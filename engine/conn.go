package engine

import (
	"context"
	"net"
	"time"

	"github.com/lagoonhead/lagoonhead/httppool"
	"github.com/lagoonhead/lagoonhead/timer"
)

const (
	defaultDialTimeout = time.Second
	// defaultUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	defaultUserTimeout = 5 * time.Second
	// idleConnTimeout is below the idle timeouts of common servers, so that a request
	// is rarely sent on a connection that the engine is about to close.
	idleConnTimeout = 10 * time.Second
)

// withTimeout returns a context that is canceled after d, measured by t, with
// errDeadline as its cause.
func withTimeout(ctx context.Context, t timer.Timer, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		if t.Sleep(ctx, d) == nil {
			cancel(errDeadline)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// dialer returns a dialer with the given connect timeout and TCP_USER_TIMEOUT, which
// detects an engine that does not acknowledge data. A duration that is not positive
// means the default.
func dialer(connect, user time.Duration) *net.Dialer {
	if connect <= 0 {
		connect = defaultDialTimeout
	}
	if user <= 0 {
		user = defaultUserTimeout
	}
	return httppool.NewDialer(connect, user)
}
