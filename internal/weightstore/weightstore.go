// Package weightstore estimates how many concurrent loads of weights the store carries at full
// speed, from the duration of loads compared with their nominal time. The store fixes the
// duration of a load when it begins, by the number of loads active then: beyond the store's
// capacity it grows in proportion to that number. The package does no I/O and doesn't read the
// clock.
//
// The estimate works like congestion control for a network path. Until a load is slow, the
// limit on concurrent loads is twice the number that was seen to keep the nominal time. A slow
// load shows the capacity, and a load that is still active after its nominal time gives an
// upper bound before it ends. If the limit is too high, the next loads take longer; if it is
// too low, the store is partly idle.
package weightstore

import (
	"math"
	"time"
)

const (
	// initialLimit is the limit before any load was observed. Four concurrent loads keep
	// their nominal time, or take twice as long at a store that carries two.
	initialLimit = 4
	// maxLimit keeps the limit finite if loads never slow each other.
	maxLimit = 64
	// slowFactor is the multiple of its nominal time from which a load counts as slowed. It
	// allows for the lag of the reports that show the end of a load.
	slowFactor = 1.15
	// overdueSlack is how much longer than that an active load may take before it counts as
	// slowed: the longest time until a report shows its end.
	overdueSlack = 300 * time.Millisecond
	// probeAfter is the number of consecutive loads at the limit that must keep their nominal
	// time before the limit increases by one, once a load was slowed.
	probeAfter = 8
	// observationWeight is the weight of a new observation of the capacity.
	observationWeight = 0.5
	// minCapacity is the lower limit of the estimate, so that a store that makes no progress
	// is still tried.
	minCapacity = 0.25
)

// Estimate is what is known about a store's capacity.
type Estimate struct {
	// Limit is the number of concurrent loads allowed.
	Limit int
	// Capacity is the number of concurrent loads that the store carries at full speed, zero
	// until a load was slowed.
	Capacity float64
}

// load is an active load.
type load struct {
	nominal time.Duration
	// concurrency is the number of active loads when it began, including itself.
	concurrency int
	began       time.Time
}

// Estimator tracks the active loads and estimates the capacity. It is not safe for concurrent
// use.
type Estimator struct {
	estimate Estimate
	// onTime is the number of consecutive loads at the limit that kept their nominal time.
	onTime int
	loads  map[string]*load
	// foreign is the number of loads that may be active without having begun here.
	foreign int
}

// New returns an estimator that continues from an earlier estimate, or starts from the
// beginning with the zero estimate.
func New(known Estimate) *Estimator {
	if known.Limit <= 0 {
		known = Estimate{Limit: initialLimit}
	}
	return &Estimator{estimate: known, loads: make(map[string]*load)}
}

// Estimate returns the current estimate.
func (e *Estimator) Estimate() Estimate { return e.estimate }

// UnderWay returns the number of active loads, including foreign ones: those that may
// be active without having begun here.
func (e *Estimator) UnderWay() int { return len(e.loads) + e.foreign }

// Free returns how many more loads may begin.
func (e *Estimator) Free() int { return max(e.estimate.Limit-e.UnderWay(), 0) }

// Follow sets the number of foreign loads and lowers the estimate if a load is overdue.
func (e *Estimator) Follow(foreign int, now time.Time) {
	e.foreign = foreign
	for _, l := range e.loads {
		if upper, overdue := l.upperBound(now); overdue && (e.estimate.Capacity == 0 || upper < e.estimate.Capacity) {
			e.setCapacity(upper)
		}
	}
}

// Begin records that a load with the nominal duration begins on a runner now.
func (e *Estimator) Begin(runner string, nominal time.Duration, now time.Time) {
	delete(e.loads, runner)
	e.loads[runner] = &load{nominal: nominal, concurrency: e.UnderWay() + 1, began: now}
}

// Loading reports whether a load on the runner is tracked.
func (e *Estimator) Loading(runner string) bool { return e.loads[runner] != nil }

// Drop removes the load of a runner without using it for the estimate: it may have failed.
func (e *Estimator) Drop(runner string) { delete(e.loads, runner) }

// End records the end of the load on a runner and returns its duration. lag is the time
// between the end and now.
func (e *Estimator) End(runner string, lag time.Duration, now time.Time) time.Duration {
	l := e.loads[runner]
	delete(e.loads, runner)
	if l == nil || l.nominal <= 0 {
		return 0
	}
	took := max(now.Sub(l.began)-lag, 0)
	if float64(took) > slowFactor*float64(l.nominal) {
		e.recordSlow(l.impliedCapacity(took))
	} else {
		e.recordOnTime(l.concurrency)
	}
	return took
}

// Remaining returns the expected remaining time of the load on a runner, zero if none is
// tracked. If a load is already late, the store carries fewer loads than estimated: the
// expected time is then the next one that results from a smaller whole number of loads at full
// speed.
func (e *Estimator) Remaining(runner string, now time.Time) time.Duration {
	l := e.loads[runner]
	if l == nil {
		return 0
	}
	passed := now.Sub(l.began)
	expected := time.Duration(float64(l.nominal) * e.Slowdown(l.concurrency))
	for carried := l.concurrency; expected < passed && carried > 0; carried-- {
		expected = max(expected, l.nominal*time.Duration(l.concurrency)/time.Duration(carried))
	}
	return max(expected-passed, 0)
}

// recordSlow updates the estimate with the capacity that a slowed load shows.
func (e *Estimator) recordSlow(capacity float64) {
	if e.estimate.Capacity > 0 {
		capacity = observationWeight*capacity + (1-observationWeight)*e.estimate.Capacity
	}
	e.setCapacity(capacity)
}

// setCapacity sets the capacity and the limit that follows from it.
func (e *Estimator) setCapacity(capacity float64) {
	e.onTime = 0
	e.estimate.Capacity = max(capacity, minCapacity)
	e.estimate.Limit = min(max(int(math.Round(e.estimate.Capacity)), 1), maxLimit)
}

// recordOnTime updates the estimate with a load that kept its nominal time at the given
// concurrency.
func (e *Estimator) recordOnTime(concurrency int) {
	if e.estimate.Capacity == 0 {
		e.estimate.Limit = min(max(e.estimate.Limit, 2*concurrency), maxLimit)
		return
	}
	e.estimate.Capacity = max(e.estimate.Capacity, float64(min(concurrency, maxLimit)))
	if concurrency < e.estimate.Limit {
		return
	}
	e.onTime++
	if e.onTime >= probeAfter {
		e.onTime = 0
		e.estimate.Limit = min(e.estimate.Limit+1, maxLimit)
	}
}

// impliedCapacity returns the capacity that explains the duration of the load.
func (l *load) impliedCapacity(took time.Duration) float64 {
	return float64(l.concurrency) * float64(l.nominal) / float64(took)
}

// upperBound returns the largest capacity for which the load can still be active. overdue is
// false if the load is not late.
func (l *load) upperBound(now time.Time) (upper float64, overdue bool) {
	passed := now.Sub(l.began) - overdueSlack
	if l.nominal <= 0 || float64(passed) <= slowFactor*float64(l.nominal) {
		return 0, false
	}
	return l.impliedCapacity(passed), true
}

// Slowdown returns the factor by which a load exceeds its nominal time if underWay loads,
// including itself, are active when it begins.
func (e *Estimator) Slowdown(underWay int) float64 {
	if e.estimate.Capacity == 0 {
		return 1
	}
	return max(1, float64(underWay)/e.estimate.Capacity)
}

// NextFree returns the expected time until an active load ends, zero if another load may begin
// now.
func (e *Estimator) NextFree(now time.Time) time.Duration {
	if e.Free() > 0 || len(e.loads) == 0 {
		return 0
	}
	next := time.Duration(math.MaxInt64)
	for _, l := range e.loads {
		expected := time.Duration(float64(l.nominal) * e.Slowdown(l.concurrency))
		next = min(next, max(l.began.Add(expected).Sub(now), 0))
	}
	return next
}
