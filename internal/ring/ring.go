// Package ring chooses the nodes to which each node passes news on, so that it reaches all nodes in
// few steps although no node tells more than a few.
package ring

import "slices"

// Neighbors returns the addresses at distances of 1, 2, 4 and so on from a node, in both directions
// of a ring of all nodes in the given order. News passed on to neighbors reaches n nodes in about
// log n steps, also if many of them are gone: each is told by 2 log n others. It returns nil if the
// node is not in the ring. The addresses must be sorted.
func Neighbors(addresses []string, node string) []string {
	at, found := slices.BinarySearch(addresses, node)
	if !found {
		return nil
	}
	var neighbors []string
	for distance := 1; distance <= len(addresses)/2; distance *= 2 {
		for _, step := range []int{distance, len(addresses) - distance} {
			other := addresses[(at+step)%len(addresses)]
			if other != node && !slices.Contains(neighbors, other) {
				neighbors = append(neighbors, other)
			}
		}
	}
	return neighbors
}
