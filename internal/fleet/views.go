package fleet

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
	"lilacvane/internal/table"
)

// View is the lease holder's report on a runner.
type View struct {
	Runner string
	// Listed is the runner's entry in the platform's list, sent to a node that may have
	// skipped it and waits for what it holds; nil otherwise.
	Listed *backend.Runner
	Ready  []backend.Holding
	// Pending lists the units being loaded.
	Pending []PendingUnit
	// Silent is set while the runner does not answer the holder after nodes suspected it.
	Silent bool
}

// PendingUnit is a unit that is being loaded, with the time until it is expected.
type PendingUnit struct {
	Unit backend.Unit
	In   time.Duration
	// Homes are those of the requests for which the load is planned.
	Homes place.Homes
	// Firm is set if a planned load cannot complete any sooner.
	Firm bool
}

// view is a View as received at a time. pending is when each unit being loaded is expected.
type view struct {
	at      time.Time
	ready   map[backend.Unit]bool
	pending map[backend.Unit]time.Time
	silent  bool
}

// ApplyViews applies the views of a service's lease holder, whose list has revision
// listRevision.
func (f *Fleet) ApplyViews(views []View, listRevision table.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, view := range views {
		f.trackFromHolder(view.Listed, listRevision)
		if known := f.runners[view.Runner]; known != nil {
			known.view = f.newView(view)
			clear(known.refused)
		}
	}
	if len(views) > 0 {
		f.notify()
	}
}

func (f *Fleet) newView(reported View) *view {
	built := &view{at: f.now(), silent: reported.Silent, ready: unitsOf(reported.Ready), pending: make(map[backend.Unit]time.Time, len(reported.Pending))}
	for _, pending := range reported.Pending {
		built.pending[pending.Unit] = f.now().Add(pending.In)
	}
	return built
}

func unitsOf(models []backend.Holding) map[backend.Unit]bool {
	units := make(map[backend.Unit]bool, len(models))
	for _, holding := range models {
		units[backend.Unit{Model: holding.Model}] = true
		for _, adapter := range holding.Adapters {
			units[backend.Unit{Model: holding.Model, Adapter: adapter}] = true
		}
	}
	return units
}

// holds reports whether the runner is believed to hold the unit.
func (f *Fleet) holds(known *runner, unit backend.Unit) bool {
	if until, ok := known.refused[unit]; ok && f.now().Before(until) {
		return false
	}
	if known.view != nil && f.viewIsCurrent(known) {
		return known.view.ready[unit]
	}
	return known.units[unit]
}

// viewIsCurrent reports whether the holder's view of a runner takes precedence over the list:
// it is recent, or the list has not been updated since.
func (f *Fleet) viewIsCurrent(known *runner) bool {
	return f.now().Sub(known.view.at) < viewLifetime || !known.listedAt.After(known.view.at)
}
