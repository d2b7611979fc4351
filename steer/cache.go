package steer

import (
	"container/list"
	"slices"
	"time"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// sharedCacheFraction is the fraction of an engine's KV cache that is assumed to hold
	// shared parts; the rest holds running requests and parts of a single request.
	sharedCacheFraction = 0.7
	// defaultPartTokens is the assumed length of a part that a peer reports before this
	// daemon knows the length of any.
	defaultPartTokens = 8 << 10
	// maxRecentParts is the number of parts of one engine that are kept for reports to
	// peers. An engine prefills fewer long prompts in the time for which a report counts.
	maxRecentParts = 16
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
	// recent holds the parts that this daemon or its peers had the engine prefill most
	// recently, newest last.
	recent []recentPart
}

// recentPart is a part that the engine prefilled at a time, or of which a peer reported so
// then. from is empty for this daemon.
type recentPart struct {
	id   uint64
	at   time.Duration
	from lagoonhead.VMID
	hub  bool
}

type cachedPart struct {
	id     uint64
	tokens int
}

func newPartCache(capacity int) *partCache {
	c := &partCache{lastTokens: defaultPartTokens, order: list.New(), byID: make(map[uint64]*list.Element)}
	c.setCapacity(capacity)
	return c
}

// setCapacity sets the KV cache capacity of the engine, in tokens.
func (c *partCache) setCapacity(capacity int) {
	c.capacity = int(sharedCacheFraction * float64(capacity))
	c.evict()
}

func (c *partCache) has(id uint64) bool { return c.byID[id] != nil }

// recentSince returns the parts that the engine prefilled since a time, for a report to a
// peer. Peers treat every part in a report as just used, so an old prefill must not be
// reported again.
func (c *partCache) recentSince(since time.Duration, to Recipient) []uint64 {
	var list []uint64
	for _, p := range c.recent {
		if p.at >= since && (p.from == "" || to.wants(p.from, p.hub)) {
			list = append(list, p.id)
		}
	}
	return list
}

// addOwn adds a part that this daemon had the engine prefill or fetch.
func (c *partCache) addOwn(now time.Duration, id uint64, tokens int) {
	c.lastTokens = tokens
	c.add(id, tokens)
	c.addRecent(recentPart{id: id, at: now})
}

// addFromPeer adds a part that a peer had the engine prefill. Reports don't state its
// length, so it is assumed to be as long as the last part of this daemon. A part that the
// peer reports again within ttl counts from the first report.
func (c *partCache) addFromPeer(now, ttl time.Duration, id uint64, from lagoonhead.VMID, hub bool) {
	c.add(id, c.lastTokens)
	i := slices.IndexFunc(c.recent, func(p recentPart) bool { return p.id == id && p.from == from })
	if i >= 0 && now-c.recent[i].at < ttl {
		return
	}
	if i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	c.addRecent(recentPart{id, now, from, hub})
}

func (c *partCache) addRecent(p recentPart) {
	if len(c.recent) == maxRecentParts {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.recent = append(c.recent, p)
}

func (c *partCache) add(id uint64, tokens int) {
	if e := c.byID[id]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.byID[id] = c.order.PushFront(cachedPart{id, tokens})
	c.used += tokens
	c.evict()
}

// evict removes the least recently used parts that do not fit.
func (c *partCache) evict() {
	for c.used > c.capacity && c.order.Len() > 1 {
		p := c.order.Remove(c.order.Back()).(cachedPart)
		delete(c.byID, p.id)
		c.used -= p.tokens
	}
}
