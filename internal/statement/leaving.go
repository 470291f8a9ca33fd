package statement

import (
	"cmp"
	"slices"
	"time"
)

// LeavingReport says that a runner stated that it leaves.
type LeavingReport struct {
	// Runner identifies the runner's incarnation.
	Runner string
	// Age is how long ago the runner last stated it.
	Age time.Duration
}

// Leaving returns the runners that are considered to be leaving, the most recent statement
// first.
func (reg *Registry) Leaving() []LeavingReport {
	return reg.leavingReports(func(r *record) time.Time { return r.leavingAt })
}

// OwnLeaving returns the leaving runners whose statements this node itself read from answers,
// with the age of its own readings. Nodes pass on only these, so that they do not keep a
// statement alive among each other that the runner no longer makes.
func (reg *Registry) OwnLeaving() []LeavingReport {
	return reg.leavingReports(func(r *record) time.Time { return r.ownLeavingAt })
}

// leavingReports returns the runners that are leaving by the time that at selects, the most
// recent one first.
func (reg *Registry) leavingReports(at func(*record) time.Time) []LeavingReport {
	if reg == nil || reg.recordCount.Load() == 0 {
		return nil
	}
	now, duration := reg.options.Now(), reg.options.Limits().LeavingFor
	reg.mutex.RLock()
	defer reg.mutex.RUnlock()
	var reports []LeavingReport
	for id, rec := range reg.runners {
		if last := at(rec); within(last, now, duration) {
			reports = append(reports, LeavingReport{Runner: id, Age: now.Sub(last)})
		}
	}
	slices.SortFunc(reports, func(x, y LeavingReport) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner))
	})
	return reports
}

// LearnLeaving merges reports that the node peer passed on.
func (reg *Registry) LearnLeaving(peer string, reports []LeavingReport) {
	for _, report := range reports {
		if reg.mergeLeaving(report) {
			reg.announce(Source{Runner: report.Runner, Peer: peer}, Leaving{})
		}
	}
}

// mergeLeaving merges one report, and returns whether the runner was not known to be leaving.
func (reg *Registry) mergeLeaving(report LeavingReport) bool {
	now, duration := reg.options.Now(), reg.options.Limits().LeavingFor
	age := max(report.Age, 0)
	if report.Runner == "" || age >= duration {
		return false
	}
	reg.mutex.Lock()
	defer reg.mutex.Unlock()
	rec := reg.recordOf(report.Runner, now)
	changed := !rec.leaves(now, duration)
	if at := now.Add(-age); at.After(rec.leavingAt) {
		rec.leavingAt = at
	}
	return changed
}
