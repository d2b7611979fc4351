package steer

import "container/list"

// partCache is what is known of the prompt parts that an engine has read: the shared
// parts, the newest first, as many as fit its memory.
type partCache struct {
	room  int
	used  int
	order *list.List
	byID  map[string]*list.Element
}

type cachedPart struct {
	id     string
	tokens int
}

// cacheUse is the part of an engine's memory that is taken to hold shared parts; the
// rest holds running requests and what belongs to one request only.
const cacheUse = 0.7

func newPartCache(room int) *partCache {
	return &partCache{room: int(cacheUse * float64(room)), order: list.New(), byID: make(map[string]*list.Element)}
}

func (c *partCache) has(id string) bool { return c.byID[id] != nil }

func (c *partCache) read(id string, tokens int) {
	if e := c.byID[id]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.byID[id] = c.order.PushFront(cachedPart{id, tokens})
	c.used += tokens
	for c.used > c.room && c.order.Len() > 1 {
		last := c.order.Back()
		p := c.order.Remove(last).(cachedPart)
		delete(c.byID, p.id)
		c.used -= p.tokens
	}
}
