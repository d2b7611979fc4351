package fakeengine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/ring"
)

const (
	// defaultBlockTokens is the size of a prefix block in tokens.
	defaultBlockTokens = 2000
	// maxEvents is the number of newest cache events that are kept for queries.
	maxEvents = 8192
)

// chainedBlocks is the default of Engine.Blocks: it returns one hash for each whole
// block of the prompt, computed from the block and the hash of the block before.
func chainedBlocks(text string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	blocks := make([]uint64, 0, len(text)/size)
	var chain uint64
	for len(text) >= size {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], chain)
		d := xxhash.New()
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(text[:size])
		chain = d.Sum64()
		blocks = append(blocks, chain)
		text = text[size:]
	}
	return blocks
}

// cache is the prefix cache: a set of blocks with LRU eviction and a log of cache
// events. It is not safe for concurrent use.
type cache struct {
	capacity int // in blocks
	lag      time.Duration
	gapEvery int64
	// lastUsed maps each cached block to the value of clock at its last use.
	lastUsed map[uint64]int64
	clock    int64
	// eventNumber is the number of the newest event.
	eventNumber int64
	events      *ring.Buffer[cacheEvent]
}

type cacheEvent struct {
	event     lagoonhead.CacheEvent
	visibleAt time.Duration
}

func newCache(capacity int, lag time.Duration, gapEvery int) *cache {
	return &cache{
		capacity: capacity, lag: lag, gapEvery: int64(gapEvery),
		lastUsed: make(map[uint64]int64), events: ring.NewBuffer[cacheEvent](maxEvents),
	}
}

// hits returns the number of leading blocks that are cached.
func (c *cache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.lastUsed[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds the blocks and evicts the least recently used ones above capacity.
func (c *cache) store(blocks []uint64, now time.Duration) {
	for _, b := range blocks {
		c.clock++
		_, cached := c.lastUsed[b]
		c.lastUsed[b] = c.clock
		if !cached {
			c.emit(b, true, now)
		}
	}
	for len(c.lastUsed) > c.capacity {
		b := c.leastRecentlyUsed()
		delete(c.lastUsed, b)
		c.emit(b, false, now)
	}
}

func (c *cache) leastRecentlyUsed() uint64 {
	var block uint64
	minUse := c.clock + 1
	for b, u := range c.lastUsed {
		if u < minUse {
			block, minUse = b, u
		}
	}
	return block
}

// emit numbers the event and publishes it after the lag. Each gapEvery-th event gets
// a number but is not published.
func (c *cache) emit(block uint64, stored bool, now time.Duration) {
	c.eventNumber++
	if c.gapEvery > 0 && c.eventNumber%c.gapEvery == 0 {
		return
	}
	c.events.Add(cacheEvent{
		event:     lagoonhead.CacheEvent{Number: c.eventNumber, Block: block, Stored: stored},
		visibleAt: now + c.lag,
	})
}

// since returns the events with a number above after that are visible at now.
func (c *cache) since(after int64, now time.Duration) []lagoonhead.CacheEvent {
	out := []lagoonhead.CacheEvent{}
	c.events.Each(func(v cacheEvent) bool {
		if v.visibleAt > now {
			return false
		}
		if v.event.Number > after {
			out = append(out, v.event)
		}
		return true
	})
	return out
}
