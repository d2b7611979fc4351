package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// headerTimeout bounds the time to read the request headers of a peer or an operator.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
)

// serveHTTP returns a task that serves HTTP on a listener until its context ends.
func serveHTTP(l net.Listener, h http.Handler) task {
	return func(ctx context.Context) error {
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fail("serve", lagoonhead.KindUnavailable, err)
		}
		return nil
	}
}
