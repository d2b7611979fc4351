package prefix

import (
	"math"
	"math/bits"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

const (
	// encodings is the number of Bloom filters of which a digest keeps the best one.
	encodings = 16
	// maxProbes bounds the probes per block, which the second byte of a digest holds.
	maxProbes = 30
	// digestHeader is the seed and the number of probes.
	digestHeader = 2
)

// Digest is a short form of the blocks that one engine holds, for other daemons. It
// has no false negatives. Its zero value holds nothing.
type Digest struct {
	seed   uint8
	probes uint8
	bits   []byte
}

// NewDigest encodes the blocks in size bytes, at least digestHeader+1. Among
// several Bloom filters it keeps the one with the fewest false positives among
// absent: blocks that the engine does not hold and that requests ask for.
func NewDigest(blocks, absent []uint64, size int) Digest {
	n := max(size-digestHeader, 1)
	k := math.Ln2 * float64(8*n) / float64(max(len(blocks), 1))
	probes := uint8(min(max(math.Round(k), 1), maxProbes))
	var best Digest
	least := math.MaxInt
	for seed := range encodings {
		d := Digest{seed: uint8(seed), probes: probes, bits: make([]byte, n)}
		for _, b := range blocks {
			d.add(b)
		}
		if wrong := d.count(absent); wrong < least {
			best, least = d, wrong
		}
		if len(absent) == 0 {
			break
		}
	}
	return best
}

// start returns the first bit of a block and the step to the next ones.
func (d *Digest) start(block uint64) (h, step uint64) {
	h = (block ^ uint64(d.seed+1)*mix) * mix
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h, bits.RotateLeft64(h, 32) | 1
}

// bit returns the place of a hash among n bits.
func bit(h uint64, n int) uint64 {
	high, _ := bits.Mul64(h, uint64(n))
	return high
}

func (d *Digest) add(block uint64) {
	h, step := d.start(block)
	for range d.probes {
		i := bit(h, 8*len(d.bits))
		d.bits[i/8] |= 1 << (i % 8)
		h += step
	}
}

// Has reports whether the engine holds the block. It may wrongly say yes.
func (d *Digest) Has(block uint64) bool {
	if len(d.bits) == 0 {
		return false
	}
	h, step := d.start(block)
	for range d.probes {
		i := bit(h, 8*len(d.bits))
		if d.bits[i/8]&(1<<(i%8)) == 0 {
			return false
		}
		h += step
	}
	return true
}

func (d *Digest) count(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if d.Has(b) {
			n++
		}
	}
	return n
}

// Bytes returns the form that is sent to other daemons.
func (d *Digest) Bytes() []byte {
	return append([]byte{d.seed, d.probes}, d.bits...)
}

// ParseDigest reads what Bytes wrote, or returns KindInvalid. The digest keeps b.
func ParseDigest(b []byte) (Digest, error) {
	if len(b) <= digestHeader || b[1] == 0 || b[1] > maxProbes {
		return Digest{}, &Error{lagoonhead.Fault{
			Op: "prefix.parseDigest", Kind: lagoonhead.KindInvalid, Err: errors.Newf("%d bytes are no digest", len(b)),
		}}
	}
	return Digest{seed: b[0], probes: b[1], bits: b[digestHeader:]}, nil
}
