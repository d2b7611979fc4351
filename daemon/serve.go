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
	// headerTimeout bounds the headers of a request of a peer or an operator.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections on which nothing comes.
	idleTimeout = time.Minute
)

// serveHTTP returns a part that serves a listener until its context ends.
func serveHTTP(l net.Listener, h http.Handler) part {
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
