package service

import (
	"net/http"
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

// newTransport returns a transport that uses neither a proxy nor HTTP/2. Without
// keepAlive each call gets a new connection, which rules out hidden retries: net/http
// retries a request only after a failure on a reused connection.
func newTransport(dialTimeout, headerTimeout time.Duration, keepAlive bool) *http.Transport {
	t := httppool.NewTransport(httppool.NewDialer(dialTimeout, userTimeout), idleTimeout)
	t.DisableKeepAlives = !keepAlive
	t.MaxIdleConnsPerHost = idleConnsPerHost
	t.ResponseHeaderTimeout = headerTimeout
	return t
}
