package service

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections to services.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	idleTimeout          = 30 * time.Second
	// userTimeout ends a connection whose peer acknowledges nothing any more.
	userTimeout      = 10 * time.Second
	maxHeaderBytes   = 64 << 10
	idleConnsPerHost = 16
)

// newTransport returns a transport without proxy and without HTTP/2. Without
// keep-alive each call has a fresh connection; net/http repeats a request only
// after a failure on a connection that was used before.
func newTransport(dial, header time.Duration, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:            dialer(dial),
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  header,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			set := func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}
			if e := c.Control(set); e != nil {
				return e
			}
			return err
		},
	}
	return d.DialContext
}
