package prefix

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// chain returns n different hashes, which stand for the blocks of one prompt.
func chain(from, n int) []uint64 {
	bs := make([]uint64, 0, n)
	for i := range n {
		bs = append(bs, uint64(from+i)*hashMultiplier+1)
	}
	return bs
}

// Guards against wrong results of CachedBlocks and EnginesWithPrefix after AddPrompt.
func TestLearnedPrefixesAreFound(t *testing.T) {
	x := New(512, 4096)
	blocks := chain(1, 100)
	x.AddPrompt(3, blocks[:60])
	x.AddPrompt(5, blocks[:80])
	require.Equal(t, 60, x.CachedBlocks(3, blocks))
	require.Equal(t, 80, x.CachedBlocks(5, blocks))
	require.Zero(t, x.CachedBlocks(4, blocks))
	require.Zero(t, x.CachedBlocks(99, blocks))
	require.Zero(t, x.CachedBlocks(5, nil))
	dst := make([]int, 4)
	n := x.EnginesWithPrefix(blocks, dst)
	require.Equal(t, []int{5, 3}, dst[:n], "the engine with the longest prefix first")
	x.Reset(5)
	require.Zero(t, x.CachedBlocks(5, blocks))
}

// Guards against blocks that stay in the index after the engine dropped them, or
// after the events of the drops were lost.
func TestEventsAndGaps(t *testing.T) {
	x := New(64, 64)
	blocks := chain(1, 10)
	for i, b := range blocks {
		x.ApplyEvent(0, lagoonhead.CacheEvent{Number: int64(i + 1), Block: b, Stored: true})
	}
	require.Equal(t, 10, x.CachedBlocks(0, blocks))
	drop := lagoonhead.CacheEvent{Number: 11, Block: blocks[9]}
	x.ApplyEvent(0, drop)
	require.Equal(t, 9, x.CachedBlocks(0, blocks))
	x.ApplyEvent(0, lagoonhead.CacheEvent{Number: 11, Block: blocks[9], Stored: true})
	require.Equal(t, 9, x.BlockCount(0), "an event with a known number is ignored")
	x.ApplyEvent(0, lagoonhead.CacheEvent{Number: 18, Block: 99, Stored: true})
	require.EqualValues(t, 6, x.LostEvents())
	require.Equal(t, 9-3+1, x.BlockCount(0))
	x.ApplyEvent(0, lagoonhead.CacheEvent{Number: 1 << 40, Block: 98, Stored: true})
	require.Equal(t, 1, x.BlockCount(0), "after a long gap only the newest block is left")
}

// Guards against memory that grows with traffic, and against evicting a prefix from
// its beginning.
func TestMemoryIsBounded(t *testing.T) {
	x := New(64, 64)
	for i := range 1000 {
		x.AddPrompt(0, chain(i*20, 20))
	}
	require.LessOrEqual(t, x.BlockCount(0), 64)
	require.Positive(t, x.CachedBlocks(0, chain(999*20, 20)))
	last := chain(999*20, 20)
	require.NotNil(t, x.caches[0].find(last[0]))
	x.clock = ^uint32(0)
	x.AddPrompt(0, last)
	require.Equal(t, 20, x.CachedBlocks(0, last), "the prefix is known after the clock has wrapped around")
}

func BenchmarkMemory(b *testing.B) {
	const per = 512
	for _, engines := range []int{12, 500, 2500} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x := New(per, 16384)
				for i := range engines {
					x.AddPrompt(i, chain(i*per, per))
				}
				b.ReportMetric(float64(len(x.caches[0].sets)*ways*16), "B/engine")
				held := 0
				for i := range engines {
					held += x.BlockCount(i)
				}
				b.ReportMetric(float64(engines*len(x.caches[0].sets)*ways*16)/float64(held), "B/block")
			}
		})
	}
}
