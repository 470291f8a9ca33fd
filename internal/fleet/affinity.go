package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/backend"
)

// Requests that share parts of a prompt go to the same runner, as it keeps what it has
// read. A node of hundreds sees so few requests that it does not know which runner has
// read a part, so all nodes reckon the same one: the first in an order of the runners
// that each prompt has for itself (rendezvous hashing).
//
// expectedKept is the part of the shared tokens that such a runner is expected to keep:
// the first request with them finds nothing there, and other prompts push them out.
const expectedKept = 0.5

// sharedChain names the parts of a prompt that other requests may share, all but the
// last, for a unit; and how many tokens they are.
func sharedChain(unit backend.Unit, prompt []Part) (chain uint64, tokens int) {
	if len(prompt) < 2 {
		return 0, 0
	}
	text := unit.String()
	for _, part := range prompt[:len(prompt)-1] {
		text += "/" + part.ID
		tokens += part.Tokens
	}
	return xxhash.Sum64String(text), tokens
}

// rendezvous is a runner's weight for a chain; the largest one is the chain's runner.
func rendezvous(chain, order uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], chain)
	binary.LittleEndian.PutUint64(key[8:], order)
	return xxhash.Sum64(key[:])
}

// preferShared lowers the cost of the runner that all nodes send a prompt's shared parts
// to, unless this node knows better what it keeps. mutex is held.
func (f *Fleet) preferShared(choices []Choice, query Query, eligible []bool) {
	chain, tokens := sharedChain(query.Unit, query.Prompt)
	if tokens == 0 {
		return
	}
	best, bestWeight := -1, uint64(0)
	for i := range choices {
		if choices[i].KeptTokens > 0 {
			return
		}
		if weight := rendezvous(chain, f.runners[choices[i].Runner.ID].order); eligible[i] && (best < 0 || weight > bestWeight) {
			best, bestWeight = i, weight
		}
	}
	if best >= 0 {
		choices[best].Cost -= expectedKept * float64(tokens) / prefillTokensPerMillisecond
	}
}
