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

// NewDialer returns a dialer that bounds the time to connect, and whose connections
// end when sent bytes stay unacknowledged for user.
func NewDialer(connect, user time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect,
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

// NewTransport returns a pool of connections without proxy, compression and HTTP/2.
func NewTransport(d *net.Dialer, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerAddress,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Exchange watches whether bytes of one request went out.
type Exchange struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	other  atomic.Bool
	reused atomic.Bool
}

// Trace returns a context under which the exchange watches a request.
func (x *Exchange) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
}

// gotConn may be called twice: net/http takes another connection when the first
// one failed before a byte was written.
func (x *Exchange) gotConn(i httptrace.GotConnInfo) {
	x.reused.Store(i.Reused)
	c, ok := i.Conn.(*countedConn)
	if !ok {
		x.other.Store(true)
		return
	}
	x.before.Store(c.written.Load())
	x.conn.Store(c)
}

// Written reports whether a byte of the request can have left this process. A
// connection that is not counted is taken to have written.
func (x *Exchange) Written() bool {
	c := x.conn.Load()
	if c == nil {
		return x.other.Load()
	}
	return c.written.Load() > x.before.Load()
}

// Connected reports whether the request got a connection.
func (x *Exchange) Connected() bool { return x.conn.Load() != nil || x.other.Load() }

// Reused reports whether the connection had carried another request before.
func (x *Exchange) Reused() bool { return x.reused.Load() }
