package service

import (
	"net/http"
	"time"

	"github.com/lagoonhead/lagoonhead/httppool"
)

// Timeouts of connections to services.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	idleTimeout          = 30 * time.Second
	// userTimeout ends a connection whose peer acknowledges nothing any more.
	userTimeout      = 10 * time.Second
	idleConnsPerHost = 16
)

// newTransport returns a transport without proxy and without HTTP/2. Without
// keep-alive each call has a fresh connection; net/http repeats a request only
// after a failure on a connection that was used before.
func newTransport(dial, header time.Duration, keepAlive bool) *http.Transport {
	t := httppool.NewTransport(httppool.NewDialer(dial, userTimeout), idleTimeout)
	t.DisableKeepAlives = !keepAlive
	t.MaxIdleConnsPerHost = idleConnsPerHost
	t.ResponseHeaderTimeout = header
	return t
}
