package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
	// idleConnsPerEngine is the number of connections kept for the next requests.
	idleConnsPerEngine = 64
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

// dialer opens connections with TCP_USER_TIMEOUT set.
func dialer(timeout, user time.Duration) *net.Dialer {
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	if user <= 0 {
		user = defaultUserTimeout
	}
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			outer := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(user.Milliseconds()))
			})
			if outer != nil {
				return outer
			}
			return err
		},
	}
}

// countedConn counts the bytes that may have been handed to the kernel. A write is
// counted before it begins, since the answer can be read before Write returns.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts b, less what the connection did not take.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// newTransport returns a pool of connections to one engine.
func newTransport(d *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idleConnsPerEngine,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// exchange watches whether bytes of one request went out.
type exchange struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	other  atomic.Bool
}

func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
}

// gotConn may be called twice: net/http takes another connection when the first
// one failed before a byte was written.
func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*countedConn)
	if !ok {
		x.other.Store(true)
		return
	}
	x.before.Store(c.written.Load())
	x.conn.Store(c)
}

// written reports whether a byte of the request can have left this process. A
// connection that is not counted is taken to have written.
func (x *exchange) written() bool {
	c := x.conn.Load()
	if c == nil {
		return x.other.Load()
	}
	return c.written.Load() > x.before.Load()
}

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
