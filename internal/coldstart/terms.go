// Package coldstart bounds what a cold runner, or one that named a limit, gets. A runner is
// cold for a while after it started, and may become cold again: it bears only few requests a
// second then, of all nodes together. The package decides who may send how much now: what a node knows
// of a runner's coldness (Runner), what the holder of the service's control lease lends
// (Lender), and draws where no node holds a lease (Drawn). It is pure; the time is
// passed in, always that of a steady clock.
package coldstart

import (
	"math"
	"time"
)

const (
	// Second is the sliding window of the bound.
	Second = time.Second
	// Longest bounds how long a runner is taken to be cold by one word of it: far above
	// what weights and caches take to warm, and still an end when the word is nonsense.
	Longest = 10 * time.Minute
	// largestBound keeps a bound within what an int holds, in requests.
	largestBound = 1_000_000
)

// Bound is how many requests a cold runner may get within any one second.
type Bound int

// NewBound returns the bound of runners that bear rate requests a second: share times
// that and slack more, whole requests only.
func NewBound(rate, share, slack float64) Bound {
	bound := math.Floor(rate*share + slack)
	if !(bound > 0) {
		return 0
	}
	return Bound(min(bound, largestBound))
}

// Terms are what holds for the runners of a service, or for one that named a limit. With the
// zero Terms no runner is ever cold.
type Terms struct {
	// Rate is how many requests a second such a runner bears; zero where none is cold.
	Rate float64
	// Start is how long a runner is cold after its start.
	Start time.Duration
	// Bound is what such a runner may get within Period of what is lent.
	Bound  Bound
	Period time.Duration
	// Way is how the bound is kept.
	Way Way
}

// NewTerms returns the terms of a service whose runners are cold for start after their
// start and bear rate requests a second then.
func NewTerms(rate, share, slack float64, start time.Duration, way Way) Terms {
	if !(rate > 0) || math.IsInf(rate, 1) {
		return Terms{}
	}
	return Terms{Rate: rate, Start: min(max(start, 0), Longest), Bound: NewBound(rate, share, slack), Period: Held, Way: way}
}

// NewLimit returns the terms of a runner that takes rate requests a second, above zero, as it says:
// as many whole requests as it takes in a second, one at least, in the time in which it takes them.
func NewLimit(rate float64, way Way) Terms {
	count := math.Floor(min(max(rate, 1), largestBound))
	period := time.Duration(min(count/rate, Longest.Seconds()) * float64(time.Second))
	return Terms{Rate: rate, Bound: Bound(count), Period: period, Way: way}
}

// Way is how nodes keep the bound together: Lent, Drawn or Shared.
type Way interface{ way() }

// Lent means that a node sends only what the holder of the service's control lease lent
// it permits for.
type Lent struct{}

// Drawn means that each node draws for itself which seconds it may send in. It needs no
// message, and leaves most of the bound unused.
type Drawn struct {
	// Node is this node's name.
	Node string
	// Nodes is how many nodes there are, as far as is known; zero while it is not.
	Nodes int
}

// Shared means that each node has turns of its own, in which it may send one request. It needs no
// message, and leaves half of the rate unused.
type Shared struct {
	// Node is this node's name.
	Node string
	// Nodes is how many nodes there are, as far as is known; zero while it is not.
	Nodes int
}

func (Lent) way()   {}
func (Drawn) way()  {}
func (Shared) way() {}
