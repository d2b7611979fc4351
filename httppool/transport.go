package httppool

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxIdlePerAddress bounds the idle connections to an address.
	maxIdlePerAddress = 64
	// smallRequestBytes is the size up to which a request is encoded in advance and written at
	// once. A larger one is written while the response is read, since the peer may respond before
	// it has read the request.
	smallRequestBytes = 4 << 10
	// minSweepInterval is the shortest time between two searches for expired idle connections.
	minSweepInterval = 50 * time.Millisecond
)

// Transport sends HTTP/1.1 requests to servers and keeps connections for later ones. Unlike the
// Transport of net/http it sends each request at most once, never with an identifier that its
// connection has carried before, and gives a request only the response that names it. It follows
// neither proxies nor redirects. Set the exported fields before use.
type Transport struct {
	// Dialer opens connections.
	Dialer *net.Dialer
	// IdleTimeout is the time after which idle connections are closed. It must be below
	// the idle timeouts of the servers, so that a request is seldom sent on a connection
	// that the server is closing.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to an address; 0 means 64.
	MaxIdle int
	// SingleUse closes each connection after one request.
	SingleUse bool
	// ResponseTimeout bounds the time until the header of the response; 0 means no limit.
	ResponseTimeout time.Duration
	// IDHeader is the header field with the identifier of a request, which servers repeat in the
	// response. Empty means that responses name no request.
	IDHeader string
	// IDOptional means that servers may leave out the identifier in responses. Then only
	// responses that name an earlier request are known as extra.
	IDOptional bool

	mu       sync.Mutex
	idle     map[poolKey][]*conn
	sweeping bool
}

// poolKey tells what a connection can be used for. The address is host:port.
type poolKey struct{ scheme, address string }

// NewTransport returns a Transport whose idle connections are closed after idleTimeout.
func NewTransport(d *net.Dialer, idleTimeout time.Duration) *Transport {
	return &Transport{Dialer: d, IdleTimeout: idleTimeout}
}

// Do sends the request once and returns its response, whose body must be closed. x, which must not
// be nil, records what became of the request, also if an error is returned.
func (t *Transport) Do(r *http.Request, x *Exchange) (*http.Response, error) {
	r.Close = r.Close || t.SingleUse
	encoded, err := encodeSmall(r)
	if err != nil {
		return nil, err
	}
	ctx := r.Context()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	key := poolKey{r.URL.Scheme, dialAddress(r.URL)}
	c := t.take(key, t.requestID(r))
	if c == nil {
		if c, err = t.dial(ctx, r.URL, key); err != nil {
			return nil, err
		}
	}
	x.begin(c)
	return c.send(r, encoded, x)
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.idle {
		for _, c := range list {
			c.Close()
		}
	}
	t.idle = nil
}

func (t *Transport) requestID(r *http.Request) string {
	if t.IDHeader == "" {
		return ""
	}
	return r.Header.Get(t.IDHeader)
}

// encodeSmall returns the encoded request, or nil if it may be larger than smallRequestBytes.
func encodeSmall(r *http.Request) (*bytes.Buffer, error) {
	hasBody := r.Body != nil && r.Body != http.NoBody
	if hasBody && (r.ContentLength <= 0 || r.ContentLength > smallRequestBytes) {
		return nil, nil
	}
	var b bytes.Buffer
	return &b, r.Write(&b)
}

// dialAddress returns host:port of a URL.
func dialAddress(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	port := "80"
	if u.Scheme == "https" {
		port = "443"
	}
	return net.JoinHostPort(u.Hostname(), port)
}

func (t *Transport) dial(ctx context.Context, u *url.URL, key poolKey) (*conn, error) {
	switch u.Scheme {
	case "http", "https":
	default:
		return nil, errors.Newf("scheme %q is neither http nor https", u.Scheme)
	}
	socket, err := t.Dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	if u.Scheme == "http" {
		return newConn(t, key, socket, socket), nil
	}
	c := tls.Client(socket, &tls.Config{ServerName: u.Hostname(), MinVersion: tls.VersionTLS12})
	if err := c.HandshakeContext(ctx); err != nil {
		socket.Close()
		return nil, err
	}
	return newConn(t, key, socket, c), nil
}

// take returns an idle connection that has not carried the identifier, or nil.
func (t *Transport) take(key poolKey, id string) *conn {
	for {
		c := t.pop(key, id)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < t.IdleTimeout && c.isOpen() {
			return c
		}
		c.Close()
	}
}

// pop removes the connection that became idle last from those that have not carried the identifier.
func (t *Transport) pop(key poolKey, id string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if c.carried(id) {
			continue
		}
		if t.idle[key] = slices.Delete(list, i, i+1); len(list) == 1 {
			delete(t.idle, key)
		}
		return c
	}
	return nil
}

// put keeps a connection for later requests.
func (t *Transport) put(c *conn) {
	limit := t.MaxIdle
	if limit <= 0 {
		limit = maxIdlePerAddress
	}
	c.idleSince = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.key]) >= limit {
		c.Close()
		return
	}
	if t.idle == nil {
		t.idle = make(map[poolKey][]*conn)
	}
	t.idle[c.key] = append(t.idle[c.key], c)
	if !t.sweeping {
		t.sweeping = true
		time.AfterFunc(t.IdleTimeout, t.sweep)
	}
}

// sweep closes the connections that have been idle for IdleTimeout.
func (t *Transport) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := time.Duration(-1)
	for key, list := range t.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			left := t.IdleTimeout - now.Sub(c.idleSince)
			if left <= 0 {
				c.Close()
				return true
			}
			if next < 0 || left < next {
				next = left
			}
			return false
		})
		if t.idle[key] = list; len(list) == 0 {
			delete(t.idle, key)
		}
	}
	if t.sweeping = next >= 0; t.sweeping {
		time.AfterFunc(max(next, minSweepInterval), t.sweep)
	}
}
