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
	// kernel ends the connection.
	defaultUserTimeout = 5 * time.Second
	// idleConnTimeout is below the idle timeouts of common servers, so that a
	// request seldom meets a connection that the engine is about to close.
	idleConnTimeout = 10 * time.Second
)

// withLimit returns a context that ends after d by the timer, with errDeadline as
// its cause.
func withLimit(ctx context.Context, t timer.Timer, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		if t.Sleep(ctx, d) == nil {
			cancel(errDeadline)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// dialer opens connections that notice an engine which acknowledges nothing. A time
// that is not positive has its default.
func dialer(connect, user time.Duration) *net.Dialer {
	if connect <= 0 {
		connect = defaultDialTimeout
	}
	if user <= 0 {
		user = defaultUserTimeout
	}
	return httppool.NewDialer(connect, user)
}
