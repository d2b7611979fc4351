package fakeengine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/ring"
)

const (
	// defaultBlockTokens is the size of a prefix block.
	defaultBlockTokens = 2000
	// keptEvents is how many cache events are kept for queries.
	keptEvents = 8192
)

// chainedBlocks is the default of Engine.Blocks: one chained hash for each whole
// block of the prompt.
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

// cache is the prefix cache: a set of blocks in order of last use. Its owner
// locks it.
type cache struct {
	room     int
	lag      time.Duration
	gapEvery int64
	used     map[uint64]int64
	clock    int64
	number   int64
	events   *ring.Last[cacheEvent]
}

type cacheEvent struct {
	event   lagoonhead.CacheEvent
	visible time.Duration
}

func newCache(room int, lag time.Duration, gapEvery int) *cache {
	return &cache{
		room: room, lag: lag, gapEvery: int64(gapEvery),
		used: make(map[uint64]int64), events: ring.NewLast[cacheEvent](keptEvents),
	}
}

// hits returns how many leading blocks are cached.
func (c *cache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.used[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store puts the blocks in and drops those that were used longest ago.
func (c *cache) store(blocks []uint64, now time.Duration) {
	for _, b := range blocks {
		c.clock++
		_, had := c.used[b]
		c.used[b] = c.clock
		if !had {
			c.emit(b, true, now)
		}
	}
	for len(c.used) > c.room {
		b := c.oldest()
		delete(c.used, b)
		c.emit(b, false, now)
	}
}

func (c *cache) oldest() uint64 {
	var block uint64
	first := c.clock + 1
	for b, u := range c.used {
		if u < first {
			block, first = b, u
		}
	}
	return block
}

// emit gives each gapEvery-th event a number but does not publish it.
func (c *cache) emit(block uint64, stored bool, now time.Duration) {
	c.number++
	if c.gapEvery > 0 && c.number%c.gapEvery == 0 {
		return
	}
	c.events.Add(cacheEvent{
		event:   lagoonhead.CacheEvent{Number: c.number, Block: block, Stored: stored},
		visible: now + c.lag,
	})
}

// since returns the published events after a number that are old enough to show.
func (c *cache) since(after int64, now time.Duration) []lagoonhead.CacheEvent {
	out := []lagoonhead.CacheEvent{}
	c.events.Each(func(v cacheEvent) bool {
		if v.visible > now {
			return false
		}
		if v.event.Number > after {
			out = append(out, v.event)
		}
		return true
	})
	return out
}
