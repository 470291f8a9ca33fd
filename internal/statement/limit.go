package statement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// inFlightGrace is the time after a runner stated its limit in which an answer without a limit
// does not lift it: that answer may already have been in flight.
const inFlightGrace = 250 * time.Millisecond

// limit records a limit, and reports whether that is a change.
func (r *record) limit(now time.Time, rate float64, duration time.Duration) bool {
	changed := !r.limited(now, duration) || rate != r.rate
	r.rate, r.limitedAt = rate, now
	return changed
}

// limited reports whether the runner stated a limit within the given duration that was not
// lifted since.
func (r *record) limited(now time.Time, duration time.Duration) bool {
	return r.rate > 0 && within(r.limitedAt, now, duration)
}

// lift ends a runner's limit, after an answer to a request that states none.
func (reg *Registry) lift(source Source) {
	if reg.recordCount.Load() == 0 {
		return
	}
	if !reg.clearLimit(source.Runner) {
		return
	}
	reg.options.Log.Info("runner names no limit any more", "runner", source.Runner, "request", source.Request)
	if reg.options.OnCapacity != nil {
		reg.options.OnCapacity()
	}
}

// clearLimit removes a limit, and reports whether there was one.
func (reg *Registry) clearLimit(runner string) bool {
	now := reg.options.Now()
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	rec := reg.runners[runner]
	if rec == nil || !rec.limited(now, reg.options.Limits().LimitFor) || within(rec.limitedAt, now, inFlightGrace) {
		return false
	}
	rec.rate, rec.liftedAt = 0, now
	return true
}

// LimitReport says that a runner stated a limit.
type LimitReport struct {
	// Runner identifies the runner's incarnation.
	Runner string
	// Rate is the limit in requests per second.
	Rate float64
	// Age is how long ago the runner last stated it.
	Age time.Duration
}

// Limits returns the limits in force, the most recently stated first.
func (reg *Registry) Limits() []LimitReport {
	return reg.limitReports(func(r *record) time.Time { return r.limitedAt })
}

// OwnLimits returns the limits in force that this node itself read from answers, with the age
// of its own readings. Nodes pass on only these to others.
func (reg *Registry) OwnLimits() []LimitReport {
	return reg.limitReports(func(r *record) time.Time { return r.ownLimitAt })
}

// limitReports returns the limits in force by the time that at selects, the most recent one
// first.
func (reg *Registry) limitReports(at func(*record) time.Time) []LimitReport {
	if reg == nil || reg.recordCount.Load() == 0 {
		return nil
	}
	now, duration := reg.options.Now(), reg.options.Limits().LimitFor
	reg.mutex.RLock()
	defer reg.mutex.RUnlock()
	var reports []LimitReport
	for id, rec := range reg.runners {
		if last := at(rec); rec.limited(now, duration) && within(last, now, duration) {
			reports = append(reports, LimitReport{Runner: id, Rate: rec.rate, Age: now.Sub(last)})
		}
	}
	slices.SortFunc(reports, func(x, y LimitReport) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner)) })
	return reports
}

// LearnLimits merges limits that the node peer passed on.
func (reg *Registry) LearnLimits(peer string, reports []LimitReport) {
	for _, report := range reports {
		if reg.mergeLimit(report) {
			reg.announce(Source{Runner: report.Runner, Peer: peer}, Limit{Rate: report.Rate})
		}
	}
}

// mergeLimit merges one report, and returns whether it changes the limit in force. A report that
// is older than what this node knows changes nothing.
func (reg *Registry) mergeLimit(report LimitReport) bool {
	now, limits := reg.options.Now(), reg.options.Limits()
	age := max(report.Age, 0)
	if report.Runner == "" || !(report.Rate >= limits.LeastRate) || math.IsInf(report.Rate, 0) || age >= limits.LimitFor {
		return false
	}
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	rec, at := reg.recordOf(report.Runner, now), now.Add(-age)
	if !at.After(rec.limitedAt) || !at.After(rec.liftedAt) {
		return false
	}
	changed := !rec.limited(now, limits.LimitFor) || rec.rate != report.Rate
	rec.rate, rec.limitedAt = report.Rate, at
	return changed
}
