package httppool

import (
	"net"
	"sync"
	"time"
)

// maxPools bounds the number of pools; it is above the number of engines that the
// system is designed for.
const maxPools = 4096

// Pools keeps one connection pool for each address. A connection can stop working for
// good while new ones work, and what breaks one connection often breaks the others to the
// same address, so Drop discards the whole pool of an address after a fault. Set the
// exported fields before use.
type Pools struct {
	Dialer *net.Dialer
	// IdleTimeout is that of the pools, and IDHeader their IDHeader, with IDOptional set.
	IdleTimeout time.Duration
	IDHeader    string

	mu        sync.Mutex
	byAddress map[string]*Transport
}

// Get returns the pool of an address and creates it if there is none. When the number of
// pools is at its bound, an arbitrary other one is dropped, and the next request to that
// address must dial.
func (p *Pools) Get(address string) *Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byAddress[address]; t != nil {
		return t
	}
	if p.byAddress == nil {
		p.byAddress = make(map[string]*Transport)
	}
	for a, t := range p.byAddress {
		if len(p.byAddress) < maxPools {
			break
		}
		delete(p.byAddress, a)
		t.CloseIdleConnections()
	}
	t := NewTransport(p.Dialer, p.IdleTimeout)
	t.IDHeader, t.IDOptional = p.IDHeader, true
	p.byAddress[address] = t
	return t
}

// Drop discards the pool t of an address, so that the next request to it dials. Requests
// in flight on connections of t are not affected.
func (p *Pools) Drop(address string, t *Transport) {
	p.mu.Lock()
	if p.byAddress[address] == t {
		delete(p.byAddress, address)
	}
	p.mu.Unlock()
	t.CloseIdleConnections()
}
