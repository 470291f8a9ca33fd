// Package coldstart limits the requests to cold runners and to runners that stated a limit. A
// runner is cold for a while after it started and may become cold again. It then has capacity
// for only a few requests per second from all nodes together. The package decides which node
// may send how many requests now: it tracks what a node knows about the cold start of a runner
// (Runner), the permits lent by the holder of the service's control lease (Lender), and what
// nodes may send without a lease holder (Randomized, TimeSliced). It does no I/O, and times
// passed in must come from a monotonic clock.
package coldstart

import (
	"math"
	"time"
)

const (
	// Window is the sliding window of the bound.
	Window = time.Second
	// MaxDuration limits the time for which one status makes a runner count as cold. It is
	// far longer than weights and caches need to warm up, and ends a cold status with an
	// invalid time.
	MaxDuration = 10 * time.Minute
	// maxBound keeps a bound, in requests, within the range of an int.
	maxBound = 1_000_000
)

// Bound is the number of requests that a cold runner may get within any window.
type Bound int

// NewBound returns the bound of runners with capacity for rate requests per second: share
// times the rate plus slack, rounded down to whole requests.
func NewBound(rate, share, slack float64) Bound {
	bound := math.Floor(rate*share + slack)
	if !(bound > 0) {
		return 0
	}
	return Bound(min(bound, maxBound))
}

// Terms are the limits on requests to the cold runners of a service, or to a runner that
// stated a limit. With the zero Terms no runner is ever cold.
type Terms struct {
	// Rate is the capacity of such a runner in requests per second, zero if no runner is
	// cold.
	Rate float64
	// Start is how long a runner is cold after its start.
	Start time.Duration
	// Bound is the number of permits that may be lent within any Period.
	Bound  Bound
	Period time.Duration
	// Strategy is how the nodes keep the bound.
	Strategy Strategy
}

// NewTerms returns the terms of a service whose runners are cold for start after their start
// and have capacity for rate requests per second during that time.
func NewTerms(rate, share, slack float64, start time.Duration, strategy Strategy) Terms {
	if !(rate > 0) || math.IsInf(rate, 1) {
		return Terms{}
	}
	return Terms{Rate: rate, Start: min(max(start, 0), MaxDuration), Bound: NewBound(rate, share, slack), Period: LendingPeriod, Strategy: strategy}
}

// NewLimit returns the terms of a runner that stated a limit of rate requests per second,
// which must be above zero. The bound is the number of whole requests per second, at least
// one, and the period the time in which the rate allows that many.
func NewLimit(rate float64, strategy Strategy) Terms {
	count := math.Floor(min(max(rate, 1), maxBound))
	period := time.Duration(min(count/rate, MaxDuration.Seconds()) * float64(time.Second))
	return Terms{Rate: rate, Bound: Bound(count), Period: period, Strategy: strategy}
}

// Strategy is how nodes keep the bound together: Lent, Randomized or TimeSliced.
type Strategy interface{ strategy() }

// Lent means that a node needs a permit, lent by the holder of the service's control lease,
// for every request.
type Lent struct{}

// Randomized means that each node draws independently the seconds in which it may send. It
// needs no messages, but leaves most of the bound unused.
type Randomized struct {
	// Node is this node's name.
	Node string
	// Nodes is the known number of nodes, zero while it is unknown.
	Nodes int
}

// TimeSliced means that each node has recurring time slots, each for one request. It needs no
// messages, but leaves half of the rate unused.
type TimeSliced struct {
	// Node is this node's name.
	Node string
	// Nodes is the known number of nodes, zero while it is unknown.
	Nodes int
}

func (Lent) strategy()       {}
func (Randomized) strategy() {}
func (TimeSliced) strategy() {}
