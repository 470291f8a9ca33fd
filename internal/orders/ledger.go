// Package orders tracks the state of one runner for the lease holder: what it holds, what was
// ordered, and which orders may still take effect because their answer was lost. It does no
// I/O and doesn't read the clock.
package orders

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
)

const (
	// maxLoadingAdapters limits the adapters that a runner loads at a time.
	maxLoadingAdapters = 4
	// adapterLoadTime is the expected load time of an adapter.
	adapterLoadTime = 20 * time.Millisecond
	// reportInterval is the time between two reports of a busy runner.
	reportInterval = 60 * time.Millisecond
	// maxReportInterval is the longest time without a report from a runner that carries out
	// an order. For other runners the platform's list is trusted.
	maxReportInterval = time.Second
	// reportSettleTime is the age from which an order shows in every report.
	reportSettleTime = 500 * time.Millisecond
	// drainTime is the expected remaining time of the requests to a model that is being
	// unloaded.
	drainTime = time.Second
	// conflictPause is the pause in orders after one was refused.
	conflictPause = 120 * time.Millisecond
)

// Ledger is the state of one runner. It is not safe for concurrent use.
type Ledger struct {
	Runner backend.Runner
	// Version is the controller's version of the last change to this state.
	Version uint64

	// known is set once the runner's state is known, from the platform's list or from itself.
	// reported is set once it reported itself.
	known    bool
	reported bool
	// reportedAt is the time of its last report.
	reportedAt time.Time
	sequence   uint64
	models     map[string]*Model
	// unanswered are orders whose answer was lost. They may still take effect until another
	// order is accepted at the same sequence number.
	unanswered []backend.Order
	// needsReport blocks further orders until a report that was requested after the last
	// order: its answer was lost, it was refused, or it unloads an adapter that may still be
	// in use.
	needsReport bool
	lastOrder   time.Time
	busy        bool
	copies      backend.Copies
	nextReport  time.Time
	// reportPending is set while a report is being requested.
	reportPending bool
	// suspected is set if a node got no answer from the runner, and silent if the lease
	// holder then got none either.
	suspected bool
	silent    bool
	// sending is the order being sent, or nil.
	sending     *backend.Order
	pausedUntil time.Time
}

// Model is a model on a runner.
type Model struct {
	// Loading is set while it is loaded, Unloading while it is unloaded.
	Loading   bool
	Unloading bool
	Due       time.Time
	Adapters  map[string]*Adapter
}

// Adapter is an adapter of a model on a runner.
type Adapter struct {
	Loading bool
	// Unloading is set while an adapter to be unloaded is still used by requests.
	Unloading bool
	Due       time.Time
}

// NewLedger returns the ledger of a runner in unknown state.
func NewLedger(runner backend.Runner) *Ledger {
	return &Ledger{Runner: runner, models: make(map[string]*Model)}
}

// Known reports whether the runner's state is known.
func (l *Ledger) Known() bool { return l.known }

// Confirmed reports whether everything that the runner holds and loads is known: it has
// reported itself and is not busy with an unknown order.
func (l *Ledger) Confirmed() bool { return l.reported && !l.ForeignWork() }

// ForeignWork reports whether the runner is busy with an order of an earlier lease holder. Its
// report doesn't say which.
func (l *Ledger) ForeignWork() bool {
	if !l.busy {
		return false
	}
	for _, model := range l.models {
		if model.Loading || model.Unloading {
			return false
		}
	}
	return true
}

// Models returns the models by name. The caller must not modify the map.
func (l *Ledger) Models() map[string]*Model { return l.models }

// Uncertain returns the models that are only there if an unanswered order was carried out.
func (l *Ledger) Uncertain() []string {
	var models []string
	for _, order := range l.unanswered {
		if order.Action == backend.Load && order.Unit.Adapter == "" && l.models[order.Unit.Model] == nil {
			models = append(models, order.Unit.Model)
		}
	}
	return models
}

// Sending returns the model that the order being sent will load, or "".
func (l *Ledger) Sending() string {
	if l.sending == nil || l.sending.Action != backend.Load || l.sending.Unit.Adapter != "" {
		return ""
	}
	return l.sending.Unit.Model
}

// possibleLoads returns the models that the runner loads, or may be loading because of an
// unanswered order.
func (l *Ledger) possibleLoads() map[string]bool {
	models := make(map[string]bool)
	for name, model := range l.models {
		if model.Loading {
			models[name] = true
		}
	}
	for _, order := range l.outstanding() {
		if order.Action == backend.Load && order.Unit.Adapter == "" && l.models[order.Unit.Model] == nil {
			models[order.Unit.Model] = true
		}
	}
	return models
}

// outstanding returns the orders that may take effect but are not in the ledger's models yet.
func (l *Ledger) outstanding() []backend.Order {
	if l.sending == nil {
		return l.unanswered
	}
	return append(slices.Clone(l.unanswered), *l.sending)
}

// Sequence returns the number of orders that the runner is known to have accepted.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Copies returns the copies of weights kept near the runner.
func (l *Ledger) Copies() backend.Copies { return l.copies }

// MayOrder reports whether the runner may accept an order now. While it carries out a model
// order it refuses all others, including those for adapters.
func (l *Ledger) MayOrder(unit backend.Unit, now time.Time) bool {
	if !l.known || l.silent || l.sending != nil || l.needsReport || now.Before(l.pausedUntil) {
		return false
	}
	if l.busy {
		return false
	}
	return unit.Adapter == "" || l.loadingAdapters() < maxLoadingAdapters
}

// BusyFor returns the expected time until the runner accepts orders: until its current work is
// done and reported, or zero if it accepts one now. active reports whether requests use a
// model.
func (l *Ledger) BusyFor(active func(model string) bool, now time.Time) time.Duration {
	if l.Idle(now) {
		return 0
	}
	busy := max(l.pausedUntil.Sub(now), backend.ReportLag)
	for name, model := range l.models {
		switch {
		case model.Loading:
			busy = max(busy, model.Due.Sub(now)+backend.ReportLag)
		case model.Unloading && active(name):
			busy = max(busy, drainTime)
		}
	}
	return busy
}

// Idle reports whether the runner would accept a model order.
func (l *Ledger) Idle(now time.Time) bool { return l.MayOrder(backend.Unit{}, now) }

// Begin records that an order is about to be sent and returns the complete order.
func (l *Ledger) Begin(action backend.Action, unit backend.Unit, owner string, token uint64) backend.Order {
	order := backend.Order{Action: action, Unit: unit, Expected: l.sequence, Owner: owner, Token: token}
	l.sending = &order
	return order
}

// Delay postpones the expected end of a load. It returns false, and changes nothing, if there
// is no such load or the new time is later by no more than the lag of reports.
func (l *Ledger) Delay(model string, due time.Time) bool {
	loading := l.models[model]
	if loading == nil || !loading.Loading || due.Sub(loading.Due) <= backend.ReportLag {
		return false
	}
	loading.Due = due
	return true
}

// End records the verdict on an order. due is the expected end of an accepted load.
func (l *Ledger) End(order backend.Order, verdict backend.Verdict, now, due time.Time) {
	l.sending = nil
	l.lastOrder = now
	switch verdict {
	case backend.Accepted:
		l.applyAccepted(order, now, due)
	case backend.AlreadyHeld:
		l.applyAccepted(order, now, now)
		l.removeAdapter(order)
		l.busy = false
		l.nextReport = now.Add(backend.ReportLag)
	case backend.Lost:
		if !slices.Contains(l.unanswered, order) {
			l.unanswered = append(l.unanswered, order)
		}
		l.needsReport = true
		l.nextReport = now.Add(backend.ReportLag)
	case backend.Conflict, backend.Refused:
		l.pausedUntil = now.Add(conflictPause)
		l.needsReport = true
		l.nextReport = now.Add(backend.ReportLag)
	case backend.NotSent:
		l.pausedUntil = now.Add(conflictPause)
	}
}

func (l *Ledger) applyAccepted(order backend.Order, now, due time.Time) {
	l.sequence = order.Expected + 1
	l.dropObsolete()
	unit := order.Unit
	if unit.Adapter != "" {
		l.applyAcceptedAdapter(order, now)
		return
	}
	l.busy = true
	l.nextReport = due
	if soon := now.Add(maxReportInterval); due.After(soon) {
		l.nextReport = soon
	}
	if order.Action == backend.Load {
		l.models[unit.Model] = &Model{Loading: true, Due: due, Adapters: make(map[string]*Adapter)}
		return
	}
	if model := l.models[unit.Model]; model != nil {
		model.Unloading = true
		model.Due = due
	}
}

func (l *Ledger) applyAcceptedAdapter(order backend.Order, now time.Time) {
	model := l.models[order.Unit.Model]
	if model == nil {
		return
	}
	if order.Action == backend.Unload {
		l.applyAdapterUnload(model, order, now)
		return
	}
	model.Adapters[order.Unit.Adapter] = &Adapter{Loading: true, Due: now.Add(adapterLoadTime)}
	if l.nextReport.IsZero() || l.nextReport.After(now.Add(adapterLoadTime)) {
		l.nextReport = now.Add(adapterLoadTime + backend.ReportLag)
	}
}

// applyAdapterUnload records that an adapter is unloaded once no request uses it any more. The
// runner gets no other order until a report shows that, because its sequence number increases
// again.
func (l *Ledger) applyAdapterUnload(model *Model, order backend.Order, now time.Time) {
	if adapter := model.Adapters[order.Unit.Adapter]; adapter != nil {
		adapter.Unloading = true
	}
	l.needsReport = true
	l.nextReport = now.Add(backend.ReportLag)
}

// removeAdapter records that an adapter was unloaded immediately.
func (l *Ledger) removeAdapter(order backend.Order) {
	if order.Action != backend.Unload || order.Unit.Adapter == "" {
		return
	}
	if model := l.models[order.Unit.Model]; model != nil {
		delete(model.Adapters, order.Unit.Adapter)
	}
	l.needsReport = false
}

// CompleteAdapterLoads marks adapters as loaded whose load time has passed. It returns whether
// there were any.
func (l *Ledger) CompleteAdapterLoads(now time.Time) bool {
	completed := false
	for _, model := range l.models {
		for _, adapter := range model.Adapters {
			if adapter.Loading && !now.Before(adapter.Due) {
				adapter.Loading = false
				completed = true
			}
		}
	}
	return completed
}
