package steer

import (
	"container/list"
	"time"
)

const (
	// sharedCacheFraction is the fraction of an engine's KV cache that is assumed to hold
	// shared parts; the rest holds running requests and parts of a single request.
	sharedCacheFraction = 0.7
	// maxReportedParts is the maximum number of parts of one engine in a report to peers. A
	// report goes out with each heartbeat. The number is above the prefills that a daemon has
	// one engine make between two heartbeats, so that a lost heartbeat loses nothing.
	maxReportedParts = 8
)

// partCache estimates which shared parts an engine has cached: the most recently used
// ones, as many as fit. Parts are identified by their hash.
type partCache struct {
	capacity int
	used     int
	// lastTokens is the length of the part that addOwn added last.
	lastTokens int
	// order holds the cached parts, the most recently used one first.
	order *list.List
	byID  map[uint64]*list.Element
	// own holds the parts that this daemon had the engine prefill most recently, newest last.
	own []ownPart
}

type ownPart struct {
	id uint64
	at time.Duration
}

type cachedPart struct {
	id     uint64
	tokens int
}

func newPartCache(capacity int) *partCache {
	return &partCache{capacity: int(sharedCacheFraction * float64(capacity)), order: list.New(), byID: make(map[uint64]*list.Element)}
}

func (c *partCache) has(id uint64) bool { return c.byID[id] != nil }

// ownSince returns the parts that this daemon had the engine prefill since a time. Peers
// treat every part in a report as just used, so an old prefill must not be reported again.
func (c *partCache) ownSince(since time.Duration) []uint64 {
	var list []uint64
	for _, p := range c.own {
		if p.at >= since {
			list = append(list, p.id)
		}
	}
	return list
}

// addOwn adds a part that this daemon had the engine prefill or fetch.
func (c *partCache) addOwn(now time.Duration, id uint64, tokens int) {
	c.lastTokens = tokens
	c.add(id, tokens)
	if len(c.own) == maxReportedParts {
		c.own = append(c.own[:0:0], c.own[1:]...)
	}
	c.own = append(c.own, ownPart{id, now})
}

// addFromPeer adds a part that a peer had the engine prefill. Reports don't state its
// length, so it is assumed to be as long as the last part of this daemon.
func (c *partCache) addFromPeer(id uint64) { c.add(id, c.lastTokens) }

func (c *partCache) add(id uint64, tokens int) {
	if e := c.byID[id]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.byID[id] = c.order.PushFront(cachedPart{id, tokens})
	c.used += tokens
	for c.used > c.capacity && c.order.Len() > 1 {
		p := c.order.Remove(c.order.Back()).(cachedPart)
		delete(c.byID, p.id)
		c.used -= p.tokens
	}
}
