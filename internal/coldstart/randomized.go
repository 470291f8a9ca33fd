package coldstart

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// exceedRisk is the probability that random draws let more requests through than the
	// bound in a second in which every node would send if allowed.
	exceedRisk = 1e-6
	// assumedNodes is the number of nodes assumed while it is unknown.
	assumedNodes = 300
	// overlap is the number of clock seconds of a node that one sliding window touches.
	overlap = 2
)

// meanSenders returns the mean number of nodes that may send within one sliding window so that
// more than bound do with a probability of at most exceedRisk, by Chernoff's bound on the tail
// of a Poisson distribution.
func meanSenders(bound Bound) float64 {
	above := float64(bound) + 1
	low, high := 0.0, above
	for range 50 {
		mean := (low + high) / 2
		if above-mean+above*math.Log(mean/above) > math.Log(exceedRisk) {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// sendProbability returns the probability that a node may send in one second of its clock. A
// node sends at most once within any second, so with no more nodes than the bound every node
// may send.
func sendProbability(bound Bound, nodes int) float64 {
	if nodes <= 0 {
		nodes = assumedNodes
	}
	if nodes <= int(bound) {
		return 1
	}
	return min(meanSenders(bound)/(overlap*float64(nodes)), 1)
}

// maySend reports whether a node may send to a runner in the clock second of now. It is a hash
// of node, runner and second.
func (d Randomized) maySend(runner string, bound Bound, now time.Time) bool {
	if bound == 0 {
		return false
	}
	var second [8]byte
	binary.LittleEndian.PutUint64(second[:], uint64(now.Unix()))
	hash := xxhash.Sum64String(d.Node + "/" + runner + "/" + string(second[:]))
	return float64(hash)/math.MaxUint64 < sendProbability(bound, d.Nodes)
}

// next returns the time until the next clock second in which the node may send. It looks only
// at the next few.
func (d Randomized) next(runner string, bound Bound, now time.Time) time.Duration {
	const lookahead = 16
	for ahead := range lookahead {
		at := now.Truncate(Window).Add(time.Duration(ahead) * Window)
		if d.maySend(runner, bound, at) {
			return max(at.Sub(now), 0)
		}
	}
	return lookahead * Window
}
