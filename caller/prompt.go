package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual mean for European languages. It is only used until
	// the engine has counted.
	bytesPerToken = 4
	// blockBytes is a prompt cache block of about 2,000 tokens.
	blockBytes = 2000 * bytesPerToken
)

// estimateTokens returns the estimated number of tokens of n bytes, at least 1.
func estimateTokens(n int) int { return max(1, (n+bytesPerToken-1)/bytesPerToken) }

// PromptBlocks returns the chained hashes of the whole blocks of a rendered prompt
// for a model. Two prompts share the first n hashes if and, but for collisions,
// only if they share the model and the first n blocks.
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
