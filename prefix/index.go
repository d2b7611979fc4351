package prefix

import (
	"github.com/lagoonhead/lagoonhead"
)

const (
	// ways is the number of entries of a set. A full set evicts its least recently used
	// entry.
	ways = 8
	// maxHolders is the number of engines listed per block, the most recent ones.
	maxHolders = 4
	// hashMultiplier is 2^64 divided by the golden ratio, for multiplicative hashing.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// entry is one block that an engine is assumed to hold.
type entry struct {
	block   uint64
	lastUse uint32 // value of Index.clock; 0 marks a free entry
}

// cache contains the blocks that one engine is assumed to hold.
type cache struct {
	sets  [][ways]entry
	count int // entries in use
	// eventNumber is the number of the last event applied; 0 means none.
	eventNumber int64
}

// holderList lists the engines that stored a block most recently. An engine that
// drops the block stays in the list.
type holderList struct {
	block   uint64
	engines [maxHolders]int32 // the most recent one first; -1 marks a free place
	lastUse uint32            // value of Index.clock; 0 marks a free list
}

// Index maps blocks to engines and engines to blocks. Its memory is bounded: by the
// number of blocks per engine and by the number of blocks with known holders.
// Engines are identified by their index, from 0. It is not safe for concurrent use.
type Index struct {
	caches       []cache // by engine
	holderLists  [][ways]holderList
	setsPerCache int
	clock        uint32 // logical time, see tick
	lostEvents   int64
}

var _ lagoonhead.PrefixReader = (*Index)(nil)

// New returns an index with room for perEngine blocks of each engine and for the
// holders of blocks blocks. Both are rounded up to a power of two, at least 8; since
// blocks are hashed to sets of 8, some are evicted earlier. New panics when one of
// the two is not positive.
func New(perEngine, blocks int) *Index {
	if perEngine <= 0 || blocks <= 0 {
		panic("prefix: sizes must be positive")
	}
	return &Index{setsPerCache: setCount(perEngine), holderLists: make([][ways]holderList, setCount(blocks))}
}

// setCount returns the number of sets, a power of two, that have room for n entries.
func setCount(n int) int {
	k := 1
	for k*ways < n {
		k *= 2
	}
	return k
}

// setIndex returns the index of the set of a block among n sets, a power of two.
func setIndex(block uint64, n int) int { return int((block * hashMultiplier >> 32) & uint64(n-1)) }

// tick advances the logical clock that orders entries by their last use, and returns
// it.
func (x *Index) tick() uint32 {
	x.clock++
	if x.clock == 0 {
		// The clock has wrapped around after 2^32 uses. Evicting everything costs less
		// than the memory of a wider clock in each entry.
		x.evictAll()
		x.clock = 1
	}
	return x.clock
}

// evictAll frees all entries. It keeps the allocated sets and the event numbers,
// because AddPrompt and ApplyEvent call it while they use them.
func (x *Index) evictAll() {
	for i := range x.caches {
		c := &x.caches[i]
		clear(c.sets)
		c.count = 0
	}
	clear(x.holderLists)
}

// Reset removes all blocks and the event number of the engine, for example because
// its process has restarted.
func (x *Index) Reset(engine int) {
	if engine < len(x.caches) {
		x.caches[engine] = cache{}
	}
}

// cacheOf returns the cache of the engine; it allocates the cache if needed.
func (x *Index) cacheOf(engine int) *cache {
	for len(x.caches) <= engine {
		x.caches = append(x.caches, cache{})
	}
	c := &x.caches[engine]
	if c.sets == nil {
		c.sets = make([][ways]entry, x.setsPerCache)
	}
	return c
}

// AddPrompt records that the engine will hold the blocks of a prompt that was sent to
// it. Blocks nearer to the beginning of the prompt count as used more recently, so
// that a prefix is evicted from its end.
func (x *Index) AddPrompt(engine int, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c := x.cacheOf(engine)
	for i := len(blocks) - 1; i >= 0; i-- {
		x.store(c, engine, blocks[i])
	}
}

// store records that the engine, whose cache is c, holds the block. It evicts the
// least recently used entry of a full set.
func (x *Index) store(c *cache, engine int, block uint64) {
	now := x.tick()
	set := &c.sets[setIndex(block, len(c.sets))]
	at := 0
	for i := range set {
		if set[i].lastUse != 0 && set[i].block == block {
			at = i
			break
		}
		if set[i].lastUse < set[at].lastUse {
			at = i
		}
	}
	if set[at].lastUse == 0 {
		c.count++
	}
	set[at] = entry{block: block, lastUse: now}
	x.addHolder(engine, block, now)
}

// addHolder puts the engine first among the holders of the block. The least recent
// holder is dropped when there are more than maxHolders.
func (x *Index) addHolder(engine int, block uint64, now uint32) {
	set := &x.holderLists[setIndex(block, len(x.holderLists))]
	at := 0
	for i := range set {
		if set[i].lastUse != 0 && set[i].block == block {
			at = i
			break
		}
		if set[i].lastUse < set[at].lastUse {
			at = i
		}
	}
	l := &set[at]
	if l.lastUse == 0 || l.block != block {
		*l = holderList{block: block, engines: [maxHolders]int32{-1, -1, -1, -1}}
	}
	l.lastUse = now
	next := int32(engine)
	for i, e := range l.engines {
		l.engines[i] = next
		if e == int32(engine) || e < 0 {
			return
		}
		next = e
	}
}

// ApplyEvent applies a cache event of the engine. It ignores an event whose number is not
// above the last one. After a gap in the numbers it evicts as many blocks as the
// engine may have dropped in the lost events.
func (x *Index) ApplyEvent(engine int, v lagoonhead.CacheEvent) {
	c := x.cacheOf(engine)
	if v.Number <= c.eventNumber {
		return
	}
	if lost := v.Number - c.eventNumber - 1; c.eventNumber > 0 && lost > 0 {
		x.lostEvents += lost
		// An engine whose cache is full drops one block for each block that it stores, so
		// half of the lost events were drops.
		c.evictOldest(int(min((lost+1)/2, int64(c.count))))
	}
	c.eventNumber = v.Number
	if v.Stored {
		x.store(c, engine, v.Block)
		return
	}
	if e := c.find(v.Block); e != nil {
		*e = entry{}
		c.count--
	}
}

// evictOldest frees up to n entries: it takes the sets in turn and frees the least
// recently used entry of each.
func (c *cache) evictOldest(n int) {
	for n > 0 && c.count > 0 {
		for i := range c.sets {
			if n > 0 && evictFrom(&c.sets[i]) {
				n--
				c.count--
			}
		}
	}
}

// evictFrom frees the least recently used entry of the set. It returns false when
// the set is empty.
func evictFrom(set *[ways]entry) bool {
	at := -1
	for i := range set {
		if set[i].lastUse != 0 && (at < 0 || set[i].lastUse < set[at].lastUse) {
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
	set := &c.sets[setIndex(block, len(c.sets))]
	for i := range set {
		if set[i].block == block && set[i].lastUse != 0 {
			return &set[i]
		}
	}
	return nil
}

// CachedBlocks returns how many leading blocks of a prompt the engine holds. It uses binary
// search and so assumes that an engine that holds a block holds the ones before it.
func (x *Index) CachedBlocks(engine int, blocks []uint64) int {
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

// holdersOf returns the engines that hold the block, or nil when none is known.
func (x *Index) holdersOf(block uint64) *holderList {
	set := &x.holderLists[setIndex(block, len(x.holderLists))]
	for i := range set {
		if set[i].block == block && set[i].lastUse != 0 {
			return &set[i]
		}
	}
	return nil
}

// EnginesWithPrefix writes the engines that hold the longest known prefixes of a prompt into
// dst, longest first, and returns how many. It starts at the last block with known
// holders and goes on to shorter prefixes in steps that double each time.
func (x *Index) EnginesWithPrefix(blocks []uint64, dst []int) int {
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
			n = l.appendMissing(dst, n)
		}
	}
	return n
}

// appendMissing appends the holders that dst[:n] lacks, as far as they fit into dst,
// and returns the new length.
func (l *holderList) appendMissing(dst []int, n int) int {
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

// BlockCount returns the number of blocks that the engine is assumed to hold.
func (x *Index) BlockCount(engine int) int {
	if engine >= len(x.caches) {
		return 0
	}
	return x.caches[engine].count
}

// LostEvents returns the number of cache events lost so far, by the gaps in their
// numbers.
func (x *Index) LostEvents() int64 { return x.lostEvents }
