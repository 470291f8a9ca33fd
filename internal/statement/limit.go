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
func (b *Registry) lift(source Source) {
	if b.recordCount.Load() == 0 {
		return
	}
	if !b.clearLimit(source.Runner) {
		return
	}
	b.options.Log.Info("runner names no limit any more", "runner", source.Runner, "request", source.Request)
	if b.options.OnCapacity != nil {
		b.options.OnCapacity()
	}
}

// clearLimit removes a limit, and reports whether there was one.
func (b *Registry) clearLimit(runner string) bool {
	now := b.options.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	rec := b.runners[runner]
	if rec == nil || !rec.limited(now, b.options.Limits().LimitFor) || within(rec.limitedAt, now, inFlightGrace) {
		return false
	}
	rec.rate, rec.liftedAt = 0, now
	return true
}

// LimitReport is a runner's limit and how long ago the runner last stated it.
type LimitReport struct {
	Runner string
	// Rate is the limit in requests per second.
	Rate float64
	Age  time.Duration
}

// Limits returns the limits in force, the most recently stated first.
func (b *Registry) Limits() []LimitReport {
	return b.heardLimits(func(r *record) time.Time { return r.limitedAt })
}

// HeardLimits returns the limits in force that this node itself read from answers, with the age
// of its own readings. Nodes pass on only these to others.
func (b *Registry) HeardLimits() []LimitReport {
	return b.heardLimits(func(r *record) time.Time { return r.heardLimitAt })
}

// heardLimits returns the limits in force, with ages by the given time.
func (b *Registry) heardLimits(at func(*record) time.Time) []LimitReport {
	if b == nil || b.recordCount.Load() == 0 {
		return nil
	}
	now, duration := b.options.Now(), b.options.Limits().LimitFor
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var heard []LimitReport
	for id, rec := range b.runners {
		if last := at(rec); rec.limited(now, duration) && within(last, now, duration) {
			heard = append(heard, LimitReport{Runner: id, Rate: rec.rate, Age: now.Sub(last)})
		}
	}
	slices.SortFunc(heard, func(x, y LimitReport) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner)) })
	return heard
}

// LearnLimits records limits that another node passed on.
func (b *Registry) LearnLimits(peer string, heard []LimitReport) {
	for _, report := range heard {
		if b.learnLimit(report) {
			b.announce(Source{Runner: report.Runner, Peer: peer}, Limit{Rate: report.Rate})
		}
	}
}

// learnLimit records one of them, and reports whether it is a change. A report that is older
// than what this node knows changes nothing.
func (b *Registry) learnLimit(heard LimitReport) bool {
	now, limits := b.options.Now(), b.options.Limits()
	age := max(heard.Age, 0)
	if heard.Runner == "" || !(heard.Rate >= limits.LeastRate) || math.IsInf(heard.Rate, 0) || age >= limits.LimitFor {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	rec, at := b.recordOf(heard.Runner, now), now.Add(-age)
	if !at.After(rec.limitedAt) || !at.After(rec.liftedAt) {
		return false
	}
	changed := !rec.limited(now, limits.LimitFor) || rec.rate != heard.Rate
	rec.rate, rec.limitedAt = heard.Rate, at
	return changed
}
