package steer

import (
	"container/list"
	"time"
)

const (
	// cacheUse is the part of an engine's memory that is taken to hold shared parts; the
	// rest holds running requests and what belongs to one request only.
	cacheUse = 0.7
	// newestParts is how many parts of an engine a daemon tells its peers at most with each
	// heartbeat. It is above the readings of one daemon at one engine between two
	// heartbeats, so that a lost heartbeat loses nothing.
	newestParts = 8
)

// partCache is what is known of the shared parts that an engine has read, the newest
// first, as many as fit its memory. Parts are named by their hash.
type partCache struct {
	room  int
	used  int
	mean  int
	order *list.List
	byID  map[uint64]*list.Element
	// own are the parts that this daemon had the engine read last, the newest last.
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

func newPartCache(room int) *partCache {
	return &partCache{room: int(cacheUse * float64(room)), order: list.New(), byID: make(map[uint64]*list.Element)}
}

func (c *partCache) has(id uint64) bool { return c.byID[id] != nil }

// newest returns the parts that this daemon had the engine read since a time. Peers take
// what they are told for new, so an old reading must not be told again.
func (c *partCache) newest(since time.Duration) []uint64 {
	var list []uint64
	for _, p := range c.own {
		if p.at >= since {
			list = append(list, p.id)
		}
	}
	return list
}

// read notes a part that this daemon had the engine read.
func (c *partCache) read(now time.Duration, id uint64, tokens int) {
	c.mean = tokens
	c.note(id, tokens)
	if len(c.own) == newestParts {
		c.own = append(c.own[:0:0], c.own[1:]...)
	}
	c.own = append(c.own, ownPart{id, now})
}

// readElsewhere notes a part that a peer had the engine read. It is taken to be as long
// as the last one of this daemon.
func (c *partCache) readElsewhere(id uint64) { c.note(id, c.mean) }

func (c *partCache) note(id uint64, tokens int) {
	if e := c.byID[id]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.byID[id] = c.order.PushFront(cachedPart{id, tokens})
	c.used += tokens
	for c.used > c.room && c.order.Len() > 1 {
		p := c.order.Remove(c.order.Back()).(cachedPart)
		delete(c.byID, p.id)
		c.used -= p.tokens
	}
}
