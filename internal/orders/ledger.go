// Package orders keeps the holder's account of one runner: what it holds, what
// was ordered, and what may still happen because an order's answer was lost. It
// is pure: time is passed in, and nothing is sent from here.
package orders

import (
	"reflect"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
)

const (
	// maximumComingAdapters is how many adapters may be on their way to a runner.
	maximumComingAdapters = 4
	// adapterTime is how long an adapter is expected to take.
	adapterTime = 20 * time.Millisecond
	// reportInterval is the time between two reports of a busy runner.
	reportInterval = 60 * time.Millisecond
	// longestInterval is the longest time without a report of a runner with
	// something under way. One with nothing under way is believed as listed.
	longestInterval = time.Second
	// settledReport is the age at which an order must show in every report.
	settledReport = 500 * time.Millisecond
	// conflictPause follows a refused order.
	conflictPause = 120 * time.Millisecond
)

// Ledger is the account of one runner. It is not safe for concurrent use.
type Ledger struct {
	Runner backend.Runner
	// Version is the controller's version of the last change of the view.
	Version uint64
	// ChangedAt is when that was.
	ChangedAt time.Time

	// known is set once the runner's state was told, reported once by itself.
	known    bool
	reported bool
	// reportedAt is when it last did.
	reportedAt time.Time
	sequence   uint64
	models     map[string]*Model
	// lost are orders without an answer that may still be carried out, until
	// another order is accepted at the same sequence number.
	lost []backend.Order
	// unsure is set from a lost order to a report that was asked after it.
	unsure     bool
	lastOrder  time.Time
	busy       bool
	copies     backend.Copies
	nextReport time.Time
	// asking is set while a report is being asked for.
	asking bool
	// suspected is set when a node got no answer from the runner, silent when the
	// holder then got none either.
	suspected bool
	silent    bool
	// sending is the order on its way, if any.
	sending  *backend.Order
	notUntil time.Time
}

// Model is a model on a runner.
type Model struct {
	// Coming is set while it is loaded, Leaving while it is unloaded.
	Coming   bool
	Leaving  bool
	Due      time.Time
	Adapters map[string]*Adapter
}

// Adapter is an adapter of a model on a runner.
type Adapter struct {
	Coming bool
	Due    time.Time
}

// NewLedger returns an account of a runner of which nothing is known yet.
func NewLedger(runner backend.Runner) *Ledger {
	return &Ledger{Runner: runner, models: make(map[string]*Model)}
}

// Known reports whether the runner has told its state.
func (l *Ledger) Known() bool { return l.known }

// Confirmed reports whether all is known of what the runner holds and loads: it
// has told its state itself and is not busy with something unknown.
func (l *Ledger) Confirmed() bool { return l.reported && !l.foreignWork() }

// foreignWork reports whether the runner is busy with an order of an earlier
// holder: its report does not tell with what.
func (l *Ledger) foreignWork() bool {
	if !l.busy {
		return false
	}
	for _, model := range l.models {
		if model.Coming || model.Leaving {
			return false
		}
	}
	return true
}

// Models returns the models by name. The map must not be changed.
func (l *Ledger) Models() map[string]*Model { return l.models }

// Uncertain returns the models that only orders without an answer may load.
func (l *Ledger) Uncertain() []string {
	var models []string
	for _, order := range l.lost {
		if order.Action == backend.Load && order.Unit.Adapter == "" && l.models[order.Unit.Model] == nil {
			models = append(models, order.Unit.Model)
		}
	}
	return models
}

// Sending returns the model that an order on its way is to load; empty for none.
func (l *Ledger) Sending() string {
	if l.sending == nil || l.sending.Action != backend.Load || l.sending.Unit.Adapter != "" {
		return ""
	}
	return l.sending.Unit.Model
}

// open lists the orders that may take effect and are not in the account yet.
func (l *Ledger) open() []backend.Order {
	if l.sending == nil {
		return l.lost
	}
	return append(slices.Clone(l.lost), *l.sending)
}

// Sequence returns the number of orders the runner is known to have taken.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Copies returns the weights kept near the runner.
func (l *Ledger) Copies() backend.Copies { return l.copies }

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

// Free returns the memory in MB that is neither taken nor may become taken.
func (l *Ledger) Free(engine *config.Engine) float64 {
	free := engine.ModelMemory
	for name, model := range l.models {
		free -= sizeOf(engine, backend.Unit{Model: name})
		for adapter := range model.Adapters {
			free -= sizeOf(engine, backend.Unit{Model: name, Adapter: adapter})
		}
	}
	for _, order := range l.open() {
		if order.Action == backend.Load {
			free -= sizeOf(engine, order.Unit)
		}
	}
	return free
}

// FreeAdapterSlots returns how many more adapters may be ordered.
func (l *Ledger) FreeAdapterSlots(engine *config.Engine) int {
	free := engine.AdapterSlots
	for _, model := range l.models {
		free -= len(model.Adapters)
	}
	for _, order := range l.open() {
		if order.Action == backend.Load && order.Unit.Adapter != "" {
			free--
		}
	}
	return free
}

func sizeOf(engine *config.Engine, unit backend.Unit) float64 {
	model := engine.Models[unit.Model]
	if model == nil {
		// A model that the configuration no longer names takes an unknown room.
		return engine.ModelMemory
	}
	if unit.Adapter != "" {
		return model.AdapterSize
	}
	return model.Size
}

func (l *Ledger) comingAdapters() int {
	count := 0
	for _, model := range l.models {
		for _, adapter := range model.Adapters {
			if adapter.Coming {
				count++
			}
		}
	}
	return count
}

// MayOrder reports whether the runner may take an order now: a model order needs
// a runner without any other under way.
func (l *Ledger) MayOrder(unit backend.Unit, now time.Time) bool {
	if !l.known || l.silent || l.sending != nil || l.unsure || now.Before(l.notUntil) {
		return false
	}
	if unit.Adapter != "" {
		return !l.foreignWork() && l.comingAdapters() < maximumComingAdapters
	}
	return !l.busy
}

// Idle reports whether a model order would be taken.
func (l *Ledger) Idle(now time.Time) bool { return l.MayOrder(backend.Unit{}, now) }

// Begin notes that an order is about to be sent and returns it complete.
func (l *Ledger) Begin(action backend.Action, unit backend.Unit, owner string, token uint64) backend.Order {
	order := backend.Order{Action: action, Unit: unit, Expected: l.sequence, Owner: owner, Token: token}
	l.sending = &order
	return order
}

// End notes an order's verdict. due is when an accepted load is expected to be
// done.
func (l *Ledger) End(order backend.Order, verdict backend.Verdict, now, due time.Time) {
	l.sending = nil
	l.lastOrder = now
	switch verdict {
	case backend.Accepted:
		l.accepted(order, now, due)
	case backend.AlreadyHeld:
		l.accepted(order, now, now)
		l.busy = false
		l.nextReport = now.Add(backend.ReportLag)
	case backend.Lost:
		if !slices.Contains(l.lost, order) {
			l.lost = append(l.lost, order)
		}
		l.unsure = true
		l.nextReport = now.Add(backend.ReportLag)
	case backend.Conflict, backend.Refused:
		l.notUntil = now.Add(conflictPause)
		l.unsure = true
		l.nextReport = now.Add(backend.ReportLag)
	case backend.NotSent:
		l.notUntil = now.Add(conflictPause)
	}
}

func (l *Ledger) accepted(order backend.Order, now, due time.Time) {
	l.sequence = order.Expected + 1
	l.forgetPassed()
	unit := order.Unit
	if unit.Adapter != "" {
		l.adapterAccepted(order, now)
		return
	}
	l.busy = true
	l.nextReport = due
	if soon := now.Add(longestInterval); due.After(soon) {
		l.nextReport = soon
	}
	if order.Action == backend.Load {
		l.models[unit.Model] = &Model{Coming: true, Due: due, Adapters: make(map[string]*Adapter)}
		return
	}
	if model := l.models[unit.Model]; model != nil {
		model.Leaving = true
		model.Due = due
	}
}

func (l *Ledger) adapterAccepted(order backend.Order, now time.Time) {
	model := l.models[order.Unit.Model]
	if model == nil {
		return
	}
	if order.Action == backend.Unload {
		delete(model.Adapters, order.Unit.Adapter)
		return
	}
	model.Adapters[order.Unit.Adapter] = &Adapter{Coming: true, Due: now.Add(adapterTime)}
	if l.nextReport.IsZero() || l.nextReport.After(now.Add(adapterTime)) {
		l.nextReport = now.Add(adapterTime + backend.ReportLag)
	}
}

// Settle takes adapters as loaded whose time has come. It returns whether any
// were.
func (l *Ledger) Settle(now time.Time) bool {
	settled := false
	for _, model := range l.models {
		for _, adapter := range model.Adapters {
			if adapter.Coming && !now.Before(adapter.Due) {
				adapter.Coming = false
				settled = true
			}
		}
	}
	return settled
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
