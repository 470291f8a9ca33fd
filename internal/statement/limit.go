package statement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// inFlightGrace is the time after a runner stated a number in which an answer without it does not
// lift it: that answer may already have been in flight.
const inFlightGrace = 250 * time.Millisecond

// number is a number that a runner states in all its answers for as long as it applies: its limit,
// or how many rejections it endures. Registry.mutex guards it.
type number struct {
	value float64
	// stated is set while the number was not lifted. at is when the runner last stated it to any
	// node, ownAt when this node last read it from an answer, liftedAt when an answer without it
	// lifted it.
	stated              bool
	at, ownAt, liftedAt time.Time
}

// number returns the number of a kind, which is KindLimit or KindBrittle.
func (r *record) number(kind Kind) *number {
	if kind == KindBrittle {
		return &r.brittle
	}
	return &r.limit
}

// set records a statement, and reports whether that is a change.
func (n *number) set(now time.Time, value float64, duration time.Duration) bool {
	changed := !n.inForce(now, duration) || value != n.value
	n.value, n.stated, n.at = value, true, now
	return changed
}

// inForce reports whether the runner stated the number within the given duration and did not lift
// it since.
func (n *number) inForce(now time.Time, duration time.Duration) bool {
	return n.stated && within(n.at, now, duration)
}

// known reports whether anything has to be remembered of the number.
func (n *number) known(now time.Time, duration time.Duration) bool {
	return n.inForce(now, duration) || within(n.liftedAt, now, duration)
}

// lift ends a number of a runner, after an answer to a request that does not state it.
func (reg *Registry) lift(source Source, kind Kind) {
	if reg.recordCount.Load() == 0 {
		return
	}
	if !reg.clearNumber(source.Runner, kind) {
		return
	}
	reg.options.Log.Info("runner's statement ended", "runner", source.Runner, "request", source.Request, "kind", string(kind))
	if reg.options.OnCapacity != nil {
		reg.options.OnCapacity()
	}
}

// clearNumber removes a number, and reports whether there was one.
func (reg *Registry) clearNumber(runner string, kind Kind) bool {
	now := reg.options.Now()
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	rec := reg.runners[runner]
	if rec == nil {
		return false
	}
	n := rec.number(kind)
	if !n.inForce(now, reg.options.Limits().LimitFor) || within(n.at, now, inFlightGrace) {
		return false
	}
	n.value, n.stated, n.liftedAt = 0, false, now
	return true
}

// Report says that a runner stated a number.
type Report struct {
	// Runner identifies the runner's incarnation.
	Runner string
	// Value is the number: requests per second of a limit, rejections within a second of a brittle
	// runner.
	Value float64
	// Age is how long ago the runner last stated it.
	Age time.Duration
}

// Reports returns the numbers of a kind in force, the most recently stated first.
func (reg *Registry) Reports(kind Kind) []Report {
	return reg.reports(kind, func(n *number) time.Time { return n.at })
}

// OwnReports returns the numbers in force that this node itself read from answers, with the age of
// its own readings. Nodes pass on only these to others.
func (reg *Registry) OwnReports(kind Kind) []Report {
	return reg.reports(kind, func(n *number) time.Time { return n.ownAt })
}

// reports returns the numbers in force by the time that at selects, the most recent one first.
func (reg *Registry) reports(kind Kind, at func(*number) time.Time) []Report {
	if reg.Empty() {
		return nil
	}
	now, duration := reg.options.Now(), reg.options.Limits().LimitFor
	reg.mutex.RLock()
	defer reg.mutex.RUnlock()
	var reports []Report
	for id, rec := range reg.runners {
		n := rec.number(kind)
		if last := at(n); n.inForce(now, duration) && within(last, now, duration) {
			reports = append(reports, Report{Runner: id, Value: n.value, Age: now.Sub(last)})
		}
	}
	slices.SortFunc(reports, func(x, y Report) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner)) })
	return reports
}

// Learn merges numbers that the node peer passed on.
func (reg *Registry) Learn(peer string, kind Kind, reports []Report) {
	for _, report := range reports {
		if reg.merge(kind, report) {
			reg.announce(Source{Runner: report.Runner, Peer: peer}, statementOf(kind, report.Value))
		}
	}
}

// statementOf returns the statement of a number.
func statementOf(kind Kind, value float64) Statement {
	if kind == KindBrittle {
		return Brittle{Rejections: value}
	}
	return Limit{Rate: value}
}

// merge merges one report, and returns whether it changes what is in force. A report that is older
// than what this node knows changes nothing.
func (reg *Registry) merge(kind Kind, report Report) bool {
	now, limits := reg.options.Now(), reg.options.Limits()
	least := limits.LeastRate
	if kind == KindBrittle {
		least = 0
	}
	age := max(report.Age, 0)
	if report.Runner == "" || !(report.Value >= least) || math.IsInf(report.Value, 0) || age >= limits.LimitFor {
		return false
	}
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	n, at := reg.recordOf(report.Runner, now).number(kind), now.Add(-age)
	if !at.After(n.at) || !at.After(n.liftedAt) {
		return false
	}
	changed := !n.inForce(now, limits.LimitFor) || n.value != report.Value
	n.value, n.stated, n.at = report.Value, true, at
	return changed
}
