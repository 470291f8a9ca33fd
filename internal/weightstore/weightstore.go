// Package weightstore estimates how many loads of weights the store carries at
// full speed, from how long loads take against their nominal time. The store sets the
// time of a load when it begins, by the loads then under way: beyond its capacity in
// proportion to them. The package is pure: time is passed in.
//
// The estimate is found as congestion control finds a path's: the bound on loads at
// once is twice what was seen to keep its nominal time, until a load is slow. A slow
// load shows the capacity, and one that is not done in its nominal time bounds it
// from above before it ends. Too high a bound costs the next loads time, too low a
// one leaves the store idle.
package weightstore

import (
	"math"
	"time"
)

const (
	// firstLimit is the bound before anything was observed: loads of four at once
	// keep their nominal time, or take twice as long at a store that carries two.
	firstLimit = 4
	// largestLimit keeps the bound finite where loads never slow each other.
	largestLimit = 64
	// slowFactor is how many times its nominal time a load may take before it
	// counts as slowed: the times are seen through reports that lag.
	slowFactor = 1.15
	// overdueSlack is how much later than that a load still under way counts as
	// slowed: the longest time after which a report shows its end.
	overdueSlack = 300 * time.Millisecond
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
	// load was slowed.
	Capacity float64
}

// load is one load under way.
type load struct {
	nominal time.Duration
	// number is how many loads were under way at its begin, itself included.
	number int
	began  time.Time
}

// Estimator follows the loads under way. It is not safe for concurrent use.
type Estimator struct {
	estimate Estimate
	// kept counts the loads at the bound in a row that kept their nominal time.
	kept  int
	loads map[string]*load
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

// Follow notes the time, and how many loads others may have under way.
func (e *Estimator) Follow(foreign int, now time.Time) {
	e.foreign = foreign
	for _, l := range e.loads {
		if most, overdue := l.boundOf(now); overdue && (e.estimate.Capacity == 0 || most < e.estimate.Capacity) {
			e.set(most)
		}
	}
}

// Begin notes a load at a runner.
func (e *Estimator) Begin(runner string, nominal time.Duration, now time.Time) {
	delete(e.loads, runner)
	e.loads[runner] = &load{nominal: nominal, number: e.UnderWay() + 1, began: now}
}

// Loading reports whether a runner's load is being followed.
func (e *Estimator) Loading(runner string) bool { return e.loads[runner] != nil }

// Drop forgets a runner's load, which teaches nothing: it may have failed.
func (e *Estimator) Drop(runner string) { delete(e.loads, runner) }

// End notes that a runner's load is done. lag is how much later than it was done
// that is seen. It returns how long the load took.
func (e *Estimator) End(runner string, lag time.Duration, now time.Time) time.Duration {
	l := e.loads[runner]
	delete(e.loads, runner)
	if l == nil || l.nominal <= 0 {
		return 0
	}
	took := max(now.Sub(l.began)-lag, 0)
	if float64(took) > slowFactor*float64(l.nominal) {
		e.slowed(l.capacity(took))
	} else {
		e.keptTime(l.number)
	}
	return took
}

// Left is how much longer a runner's load is expected to take; zero when it is not
// followed. A load that is late already shows that the store carries less than was thought:
// the next time that a smaller whole number carried at full speed would give it.
func (e *Estimator) Left(runner string, now time.Time) time.Duration {
	l := e.loads[runner]
	if l == nil {
		return 0
	}
	passed := now.Sub(l.began)
	expected := time.Duration(float64(l.nominal) * e.Slowdown(l.number))
	for carried := l.number; expected < passed && carried > 0; carried-- {
		expected = max(expected, l.nominal*time.Duration(l.number)/time.Duration(carried))
	}
	return max(expected-passed, 0)
}

// slowed takes over the capacity that a slowed load shows.
func (e *Estimator) slowed(capacity float64) {
	if e.estimate.Capacity > 0 {
		capacity = newWeight*capacity + (1-newWeight)*e.estimate.Capacity
	}
	e.set(capacity)
}

func (e *Estimator) set(capacity float64) {
	e.kept = 0
	e.estimate.Capacity = max(capacity, leastCapacity)
	e.estimate.Limit = min(max(int(math.Round(e.estimate.Capacity)), 1), largestLimit)
}

// keptTime notes that a load kept its nominal time though so many were under way at
// its begin.
func (e *Estimator) keptTime(number int) {
	if e.estimate.Capacity == 0 {
		e.estimate.Limit = min(max(e.estimate.Limit, 2*number), largestLimit)
		return
	}
	e.estimate.Capacity = max(e.estimate.Capacity, float64(min(number, largestLimit)))
	if number < e.estimate.Limit {
		return
	}
	e.kept++
	if e.kept >= probeAfter {
		e.kept = 0
		e.estimate.Limit = min(e.estimate.Limit+1, largestLimit)
	}
}

// capacity is the capacity with which the load took as long as it did.
func (l *load) capacity(took time.Duration) float64 {
	return float64(l.number) * float64(l.nominal) / float64(took)
}

// boundOf returns the largest capacity with which the load can still be under way;
// overdue is false while it is not late.
func (l *load) boundOf(now time.Time) (most float64, overdue bool) {
	passed := now.Sub(l.began) - overdueSlack
	if l.nominal <= 0 || float64(passed) <= slowFactor*float64(l.nominal) {
		return 0, false
	}
	return l.capacity(passed), true
}

// Slowdown is how many times its nominal time a load takes that begins as one of so
// many under way.
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
	next := time.Duration(math.MaxInt64)
	for _, l := range e.loads {
		expected := time.Duration(float64(l.nominal) * e.Slowdown(l.number))
		next = min(next, max(l.began.Add(expected).Sub(now), 0))
	}
	return next
}
