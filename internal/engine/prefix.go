package engine

import "github.com/cespare/xxhash/v2"

// BlockBytes is the length of one prompt block that engines cache.
const BlockBytes = 256

// Prefixes returns one hash for each whole block of the prompt; each covers the
// prompt from its start to the end of the block. Two prompts share a prefix for as
// long as their hashes are equal.
func Prefixes(prompt string) []uint64 {
	out := make([]uint64, 0, len(prompt)/BlockBytes)
	dg := xxhash.New()
	for len(prompt) >= BlockBytes {
		_, _ = dg.WriteString(prompt[:BlockBytes]) // never fails
		out = append(out, dg.Sum64())
		prompt = prompt[BlockBytes:]
	}
	return out
}
