package prefix

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// truncated is an alternative to a Digest for comparison: it contains only the low
// bits of each hash, as many as fit into the size.
type truncated struct {
	mask    uint64
	present map[uint64]bool
}

func newTruncated(blocks []uint64, size int) *truncated {
	x := &truncated{mask: 1<<(8*size/len(blocks)) - 1, present: make(map[uint64]bool)}
	for _, b := range blocks {
		x.present[b&x.mask] = true
	}
	return x
}

func (x *truncated) Has(b uint64) bool { return x.present[b&x.mask] }

type membership interface{ Has(block uint64) bool }

// hitPercent returns the percentage of blocks that m reports as present.
func hitPercent(m membership, blocks []uint64) float64 {
	n := 0
	for _, b := range blocks {
		if m.Has(b) {
			n++
		}
	}
	return 100 * float64(n) / float64(len(blocks))
}

// Guards against a digest with false negatives, and against an encoding with more
// false positives than the alternatives. Logs the table of docs/MEASUREMENTS.md.
func TestDigestForms(t *testing.T) {
	const blocks, known, unknown, rounds = 300, 1000, 20000, 20
	t.Log("| bytes | truncated | Bloom | best of 16, known | best of 16, others |")
	for _, size := range []int{150, 300, 450, 600} {
		var sum [4]float64
		random := rand.New(rand.NewPCG(7, uint64(size)))
		for range rounds {
			set := hashes(random, blocks)
			absent, others := hashes(random, known), hashes(random, unknown)
			plain, best := NewDigest(set, nil, size), NewDigest(set, absent, size)
			short := newTruncated(set, size)
			for _, b := range set {
				require.True(t, plain.Has(b) && best.Has(b) && short.Has(b))
			}
			for i, v := range []float64{hitPercent(short, others), hitPercent(&plain, others), hitPercent(&best, absent), hitPercent(&best, others)} {
				sum[i] += v / rounds
			}
		}
		t.Logf("| %d | %.3f%% | %.3f%% | %.3f%% | %.3f%% |", size, sum[0], sum[1], sum[2], sum[3])
		require.Less(t, sum[2], sum[1], "the best of 16 has fewer false positives for the known absent blocks than a single Bloom filter")
		require.Less(t, sum[1], sum[0])
	}
}

func hashes(random *rand.Rand, n int) []uint64 {
	hs := make([]uint64, 0, n)
	for range n {
		hs = append(hs, random.Uint64())
	}
	return hs
}

// Guards against a digest that loses blocks in Bytes and ParseDigest, and against a
// panic on bytes that are not a digest.
func TestDigestBytes(t *testing.T) {
	set := chain(1, 300)
	d := NewDigest(set, nil, 300)
	require.Len(t, d.Bytes(), 300)
	got, err := ParseDigest(d.Bytes())
	require.NoError(t, err)
	require.Zero(t, 100-hitPercent(&got, set))
	for _, b := range [][]byte{nil, {0, 1}, {0, 0, 1}, {0, 255, 1}} {
		_, err := ParseDigest(b)
		require.Equal(t, lagoonhead.KindInvalid, lagoonhead.KindOf(err))
	}
	require.False(t, new(Digest).Has(1))
}
