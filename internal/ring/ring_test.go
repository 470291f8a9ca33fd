package ring

import (
	"fmt"
	"math/bits"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func addresses(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprintf("10.0.%03d.%03d:1", i/250, i%250)
	}
	return all
}

// TestNewsReachesAllNodes: from any node, news reaches all within the logarithm of their number, and
// each passes it on to few.
func TestNewsReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := addresses(rapid.IntRange(1, 2200).Draw(t, "nodes"))
		told := map[string]bool{rapid.SampledFrom(all).Draw(t, "first"): true}
		most, steps := 0, 0
		for ; len(told) < len(all); steps++ {
			next := make(map[string]bool)
			for node := range told {
				neighbors := Neighbors(all, node)
				most = max(most, len(neighbors))
				for _, neighbor := range neighbors {
					next[neighbor] = true
				}
			}
			for node := range next {
				told[node] = true
			}
			assert.Assert(t, steps < bits.Len(uint(len(all))), "%d of %d nodes after %d steps", len(told), len(all), steps)
		}
		assert.Assert(t, most <= 2*bits.Len(uint(len(all))), "%d neighbors", most)
	})
}

// TestUnknownNodeHasNoNeighbors: a node that is not in the ring gets none.
func TestUnknownNodeHasNoNeighbors(t *testing.T) {
	assert.Equal(t, len(Neighbors(addresses(5), "elsewhere")), 0)
	assert.Equal(t, len(Neighbors(nil, "elsewhere")), 0)
	assert.Equal(t, len(Neighbors(addresses(1), addresses(1)[0])), 0)
}
