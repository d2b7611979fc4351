package engine

import (
	"net"
	"net/http"
	"sync"
)

// maxPools bounds the pools; it is above the number of engines that the system is
// designed for.
const maxPools = 4096

// pools keeps one pool of connections for each engine address. Connections can
// go silent for good while new ones work, and what ends one connection often ends
// its siblings, so a fault drops the whole pool of that engine.
type pools struct {
	dialer *net.Dialer

	mu   sync.Mutex
	pool map[string]*http.Transport
}

// get returns the pool of an address. At the bound an arbitrary other pool is
// dropped; that costs its engine a dial.
func (p *pools) get(address string) *http.Transport {
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
	t := newTransport(p.dialer)
	p.pool[address] = t
	return t
}

// drop makes the next request to the address dial. Requests that run on
// connections of the dropped pool go on.
func (p *pools) drop(address string, t *http.Transport) {
	p.mu.Lock()
	if p.pool[address] == t {
		delete(p.pool, address)
	}
	p.mu.Unlock()
	t.CloseIdleConnections()
}
