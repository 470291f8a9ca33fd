// Package orders keeps the holder's account of one runner: what it holds, what
// was ordered, and what may still happen because an order's answer was lost. It
// is pure: time is passed in, and nothing is sent from here.
package orders

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
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
	// drainTime is how long the requests of a model that is unloaded are expected
	// to take yet.
	drainTime = time.Second
	// conflictPause follows a refused order.
	conflictPause = 120 * time.Millisecond
)

// Ledger is the account of one runner. It is not safe for concurrent use.
type Ledger struct {
	Runner backend.Runner
	// Version is the controller's version of the last change of the view.
	Version uint64

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
	// Leaving is set while requests still use it that is to be unloaded.
	Leaving bool
	Due     time.Time
}

// NewLedger returns an account of a runner of which nothing is known yet.
func NewLedger(runner backend.Runner) *Ledger {
	return &Ledger{Runner: runner, models: make(map[string]*Model)}
}

// Known reports whether the runner has told its state.
func (l *Ledger) Known() bool { return l.known }

// Confirmed reports whether all is known of what the runner holds and loads: it
// has told its state itself and is not busy with something unknown.
func (l *Ledger) Confirmed() bool { return l.reported && !l.ForeignWork() }

// ForeignWork reports whether the runner is busy with an order of an earlier
// holder: its report does not tell with what.
func (l *Ledger) ForeignWork() bool {
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

// mayLoad returns the models that the runner loads, or may load by an order that has no answer.
func (l *Ledger) mayLoad() map[string]bool {
	models := make(map[string]bool)
	for name, model := range l.models {
		if model.Coming {
			models[name] = true
		}
	}
	for _, order := range l.open() {
		if order.Action == backend.Load && order.Unit.Adapter == "" && l.models[order.Unit.Model] == nil {
			models[order.Unit.Model] = true
		}
	}
	return models
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

// MayOrder reports whether the runner may take an order now: while it carries out a
// model order it refuses all others, those for adapters too.
func (l *Ledger) MayOrder(unit backend.Unit, now time.Time) bool {
	if !l.known || l.silent || l.sending != nil || l.unsure || now.Before(l.notUntil) {
		return false
	}
	if l.busy {
		return false
	}
	return unit.Adapter == "" || l.comingAdapters() < maximumComingAdapters
}

// BusyFor is how long the runner is expected to take no order: until what is under
// way there is done and seen; zero when it takes one now. active tells whether
// requests use a model.
func (l *Ledger) BusyFor(active func(model string) bool, now time.Time) time.Duration {
	if l.Idle(now) {
		return 0
	}
	busy := max(l.notUntil.Sub(now), backend.ReportLag)
	for name, model := range l.models {
		switch {
		case model.Coming:
			busy = max(busy, model.Due.Sub(now)+backend.ReportLag)
		case model.Leaving && active(name):
			busy = max(busy, drainTime)
		}
	}
	return busy
}

// Idle reports whether a model order would be taken.
func (l *Ledger) Idle(now time.Time) bool { return l.MayOrder(backend.Unit{}, now) }

// Begin notes that an order is about to be sent and returns it complete.
func (l *Ledger) Begin(action backend.Action, unit backend.Unit, owner string, token uint64) backend.Order {
	order := backend.Order{Action: action, Unit: unit, Expected: l.sequence, Owner: owner, Token: token}
	l.sending = &order
	return order
}

// Delay notes that a load under way is expected later than was thought. It returns whether
// that is so by more than a report tells apart.
func (l *Ledger) Delay(model string, due time.Time) bool {
	loading := l.models[model]
	if loading == nil || !loading.Coming || due.Sub(loading.Due) <= backend.ReportLag {
		return false
	}
	loading.Due = due
	return true
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
		l.adapterGone(order)
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
		l.adapterLeaves(model, order, now)
		return
	}
	model.Adapters[order.Unit.Adapter] = &Adapter{Coming: true, Due: now.Add(adapterTime)}
	if l.nextReport.IsZero() || l.nextReport.After(now.Add(adapterTime)) {
		l.nextReport = now.Add(adapterTime + backend.ReportLag)
	}
}

// adapterLeaves notes that an adapter goes once no request uses it any more. Until
// a report shows it, the runner takes no other order: its number moves again.
func (l *Ledger) adapterLeaves(model *Model, order backend.Order, now time.Time) {
	if adapter := model.Adapters[order.Unit.Adapter]; adapter != nil {
		adapter.Leaving = true
	}
	l.unsure = true
	l.nextReport = now.Add(backend.ReportLag)
}

// adapterGone notes that an adapter's unload was done at once.
func (l *Ledger) adapterGone(order backend.Order) {
	if order.Action != backend.Unload || order.Unit.Adapter == "" {
		return
	}
	if model := l.models[order.Unit.Model]; model != nil {
		delete(model.Adapters, order.Unit.Adapter)
	}
	l.unsure = false
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
