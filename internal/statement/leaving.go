package statement

import (
	"cmp"
	"slices"
	"time"
)

// LeavingReport is a runner that said that it leaves, and how long ago it last did so.
type LeavingReport struct {
	Runner string
	Age    time.Duration
}

// Leaving returns the runners that are considered to be leaving, the most recent statement
// first.
func (b *Registry) Leaving() []LeavingReport {
	return b.heard(func(r *record) time.Time { return r.leavingAt })
}

// HeardLeaving returns those whose statements this node itself read from answers, with the age
// of its own readings. Nodes pass on only these, so that they do not keep a statement alive
// among each other that the runner no longer makes.
func (b *Registry) HeardLeaving() []LeavingReport {
	return b.heard(func(r *record) time.Time { return r.heardLeavingAt })
}

// heard returns the leaving runners, with ages by the given time.
func (b *Registry) heard(at func(*record) time.Time) []LeavingReport {
	if b == nil || b.recordCount.Load() == 0 {
		return nil
	}
	now, duration := b.options.Now(), b.options.Limits().LeavingFor
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var heard []LeavingReport
	for id, rec := range b.runners {
		if last := at(rec); within(last, now, duration) {
			heard = append(heard, LeavingReport{Runner: id, Age: now.Sub(last)})
		}
	}
	slices.SortFunc(heard, func(x, y LeavingReport) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner))
	})
	return heard
}

// LearnLeaving records that runners leave, as another node passed on.
func (b *Registry) LearnLeaving(peer string, heard []LeavingReport) {
	for _, report := range heard {
		if b.learn(report) {
			b.announce(Source{Runner: report.Runner, Peer: peer}, Leaving{})
		}
	}
}

// learn records one of them, and reports whether it is a change.
func (b *Registry) learn(heard LeavingReport) bool {
	now, duration := b.options.Now(), b.options.Limits().LeavingFor
	age := max(heard.Age, 0)
	if heard.Runner == "" || age >= duration {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	rec := b.recordOf(heard.Runner, now)
	changed := !rec.leaves(now, duration)
	if at := now.Add(-age); at.After(rec.leavingAt) {
		rec.leavingAt = at
	}
	return changed
}
