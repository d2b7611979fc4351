package prefix

import (
	"github.com/lagoonhead/lagoonhead"
)

const (
	// ways is the number of entries among which the least recent one gives way.
	ways = 8
	// listed is the number of holders remembered per block, the most recent ones.
	listed = 4
	// mix spreads block hashes over the sets.
	mix = 0x9e3779b97f4a7c15
)

// entry is one block of one engine. Seen 0 marks a free entry.
type entry struct {
	block uint64
	seen  uint32
}

// cache is what one engine is believed to hold.
type cache struct {
	sets  [][ways]entry
	count int
	// number is that of the last event taken; 0 when there was none.
	number int64
}

// list names engines that hold a block.
type list struct {
	block   uint64
	engines [listed]int32
	seen    uint32
}

// Index maps blocks to engines. Its memory is bounded: per engine and in the
// number of blocks with known holders. It is not safe for concurrent use.
type Index struct {
	caches  []cache
	lists   [][ways]list
	perSets int
	clock   uint32
	gaps    int64
}

var _ lagoonhead.PrefixReader = (*Index)(nil)

// New returns an index that remembers about perEngine blocks of each engine and
// the holders of about blocks blocks. Both are rounded up to a power of two. It
// panics when one is not positive.
func New(perEngine, blocks int) *Index {
	if perEngine <= 0 || blocks <= 0 {
		panic("prefix: sizes must be positive")
	}
	return &Index{perSets: sets(perEngine), lists: make([][ways]list, sets(blocks))}
}

// sets returns the number of sets, a power of two, that hold n entries.
func sets(n int) int {
	k := 1
	for k*ways < n {
		k *= 2
	}
	return k
}

// place returns the set of the block among n sets.
func place(block uint64, n int) int { return int((block * mix >> 32) & uint64(n-1)) }

// tick advances the logical clock that orders entries by their last use.
func (x *Index) tick() uint32 {
	x.clock++
	if x.clock == 0 {
		// The clock wrapped around after 2^32 uses; forgetting is cheaper than a wider
		// clock in each entry.
		x.forgetAll()
		x.clock = 1
	}
	return x.clock
}

// forgetAll keeps the memory and the event numbers, since it runs in the middle of
// Learn and Event.
func (x *Index) forgetAll() {
	for i := range x.caches {
		c := &x.caches[i]
		clear(c.sets)
		c.count = 0
	}
	clear(x.lists)
}

// Reset forgets what the engine holds, for example because its process is new.
func (x *Index) Reset(engine int) {
	if engine < len(x.caches) {
		x.caches[engine] = cache{}
	}
}

// grow returns the cache of the engine.
func (x *Index) grow(engine int) *cache {
	for len(x.caches) <= engine {
		x.caches = append(x.caches, cache{})
	}
	c := &x.caches[engine]
	if c.sets == nil {
		c.sets = make([][ways]entry, x.perSets)
	}
	return c
}

// Learn notes that the engine will hold the blocks of a prompt that was sent to
// it. Earlier blocks count as used later, so that a prefix is forgotten from its
// end.
func (x *Index) Learn(engine int, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c := x.grow(engine)
	for i := len(blocks) - 1; i >= 0; i-- {
		x.store(c, engine, blocks[i])
	}
}

func (x *Index) store(c *cache, engine int, block uint64) {
	now := x.tick()
	set := &c.sets[place(block, len(c.sets))]
	at := 0
	for i := range set {
		if set[i].seen != 0 && set[i].block == block {
			at = i
			break
		}
		if set[i].seen < set[at].seen {
			at = i
		}
	}
	if set[at].seen == 0 {
		c.count++
	}
	set[at] = entry{block: block, seen: now}
	x.listHolder(engine, block, now)
}

// listHolder puts the engine first among the holders of the block.
func (x *Index) listHolder(engine int, block uint64, now uint32) {
	set := &x.lists[place(block, len(x.lists))]
	at := 0
	for i := range set {
		if set[i].seen != 0 && set[i].block == block {
			at = i
			break
		}
		if set[i].seen < set[at].seen {
			at = i
		}
	}
	l := &set[at]
	if l.seen == 0 || l.block != block {
		*l = list{block: block, engines: [listed]int32{-1, -1, -1, -1}}
	}
	l.seen = now
	next := int32(engine)
	for i, e := range l.engines {
		l.engines[i] = next
		if e == int32(engine) || e < 0 {
			return
		}
		next = e
	}
}

// Event takes a cache event of the engine. After a gap in the numbers it forgets
// the blocks that the lost events may have dropped.
func (x *Index) Event(engine int, v lagoonhead.CacheEvent) {
	c := x.grow(engine)
	if v.Number <= c.number {
		return
	}
	if lost := v.Number - c.number - 1; c.number > 0 && lost > 0 {
		x.gaps += lost
		// In a full cache each stored block drops one, so half of the lost events.
		c.forgetOldest(int(min((lost+1)/2, int64(c.count))))
	}
	c.number = v.Number
	if v.Stored {
		x.store(c, engine, v.Block)
		return
	}
	if e := c.find(v.Block); e != nil {
		*e = entry{}
		c.count--
	}
}

// forgetOldest frees n entries: the least recently used one of each set in turn.
func (c *cache) forgetOldest(n int) {
	for n > 0 && c.count > 0 {
		for i := range c.sets {
			if n > 0 && forget(&c.sets[i]) {
				n--
				c.count--
			}
		}
	}
}

// forget frees the least recently used entry of the set, if it has one.
func forget(set *[ways]entry) bool {
	at := -1
	for i := range set {
		if set[i].seen != 0 && (at < 0 || set[i].seen < set[at].seen) {
			at = i
		}
	}
	if at < 0 {
		return false
	}
	set[at] = entry{}
	return true
}

// find returns the entry of the block, or nil.
func (c *cache) find(block uint64) *entry {
	if len(c.sets) == 0 {
		return nil
	}
	set := &c.sets[place(block, len(c.sets))]
	for i := range set {
		if set[i].block == block && set[i].seen != 0 {
			return &set[i]
		}
	}
	return nil
}

// Depth returns how many leading blocks the engine holds. It assumes that an
// engine that holds a block holds the ones before it.
func (x *Index) Depth(engine int, blocks []uint64) int {
	if engine >= len(x.caches) || len(x.caches[engine].sets) == 0 {
		return 0
	}
	c := &x.caches[engine]
	low, high := 0, len(blocks)
	for low < high {
		m := (low + high + 1) / 2
		if c.find(blocks[m-1]) != nil {
			low = m
		} else {
			high = m - 1
		}
	}
	return low
}

// holdersOf returns the list of the block, or nil.
func (x *Index) holdersOf(block uint64) *list {
	set := &x.lists[place(block, len(x.lists))]
	for i := range set {
		if set[i].block == block && set[i].seen != 0 {
			return &set[i]
		}
	}
	return nil
}

// Holders writes engines that hold the longest known prefixes into dst and returns
// how many. It looks at the deepest known block and then at shorter prefixes, in
// growing steps.
func (x *Index) Holders(blocks []uint64, dst []int) int {
	low, high := 0, len(blocks)
	for low < high {
		m := (low + high + 1) / 2
		if x.holdersOf(blocks[m-1]) != nil {
			low = m
		} else {
			high = m - 1
		}
	}
	n := 0
	for at, step := low, 1; at > 0 && n < len(dst); at, step = at-step, step*2 {
		if l := x.holdersOf(blocks[at-1]); l != nil {
			n = l.appendNew(dst, n)
		}
	}
	return n
}

// appendNew adds the holders that dst[:n] lacks and returns the new length.
func (l *list) appendNew(dst []int, n int) int {
	for _, e := range l.engines {
		if e < 0 || n == len(dst) {
			break
		}
		known := false
		for _, d := range dst[:n] {
			known = known || d == int(e)
		}
		if !known {
			dst[n] = int(e)
			n++
		}
	}
	return n
}

// Blocks returns the number of blocks believed to be held by the engine.
func (x *Index) Blocks(engine int) int {
	if engine >= len(x.caches) {
		return 0
	}
	return x.caches[engine].count
}

// LostEvents returns how many cache events were missing so far.
func (x *Index) LostEvents() int64 { return x.gaps }
