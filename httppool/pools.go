package httppool

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxPools bounds the pools; it is above the number of engines that the system is
	// designed for.
	maxPools = 4096
	// idlePerAddress is the number of connections kept for the next requests.
	idlePerAddress = 64
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

// Pools keeps one pool of connections for each address. Connections can go silent for
// good while new ones work, and what ends one connection often ends its siblings, so a
// fault drops the whole pool of that address. Set the exported fields before use.
type Pools struct {
	Dialer *net.Dialer
	// IdleTimeout is below the idle timeouts of the servers, so that a request seldom
	// meets a connection that is about to be closed.
	IdleTimeout time.Duration

	mu   sync.Mutex
	pool map[string]*http.Transport
}

// Get returns the pool of an address. At the bound an arbitrary other pool is dropped;
// that costs its endpoint a dial.
func (p *Pools) Get(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.pool[address]; t != nil {
		return t
	}
	if p.pool == nil {
		p.pool = make(map[string]*http.Transport)
	}
	for a, t := range p.pool {
		if len(p.pool) < maxPools {
			break
		}
		delete(p.pool, a)
		t.CloseIdleConnections()
	}
	t := NewTransport(p.Dialer, p.IdleTimeout)
	p.pool[address] = t
	return t
}

// Drop makes the next request to the address dial. Requests that run on connections of
// the dropped pool go on.
func (p *Pools) Drop(address string, t *http.Transport) {
	p.mu.Lock()
	if p.pool[address] == t {
		delete(p.pool, address)
	}
	p.mu.Unlock()
	t.CloseIdleConnections()
}
