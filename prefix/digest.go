package prefix

import (
	"math"
	"math/bits"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// candidates is the number of Bloom filters from which NewDigest chooses.
	candidates = 16
	// maxProbes is the maximum number of probes per block, that is of bits set for it.
	maxProbes = 30
	// headerBytes is the size of the encoded seed and number of probes, 1 byte each.
	headerBytes = 2
)

// Digest is a Bloom filter of the blocks that one engine holds, to be sent to other
// daemons. It has false positives but no false negatives. The zero value contains no
// blocks.
type Digest struct {
	seed   uint8
	probes uint8
	bits   []byte
}

// NewDigest encodes the blocks in size bytes, but at least 3. It builds 16 Bloom
// filters with different seeds and returns the one with the fewest false positives
// for absent, the blocks that requests ask for and the engine does not hold. Without
// absent it builds only the first one.
func NewDigest(blocks, absent []uint64, size int) Digest {
	n := max(size-headerBytes, 1)
	k := math.Ln2 * float64(8*n) / float64(max(len(blocks), 1))
	probes := uint8(min(max(math.Round(k), 1), maxProbes))
	var best Digest
	minWrong := math.MaxInt
	for seed := range candidates {
		d := Digest{seed: uint8(seed), probes: probes, bits: make([]byte, n)}
		for _, b := range blocks {
			d.add(b)
		}
		if wrong := d.countMatches(absent); wrong < minWrong {
			best, minWrong = d, wrong
		}
		if len(absent) == 0 {
			break
		}
	}
	return best
}

// hash returns the hash of a block for its first probe, and the step that is added
// for each further probe (double hashing).
func (d *Digest) hash(block uint64) (h, step uint64) {
	h = (block ^ uint64(d.seed+1)*hashMultiplier) * hashMultiplier
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h, bits.RotateLeft64(h, 32) | 1
}

// bitIndex maps a hash to an index below n.
func bitIndex(h uint64, n int) uint64 {
	high, _ := bits.Mul64(h, uint64(n))
	return high
}

func (d *Digest) add(block uint64) {
	h, step := d.hash(block)
	for range d.probes {
		i := bitIndex(h, 8*len(d.bits))
		d.bits[i/8] |= 1 << (i % 8)
		h += step
	}
}

// Has reports whether the engine holds the block. It may return true for a block
// that the engine does not hold, but never false for one that it holds.
func (d *Digest) Has(block uint64) bool {
	if len(d.bits) == 0 {
		return false
	}
	h, step := d.hash(block)
	for range d.probes {
		i := bitIndex(h, 8*len(d.bits))
		if d.bits[i/8]&(1<<(i%8)) == 0 {
			return false
		}
		h += step
	}
	return true
}

// countMatches returns the number of blocks for which Has is true.
func (d *Digest) countMatches(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if d.Has(b) {
			n++
		}
	}
	return n
}

// Bytes returns the encoding that is sent to other daemons: the seed, the number of
// probes and the bits.
func (d *Digest) Bytes() []byte {
	return append([]byte{d.seed, d.probes}, d.bits...)
}

// ParseDigest decodes the result of Bytes, or returns KindInvalid. The digest refers
// to b, which must not be changed afterwards.
func ParseDigest(b []byte) (Digest, error) {
	if len(b) <= headerBytes || b[1] == 0 || b[1] > maxProbes {
		return Digest{}, &Error{lagoonhead.Fault{
			Op: "prefix.parseDigest", Kind: lagoonhead.KindInvalid, Err: errors.Newf("%d bytes are not a valid digest", len(b)),
		}}
	}
	return Digest{seed: b[0], probes: b[1], bits: b[headerBytes:]}, nil
}
