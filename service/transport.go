package service

import (
	"time"

	"github.com/lagoonhead/lagoonhead/httppool"
)

// Timeouts and pool size of connections to services.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	idleTimeout          = 30 * time.Second
	// userTimeout is the TCP user timeout: a connection is closed when sent data stays
	// unacknowledged for that time.
	userTimeout      = 10 * time.Second
	idleConnsPerHost = 16
)

// newTransport returns a transport. Without keepAlive each call gets a new connection, so that
// a failure before the request is written is recognized with certainty.
func newTransport(dialTimeout, headerTimeout time.Duration, keepAlive bool) *httppool.Transport {
	t := httppool.NewTransport(httppool.NewDialer(dialTimeout, userTimeout), idleTimeout)
	t.SingleUse = !keepAlive
	t.MaxIdle = idleConnsPerHost
	t.ResponseTimeout = headerTimeout
	t.IDHeader, t.IDOptional = HeaderRequestID, true
	return t
}
