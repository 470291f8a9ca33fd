package coldstart

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drawRisk is how likely draws may pass the bound in a second in which every node
	// would send if it may.
	drawRisk = 1e-6
	// assumedNodes is how many nodes there are taken to be before it is known.
	assumedNodes = 300
	// overlap is how many seconds of a node's clock one sliding second touches.
	overlap = 2
)

// drawMean is the mean number of nodes that may send within one sliding second so that
// more than bound do at most with drawRisk, by Chernoff's bound on a Poisson tail.
func drawMean(bound Bound) float64 {
	above := float64(bound) + 1
	low, high := 0.0, above
	for range 50 {
		mean := (low + high) / 2
		if above-mean+above*math.Log(mean/above) > math.Log(drawRisk) {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// chance is how likely a node may send in one second of its clock. A node sends at most
// once within any second, so few nodes need not draw.
func chance(bound Bound, nodes int) float64 {
	if nodes <= 0 {
		nodes = assumedNodes
	}
	if nodes <= int(bound) {
		return 1
	}
	return min(drawMean(bound)/(overlap*float64(nodes)), 1)
}

// drawn reports whether a node may send to a runner in the second of now.
func (d Drawn) drawn(runner string, bound Bound, now time.Time) bool {
	if bound == 0 {
		return false
	}
	var second [8]byte
	binary.LittleEndian.PutUint64(second[:], uint64(now.Unix()))
	hash := xxhash.Sum64String(d.Node + "/" + runner + "/" + string(second[:]))
	return float64(hash)/math.MaxUint64 < chance(bound, d.Nodes)
}

// next is the time until the next second in which the node may send, as far as the
// next few tell.
func (d Drawn) next(runner string, bound Bound, now time.Time) time.Duration {
	const looked = 16
	for ahead := range looked {
		at := now.Truncate(Second).Add(time.Duration(ahead) * Second)
		if d.drawn(runner, bound, at) {
			return max(at.Sub(now), 0)
		}
	}
	return looked * Second
}
