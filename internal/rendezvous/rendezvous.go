// Package rendezvous spreads keys over nodes by highest random weight: when a
// node comes or goes, only the keys it holds move.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Choose returns the node with the highest weight for a key, or "" when there
// is none.
func Choose(key string, nodes []string) string {
	best := ""
	var bestWeight uint64
	for _, node := range nodes {
		weight := Weight(key, node)
		if best == "" || weight > bestWeight || weight == bestWeight && node < best {
			best, bestWeight = node, weight
		}
	}
	return best
}

// Rank returns up to count nodes, highest weight first.
func Rank(key string, nodes []string, count int) []string {
	ranked := append([]string(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		left, right := Weight(key, ranked[i]), Weight(key, ranked[j])
		if left != right {
			return left > right
		}
		return ranked[i] < ranked[j]
	})
	return ranked[:min(count, len(ranked))]
}
