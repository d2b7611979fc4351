package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection attempt to a peer of another region.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes pooled connections that are not used.
	idleTimeout = 30 * time.Second
	// connectionsPerPeer bounds the pool for one peer.
	connectionsPerPeer = 8
)

// Pool makes clients for peers by address.
type Pool struct {
	// Token is sent with each request when it is not empty.
	Token string
	// TLS is set for https; nil means plain HTTP.
	TLS *tls.Config

	once      sync.Once
	transport *http.Transport
	mu        sync.Mutex
	commands  map[string]Commands
	queries   map[string]Queries
}

// Commands returns the client of the commands at host:port.
func (p *Pool) Commands(address string) Commands {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.commands[address]
	if c == nil {
		c = NewCommandsProtobufClient(p.base(address), p.client())
		p.commands[address] = c
	}
	return c
}

// Queries returns the client of the queries at host:port.
func (p *Pool) Queries(address string) Queries {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queries[address]
	if q == nil {
		q = NewQueriesProtobufClient(p.base(address), p.client())
		p.queries[address] = q
	}
	return q
}

// CloseIdle closes pooled connections, so that one which has gone silent is not
// used again.
func (p *Pool) CloseIdle() {
	p.once.Do(p.start)
	p.transport.CloseIdleConnections()
}

func (p *Pool) start() {
	p.commands = make(map[string]Commands)
	p.queries = make(map[string]Queries)
	p.transport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     p.TLS,
		MaxIdleConnsPerHost: connectionsPerPeer,
		IdleConnTimeout:     idleTimeout,
	}
}

func (p *Pool) base(address string) string {
	if p.TLS != nil {
		return "https://" + address
	}
	return "http://" + address
}

func (p *Pool) client() *http.Client {
	return &http.Client{Transport: tokenTransport{token: p.Token, next: p.transport}}
}

type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip adds the token.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(r)
}
