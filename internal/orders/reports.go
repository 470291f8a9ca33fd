package orders

import (
	"reflect"
	"slices"
	"time"

	"lilacvane/internal/backend"
)

// NextDue returns when something of the account is due: a report, or an
// adapter's load; zero when nothing is.
func (l *Ledger) NextDue() time.Time {
	due := l.nextReport
	for _, model := range l.models {
		for _, adapter := range model.Adapters {
			if adapter.Coming && (due.IsZero() || adapter.Due.Before(due)) {
				due = adapter.Due
			}
		}
	}
	return due
}

// WantsReport reports whether the runner should be asked for a report now, and
// notes that it is.
func (l *Ledger) WantsReport(now time.Time) bool {
	if l.asking || l.sending != nil || l.nextReport.IsZero() || now.Before(l.nextReport) {
		return false
	}
	l.asking = true
	l.nextReport = now.Add(reportInterval)
	return true
}

// suspectAgain is the age at which a report no longer clears a runner.
const suspectAgain = 300 * time.Millisecond

// Suspect notes that a node got no answer from the runner. It returns whether the
// runner is to be asked for a report.
func (l *Ledger) Suspect(now time.Time) bool {
	if l.silent || l.suspected || now.Sub(l.reportedAt) < suspectAgain {
		return false
	}
	l.suspected = true
	l.nextReport = now
	return true
}

// Silent reports whether the runner answers neither a node nor the holder. What it
// holds stays in the account, but nothing is to be expected of it.
func (l *Ledger) Silent() bool { return l.silent }

// ReportFailed delays the next report of a runner that does not answer. It returns
// whether nodes are to be told that it is silent.
func (l *Ledger) ReportFailed(now time.Time, pause time.Duration) bool {
	l.asking = false
	l.nextReport = now.Add(pause)
	l.silent = l.silent || l.suspected
	return l.silent
}

// Listed takes over the platform's word of the runner. It lags and leaves out what
// is on its way, so it is only believed of a runner that has not reported, and
// only to plan with: an order needs a report. A word that differs from the
// account asks for one. Other nodes hear it from the platform themselves.
func (l *Ledger) Listed(runner backend.Runner, now time.Time) {
	changed := !reflect.DeepEqual(runner.Models, l.Runner.Models) || runner.Sequence != l.Runner.Sequence
	l.Runner = runner
	if l.reported {
		if changed && (l.busy || runner.Sequence > l.sequence) {
			l.nextReport = now
		}
		return
	}
	if l.known && !changed {
		return
	}
	l.known = true
	l.sequence = runner.Sequence
	l.copies = runner.Copies
	l.takeModels(backend.Report{Models: runner.Models}, now)
}

// Confirm asks for a report of a runner that is to be ordered and has not
// reported yet. It returns whether the runner has.
func (l *Ledger) Confirm(now time.Time) bool {
	if !l.reported && l.nextReport.IsZero() {
		l.nextReport = now
	}
	return l.reported
}

// Reported takes over a report that was asked for at a time. One that is behind
// the last accepted order is passed over, unless it was asked so long after it
// that it must show it. It returns whether the view changed.
func (l *Ledger) Reported(report backend.Report, asked, now time.Time) bool {
	spoke := l.silent
	l.asking, l.suspected, l.silent = false, false, false
	l.reportedAt = now
	settled := asked.Sub(l.lastOrder) >= settledReport
	if l.sending != nil || (l.known && report.Sequence < l.sequence && !settled) {
		return spoke
	}
	if asked.Sub(l.lastOrder) >= backend.ReportLag {
		l.unsure = false
	}
	before := l.fingerprint()
	l.known, l.reported = true, true
	l.sequence = report.Sequence
	l.forgetPassed()
	l.busy = report.Busy
	l.copies = report.Copies
	l.takeModels(report, now)
	l.nextReport = time.Time{}
	if l.busy || l.unsure || l.comingAdapters() > 0 {
		l.nextReport = now.Add(reportInterval)
	}
	return spoke || before != l.fingerprint()
}

// forgetPassed drops the orders without an answer that can no longer be carried
// out: the number that they expect has passed.
func (l *Ledger) forgetPassed() {
	l.lost = slices.DeleteFunc(l.lost, func(order backend.Order) bool { return order.Expected < l.sequence })
}

// keepLeaving goes on counting adapters as leaving that are still there.
func (m *Model) keepLeaving(was *Model) {
	for name, adapter := range m.Adapters {
		if before := was.Adapters[name]; before != nil {
			adapter.Leaving = before.Leaving
		}
	}
}

func (l *Ledger) takeModels(report backend.Report, now time.Time) {
	before := l.models
	l.models = make(map[string]*Model, len(report.Models))
	for _, holding := range report.Models {
		model := &Model{Adapters: make(map[string]*Adapter, len(holding.Adapters))}
		for _, name := range holding.Adapters {
			model.Adapters[name] = &Adapter{}
		}
		if was := before[holding.Model]; was != nil {
			model.Leaving = was.Leaving && report.Busy
			model.keepLeaving(was)
		}
		l.models[holding.Model] = model
	}
	for _, unit := range report.Pending {
		if model := l.models[unit.Model]; model != nil {
			model.Adapters[unit.Adapter] = &Adapter{Coming: true, Due: now.Add(adapterTime)}
		}
	}
	if !report.Busy {
		return
	}
	for name, was := range before {
		if was.Coming && l.models[name] == nil {
			l.models[name] = was
		}
	}
}

// fingerprint sums up what other nodes are told of the runner.
func (l *Ledger) fingerprint() string {
	units := make([]string, 0, len(l.models))
	for name, model := range l.models {
		state := "+"
		if model.Coming {
			state = "?"
		}
		if model.Leaving {
			state = "-"
		}
		units = append(units, name+state)
		for adapter, held := range model.Adapters {
			if !held.Coming {
				units = append(units, name+"/"+adapter)
			}
		}
	}
	slices.Sort(units)
	text := ""
	for _, unit := range units {
		text += unit + " "
	}
	return text
}
