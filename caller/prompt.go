package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual mean for European languages. It serves as an estimate
	// until the engine reports the number of tokens.
	bytesPerToken = 4
	// blockBytes is the size of a prompt cache block: about 2,000 tokens.
	blockBytes = 2000 * bytesPerToken
)

// estimateTokens returns the estimated number of tokens in n bytes, at least 1.
func estimateTokens(n int) int { return max(1, (n+bytesPerToken-1)/bytesPerToken) }

// PromptBlocks splits the rendered prompt for a model into blocks and returns their
// chained hashes; a last block that is not full is left out. Two prompts have the same
// first n hashes if, and apart from collisions only if, they have the same model and
// the same first n blocks.
func PromptBlocks(model string, rendered []byte) []uint64 {
	n := len(rendered) / blockBytes
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	chain := xxhash.Sum64String(model)
	d := xxhash.New()
	var seed [8]byte
	for i := range out {
		binary.LittleEndian.PutUint64(seed[:], chain)
		d.Reset()
		_, _ = d.Write(seed[:])
		_, _ = d.Write(rendered[i*blockBytes : (i+1)*blockBytes])
		chain = d.Sum64()
		out[i] = chain
	}
	return out
}
