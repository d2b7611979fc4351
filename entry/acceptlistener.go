package entry

import (
	"expvar"
	"net"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// acceptListener logs and counts errors of accept. The HTTP server goes on after a pause.
type acceptListener struct {
	net.Listener
	log    *zap.Logger
	failed expvar.Int
}

// Accept returns the next connection. All its errors are temporary, except that the listener was
// closed: accept reports a lack of descriptors or memory, and errors of one connection.
func (l *acceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil || errors.Is(err, net.ErrClosed) {
		return c, err
	}
	l.failed.Add(1)
	l.log.Warn("connection cannot be accepted", zap.Stringer("address", l.Addr()), zap.Error(err))
	return nil, temporaryError{err}
}

// temporaryError is a net.Error after which http.Server goes on accepting.
type temporaryError struct{ error }

func (temporaryError) Temporary() bool { return true }

func (temporaryError) Timeout() bool { return false }

func (e temporaryError) Unwrap() error { return e.error }
