package httppool

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer with a timeout for connecting. userTimeout is
// TCP_USER_TIMEOUT: a connection is closed when sent bytes stay unacknowledged for this
// time.
func NewDialer(connectTimeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// countingConn counts the bytes that may have been handed to the kernel. A write is
// counted before it starts, because the response can arrive before Write returns.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes b and counts it, without the bytes that were not written in the end.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// NewTransport returns a connection pool without proxy, compression and HTTP/2. Idle
// connections are closed after idleTimeout.
func NewTransport(d *net.Dialer, idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerAddress,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Exchange records whether bytes of one request were sent. The zero value is ready for
// use.
type Exchange struct {
	conn atomic.Pointer[countingConn]
	// writtenBefore is the count of conn when the request got it.
	writtenBefore atomic.Int64
	// uncounted is true when the connection is not a countingConn.
	uncounted atomic.Bool
	reused    atomic.Bool
}

// Trace returns the context with which the request must be sent to be recorded.
func (x *Exchange) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
}

// gotConn records the connection for the request. It can be called twice: net/http uses
// another connection when the first one failed before a byte was written.
func (x *Exchange) gotConn(i httptrace.GotConnInfo) {
	x.reused.Store(i.Reused)
	c, ok := i.Conn.(*countingConn)
	if !ok {
		x.uncounted.Store(true)
		return
	}
	x.writtenBefore.Store(c.written.Load())
	x.conn.Store(c)
}

// Written reports whether a byte of the request can have been sent. For a connection
// that does not count bytes it reports true.
func (x *Exchange) Written() bool {
	c := x.conn.Load()
	if c == nil {
		return x.uncounted.Load()
	}
	return c.written.Load() > x.writtenBefore.Load()
}

// Connected reports whether a connection was available for the request.
func (x *Exchange) Connected() bool { return x.conn.Load() != nil || x.uncounted.Load() }

// Reused reports whether the connection had carried another request before.
func (x *Exchange) Reused() bool { return x.reused.Load() }

// CloseConn closes the connection of the request, so that no other request gets it.
func (x *Exchange) CloseConn() {
	if c := x.conn.Load(); c != nil {
		_ = c.Close() // the connection is given up
	}
}
