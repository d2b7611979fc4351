package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// headerTimeout bounds the time to read the request headers of a peer or an operator.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
)

// serveHTTP returns a task that serves HTTP on a listener until its context ends.
func serveHTTP(l net.Listener, h http.Handler, log *zap.Logger) task {
	return func(ctx context.Context) error {
		errorLog, err := zap.NewStdLogAt(log.Named("http"), zap.WarnLevel)
		if err != nil {
			return fail("serve", lagoonhead.KindInternal, err)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: errorLog}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fail("serve", lagoonhead.KindUnavailable, err)
		}
		return nil
	}
}
