package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/backend"
)

// Requests that share the leading parts of a prompt should go to the same runner, as it caches
// what it has read. A node among hundreds sees too few requests to know which runner
// has read a part, so all nodes compute the same runner for it by rendezvous hashing: each
// prompt has its own order of the runners, and the first one is chosen.
//
// expectedCachedShare is the share of the shared tokens that this runner is expected to have
// cached: the first request finds none of them, and other prompts evict them.
const expectedCachedShare = 0.5

// sharedPrefix returns a hash of the unit and of the prompt parts that other requests may
// share (all but the last), and the number of tokens in those parts.
func sharedPrefix(unit backend.Unit, prompt []Part) (prefix uint64, tokens int) {
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

// rendezvousWeight is the weight of a runner, given by its hash, for a prompt prefix. The
// runner with the largest weight is chosen.
func rendezvousWeight(prefix, runner uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], prefix)
	binary.LittleEndian.PutUint64(key[8:], runner)
	return xxhash.Sum64(key[:])
}

// preferPrefixRunner lowers the cost of the runner that all nodes choose for the shared parts
// of a prompt, unless this node already expects a runner to have cached some of it. Only the
// choices marked in preferred are considered. mutex must be held.
func (f *Fleet) preferPrefixRunner(choices []Choice, query Query, preferred []bool) {
	prefix, tokens := sharedPrefix(query.Unit, query.Prompt)
	if tokens == 0 {
		return
	}
	best, bestWeight := -1, uint64(0)
	for i := range choices {
		if choices[i].KeptTokens > 0 {
			return
		}
		if weight := rendezvousWeight(prefix, f.runners[choices[i].Runner.ID].hash); preferred[i] && (best < 0 || weight > bestWeight) {
			best, bestWeight = i, weight
		}
	}
	if best >= 0 {
		choices[best].Cost -= expectedCachedShare * float64(tokens) / prefillTokensPerMillisecond
	}
}
