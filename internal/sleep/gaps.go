// Package sleep decides how long an idle replica stays loaded and which models
// wake ahead of their time. It is pure: it sees only what it was told and the
// time it is asked about.
package sleep

import (
	"math"
	"time"
)

const (
	gapBuckets  = 40
	firstGap    = time.Second
	gapFactor   = 1.3
	decay       = 0.98
	enoughGaps  = 3.0
	minimumKeep = 2 * time.Second
)

// Gaps is a decaying histogram of the idle times between two uses of a unit.
type Gaps struct {
	weights [gapBuckets]float64
	total   float64
}

// gapEdge is the upper edge of a bucket.
func gapEdge(bucket int) time.Duration {
	return time.Duration(float64(firstGap) * math.Pow(gapFactor, float64(bucket)))
}

func gapBucket(gap time.Duration) int {
	if gap <= firstGap {
		return 0
	}
	bucket := int(math.Ceil(math.Log(float64(gap)/float64(firstGap)) / math.Log(gapFactor)))
	return min(bucket, gapBuckets-1)
}

// Observe adds one idle time; older ones count less.
func (g *Gaps) Observe(gap time.Duration) {
	for index := range g.weights {
		g.weights[index] *= decay
	}
	g.total = g.total*decay + 1
	g.weights[gapBucket(gap)]++
}

// KeepAlive returns the time to stay loaded that costs least: the expected idle
// time plus penalty, the idle seconds that a cold start is worth, weighted by how
// likely it is. Limit bounds it.
func (g *Gaps) KeepAlive(penalty float64, limit time.Duration) time.Duration {
	if g.total < enoughGaps {
		// Without knowledge, staying loaded for as long as a cold start is worth
		// costs at most twice the best choice.
		return bound(time.Duration(penalty*float64(time.Second)), limit)
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
	return bound(best, limit)
}

func bound(keep, limit time.Duration) time.Duration {
	return min(max(keep, minimumKeep), limit)
}
