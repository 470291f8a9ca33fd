package orders

import (
	"reflect"
	"slices"
	"time"

	"lilacvane/internal/backend"
)

// NextDue returns when a report or the end of an adapter's load is due next, or the zero time.
func (l *Ledger) NextDue() time.Time {
	due := l.nextReport
	for _, model := range l.models {
		for _, adapter := range model.Adapters {
			if adapter.Loading && (due.IsZero() || adapter.Due.Before(due)) {
				due = adapter.Due
			}
		}
	}
	return due
}

// WantsReport reports whether to request a report from the runner now. If so, it records that
// the report is being requested.
func (l *Ledger) WantsReport(now time.Time) bool {
	if l.reportPending || l.sending != nil || l.nextReport.IsZero() || now.Before(l.nextReport) {
		return false
	}
	l.reportPending = true
	l.nextReport = now.Add(reportInterval)
	return true
}

// suspectAfter is the age from which a report no longer shows that a runner is alive.
const suspectAfter = 300 * time.Millisecond

// Suspect records that a node got no answer from the runner. It returns whether to request a
// report from the runner.
func (l *Ledger) Suspect(now time.Time) bool {
	if l.silent || l.suspected || now.Sub(l.reportedAt) < suspectAfter {
		return false
	}
	l.suspected = true
	l.nextReport = now
	return true
}

// Silent reports whether the runner answers neither a node nor the lease holder. The ledger
// keeps what it holds, but no service is expected from it.
func (l *Ledger) Silent() bool { return l.silent }

// ReportFailed postpones the next report of a runner that did not answer. It returns whether
// the silence should be reported to the nodes.
func (l *Ledger) ReportFailed(now time.Time, pause time.Duration) bool {
	l.reportPending = false
	l.nextReport = now.Add(pause)
	l.silent = l.silent || l.suspected
	return l.silent
}

// ReportLate records that a requested report did not come before the node that asked gave up, for
// reasons of its own. The next one is requested after a pause.
func (l *Ledger) ReportLate(now time.Time, pause time.Duration) {
	l.reportPending = false
	l.nextReport = now.Add(pause)
}

// Listed applies the runner's entry in the platform's list. The list lags and leaves out what
// is still loading, so it is used only until the runner has reported, and only for planning:
// an order requires a report. Afterwards an entry that differs from the ledger only triggers a
// new report. Other nodes read the list from the platform themselves.
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
	l.applyModels(backend.Report{Models: runner.Models}, now)
}

// EnsureReport requests a report from a runner that is about to get an order and has not
// reported yet. It returns whether the runner has reported.
func (l *Ledger) EnsureReport(now time.Time) bool {
	if !l.reported && l.nextReport.IsZero() {
		l.nextReport = now
	}
	return l.reported
}

// Reported applies a report that was requested at requestedAt. A report older than the last
// accepted order is ignored, unless it was requested so long after the order that it must
// include it. It returns whether the state changed.
func (l *Ledger) Reported(report backend.Report, requestedAt, now time.Time) bool {
	wasSilent := l.silent
	l.reportPending, l.suspected, l.silent = false, false, false
	l.reportedAt = now
	settled := requestedAt.Sub(l.lastOrder) >= reportSettleTime
	if l.sending != nil || (l.known && report.Sequence < l.sequence && !settled) {
		return wasSilent
	}
	if requestedAt.Sub(l.lastOrder) >= backend.ReportLag {
		l.needsReport = false
	}
	before := l.fingerprint()
	l.known, l.reported = true, true
	l.sequence = report.Sequence
	l.dropObsolete()
	l.busy = report.Busy
	l.copies = report.Copies
	l.applyModels(report, now)
	l.nextReport = time.Time{}
	if l.busy || l.needsReport || l.loadingAdapters() > 0 {
		l.nextReport = now.Add(reportInterval)
	}
	return wasSilent || before != l.fingerprint()
}

// dropObsolete removes unanswered orders that can no longer take effect because the runner has
// passed the sequence number that they expect.
func (l *Ledger) dropObsolete() {
	l.unanswered = slices.DeleteFunc(l.unanswered, func(order backend.Order) bool { return order.Expected < l.sequence })
}

// keepUnloading keeps adapters marked as unloading that are still there.
func (m *Model) keepUnloading(was *Model) {
	for name, adapter := range m.Adapters {
		if before := was.Adapters[name]; before != nil {
			adapter.Unloading = before.Unloading
		}
	}
}

func (l *Ledger) applyModels(report backend.Report, now time.Time) {
	before := l.models
	l.models = make(map[string]*Model, len(report.Models))
	for _, holding := range report.Models {
		model := &Model{Adapters: make(map[string]*Adapter, len(holding.Adapters))}
		for _, name := range holding.Adapters {
			model.Adapters[name] = &Adapter{}
		}
		if was := before[holding.Model]; was != nil {
			model.Unloading = was.Unloading && report.Busy
			model.keepUnloading(was)
		}
		l.models[holding.Model] = model
	}
	for _, unit := range report.Pending {
		if model := l.models[unit.Model]; model != nil {
			model.Adapters[unit.Adapter] = &Adapter{Loading: true, Due: now.Add(adapterLoadTime)}
		}
	}
	if !report.Busy {
		return
	}
	for name, was := range before {
		if was.Loading && l.models[name] == nil {
			l.models[name] = was
		}
	}
}

// fingerprint encodes the part of the runner's state that is reported to other nodes.
func (l *Ledger) fingerprint() string {
	units := make([]string, 0, len(l.models))
	for name, model := range l.models {
		state := "+"
		if model.Loading {
			state = "?"
		}
		if model.Unloading {
			state = "-"
		}
		units = append(units, name+state)
		for adapter, held := range model.Adapters {
			if !held.Loading {
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
