package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout limits a connection attempt. Peers may be in another region.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// idleConnsPerPeer is the maximum number of idle connections to one peer.
	idleConnsPerPeer = 8
	// connsPerPeer is the maximum number of connections to one peer. Further calls wait, so
	// that a slow peer does not take all descriptors.
	connsPerPeer = 32
)

// Pool returns clients for peers by address. The clients share a connection pool. Set
// the exported fields before the first call.
type Pool struct {
	// Token is sent with each request when it is not empty.
	Token string
	// TLS is the configuration for HTTPS; nil means plain HTTP.
	TLS *tls.Config

	once      sync.Once
	transport *http.Transport
	mu        sync.Mutex
	commands  map[string]Commands
	queries   map[string]Queries
}

// Commands returns the client of the Commands service at an address host:port.
func (p *Pool) Commands(address string) Commands {
	p.once.Do(p.setUp)
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.commands[address]
	if c == nil {
		c = NewCommandsProtobufClient(p.baseURL(address), p.httpClient())
		p.commands[address] = c
	}
	return c
}

// Queries returns the client of the Queries service at an address host:port.
func (p *Pool) Queries(address string) Queries {
	p.once.Do(p.setUp)
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queries[address]
	if q == nil {
		q = NewQueriesProtobufClient(p.baseURL(address), p.httpClient())
		p.queries[address] = q
	}
	return q
}

// CloseIdle closes the idle connections, so that one which is dead without having been
// closed is not used again.
func (p *Pool) CloseIdle() {
	p.once.Do(p.setUp)
	p.transport.CloseIdleConnections()
}

func (p *Pool) setUp() {
	p.commands = make(map[string]Commands)
	p.queries = make(map[string]Queries)
	p.transport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     p.TLS,
		MaxIdleConnsPerHost: idleConnsPerPeer,
		MaxConnsPerHost:     connsPerPeer,
		IdleConnTimeout:     idleTimeout,
	}
}

func (p *Pool) baseURL(address string) string {
	if p.TLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

func (p *Pool) httpClient() *http.Client {
	return &http.Client{Transport: tokenTransport{token: p.Token, next: p.transport}}
}

// tokenTransport adds the token to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(r)
}
