// Package weightstore estimates how many loads of weights the store carries at
// full speed, from how long loads take against their nominal time. The store is
// taken to serve all loads under way alike: beyond its capacity each takes longer
// in proportion. The package is pure: time is passed in.
//
// The estimate is found as congestion control finds a path's: the bound on loads
// at once doubles while loads at the bound keep their nominal time, is set to what
// a slow load shows, and rises by one after enough loads at full speed.
package weightstore

import (
	"math"
	"time"
)

const (
	// firstLimit is the bound before anything was observed.
	firstLimit = 2
	// largestLimit keeps the bound finite where loads never slow each other.
	largestLimit = 64
	// slowFactor is how many times its nominal time a load may take before it
	// counts as slowed: the times are seen through reports that lag.
	slowFactor = 1.15
	// probeAfter is how many loads in a row have to keep their nominal time at
	// the bound before it rises by one, once a load was slowed.
	probeAfter = 8
	// newWeight is the weight of a new observation of the capacity.
	newWeight = 0.5
	// leastCapacity bounds the estimate from below: a store that stands still is
	// tried again.
	leastCapacity = 0.25
)

// Estimate is what has been learned of a store.
type Estimate struct {
	// Limit is how many loads may be under way at once.
	Limit int
	// Capacity is how many loads the store carries at full speed; zero while no
	// load was slowed, so that it is only known to be at least Limit.
	Capacity float64
}

// segment is a time during which a number of loads was under way.
type segment struct {
	loads int
	time  time.Duration
}

// load is one load under way.
type load struct {
	nominal  time.Duration
	segments []segment
}

// Estimator follows the loads under way. It is not safe for concurrent use.
type Estimator struct {
	estimate Estimate
	// kept counts the loads at the bound in a row that kept their nominal time.
	kept  int
	loads map[string]*load
	at    time.Time
	// foreign is how many loads others may have under way.
	foreign int
}

// New returns an estimator that goes on from an earlier one's estimate; the zero
// estimate begins anew.
func New(known Estimate) *Estimator {
	if known.Limit <= 0 {
		known = Estimate{Limit: firstLimit}
	}
	return &Estimator{estimate: known, loads: make(map[string]*load)}
}

// Estimate returns what has been learned.
func (e *Estimator) Estimate() Estimate { return e.estimate }

// UnderWay is how many loads are under way, those of others included.
func (e *Estimator) UnderWay() int { return len(e.loads) + e.foreign }

// Free is how many more loads may begin.
func (e *Estimator) Free() int { return max(e.estimate.Limit-e.UnderWay(), 0) }

// SetForeign tells how many loads others may have under way.
func (e *Estimator) SetForeign(count int, now time.Time) {
	e.advance(now)
	e.foreign = count
}

// Begin notes a load at a runner.
func (e *Estimator) Begin(runner string, nominal time.Duration, now time.Time) {
	e.advance(now)
	e.loads[runner] = &load{nominal: nominal}
}

// Loading reports whether a runner's load is being followed.
func (e *Estimator) Loading(runner string) bool { return e.loads[runner] != nil }

// Drop forgets a runner's load, which teaches nothing: it may have failed.
func (e *Estimator) Drop(runner string, now time.Time) {
	e.advance(now)
	delete(e.loads, runner)
}

// advance adds the time since the last change to all loads under way.
func (e *Estimator) advance(now time.Time) {
	passed := now.Sub(e.at)
	e.at = now
	if passed <= 0 {
		return
	}
	for _, l := range e.loads {
		l.segments = append(l.segments, segment{loads: e.UnderWay(), time: passed})
	}
}

// End notes that a runner's load is done. lag is how much later than it was done
// that is seen. It returns how long the load took.
func (e *Estimator) End(runner string, lag time.Duration, now time.Time) time.Duration {
	e.advance(now)
	l := e.loads[runner]
	delete(e.loads, runner)
	if l == nil || l.nominal <= 0 {
		return 0
	}
	took := l.took() - lag
	switch {
	case float64(took) > slowFactor*float64(l.nominal):
		e.slowed(l.capacity(lag))
	case l.most() >= e.estimate.Limit:
		e.keptTime()
	}
	return took
}

// slowed takes over the capacity that a slowed load shows.
func (e *Estimator) slowed(capacity float64) {
	e.kept = 0
	if e.estimate.Capacity > 0 {
		capacity = newWeight*capacity + (1-newWeight)*e.estimate.Capacity
	}
	e.estimate.Capacity = max(capacity, leastCapacity)
	e.estimate.Limit = max(int(math.Round(e.estimate.Capacity)), 1)
}

// keptTime notes that a load at the bound kept its nominal time.
func (e *Estimator) keptTime() {
	if e.estimate.Capacity == 0 {
		e.estimate.Limit = min(2*e.estimate.Limit, largestLimit)
		return
	}
	e.kept++
	e.estimate.Capacity = max(e.estimate.Capacity, float64(e.estimate.Limit))
	if e.kept >= probeAfter {
		e.kept = 0
		e.estimate.Limit = min(e.estimate.Limit+1, largestLimit)
	}
}

func (l *load) took() time.Duration {
	total := time.Duration(0)
	for _, s := range l.segments {
		total += s.time
	}
	return total
}

// most is the largest number of loads during this one.
func (l *load) most() int {
	most := 1
	for _, s := range l.segments {
		most = max(most, s.loads)
	}
	return most
}

// capacitySteps is how often the interval of the capacity is halved.
const capacitySteps = 20

// capacity is the capacity with which the load would have taken as long as it
// did: while n loads are under way each proceeds at min(1, capacity/n).
func (l *load) capacity(lag time.Duration) float64 {
	low, high := 0.0, float64(l.most())
	for range capacitySteps {
		middle := (low + high) / 2
		if l.progress(middle) > l.nominal+lag {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// progress is how much of a load's nominal time a capacity lets it do.
func (l *load) progress(capacity float64) time.Duration {
	done := 0.0
	for _, s := range l.segments {
		done += float64(s.time) * min(1, capacity/float64(s.loads))
	}
	return time.Duration(done)
}

// Slowdown is how many times its nominal time a load takes while so many loads are
// under way.
func (e *Estimator) Slowdown(underWay int) float64 {
	if e.estimate.Capacity == 0 {
		return 1
	}
	return max(1, float64(underWay)/e.estimate.Capacity)
}

// NextFree is the time until a load under way is expected to be done; zero when
// another one may begin now.
func (e *Estimator) NextFree(now time.Time) time.Duration {
	if e.Free() > 0 || len(e.loads) == 0 {
		return 0
	}
	e.advance(now)
	next := time.Duration(math.MaxInt64)
	slowdown := e.Slowdown(e.UnderWay())
	for _, l := range e.loads {
		next = min(next, time.Duration(float64(l.left(e.estimate.Capacity))*slowdown))
	}
	return next
}

// left is how much of its nominal time a load still has to do.
func (l *load) left(capacity float64) time.Duration {
	if capacity == 0 {
		capacity = float64(l.most())
	}
	return max(l.nominal-l.progress(capacity), 0)
}
