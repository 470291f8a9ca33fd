// Package sleep decides how long an idle replica stays loaded and which models are loaded
// ahead of their expected use. It does no I/O and doesn't read the clock: it knows only the
// observations and times passed to it.
package sleep

import (
	"math"
	"time"
)

const (
	// The histogram has gapBuckets buckets. The first one ends at firstGap, each other one at
	// gapFactor times the end of the one before, and the last one also holds all longer gaps.
	gapBuckets = 40
	firstGap   = time.Second
	gapFactor  = 1.3
	// decay multiplies the weight of the older observations at each new one.
	decay = 0.98
	// minGaps is the total weight from which the histogram is used.
	minGaps = 3.0
	// minKeepAlive is the shortest keep-alive time, unless the limit is shorter.
	minKeepAlive = 2 * time.Second
)

// Gaps is a decaying histogram of the idle times between two uses of a unit. The zero value has
// no observations.
type Gaps struct {
	weights [gapBuckets]float64
	total   float64
}

// gapEdge returns the upper edge of a bucket.
func gapEdge(bucket int) time.Duration {
	return time.Duration(float64(firstGap) * math.Pow(gapFactor, float64(bucket)))
}

// gapBucket returns the bucket of a gap.
func gapBucket(gap time.Duration) int {
	if gap <= firstGap {
		return 0
	}
	bucket := int(math.Ceil(math.Log(float64(gap)/float64(firstGap)) / math.Log(gapFactor)))
	return min(bucket, gapBuckets-1)
}

// Observe adds an idle time. Older ones lose weight.
func (g *Gaps) Observe(gap time.Duration) {
	for index := range g.weights {
		g.weights[index] *= decay
	}
	g.total = g.total*decay + 1
	g.weights[gapBucket(gap)]++
}

// KeepAlive returns the keep-alive time with the lowest expected cost, between minKeepAlive
// and limit. The cost is the expected idle time plus penalty, the idle seconds that a cold
// start is worth, weighted by the probability of a cold start.
func (g *Gaps) KeepAlive(penalty float64, limit time.Duration) time.Duration {
	if g.total < minGaps {
		// Without enough observations, staying loaded for as long as a cold start is worth
		// costs at most twice as much as the best choice.
		return clamp(time.Duration(penalty*float64(time.Second)), limit)
	}
	best, bestCost := time.Duration(0), math.Inf(1)
	var shorter, idle float64
	for bucket := -1; bucket < gapBuckets; bucket++ {
		keep := time.Duration(0)
		if bucket >= 0 {
			keep = gapEdge(bucket)
			shorter += g.weights[bucket]
			idle += g.weights[bucket] * keep.Seconds()
		}
		longer := g.total - shorter
		cost := (idle + longer*(keep.Seconds()+penalty)) / g.total
		if keep <= limit && cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return clamp(best, limit)
}

// clamp limits a keep-alive time to the range from minKeepAlive to limit.
func clamp(keep, limit time.Duration) time.Duration {
	return min(max(keep, minKeepAlive), limit)
}
