package fleet

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// View is the control holder's account of a runner.
type View struct {
	Runner string
	// Listed is what the platform lists of the runner, told to a node that may have passed it
	// over and waits for what it holds; nil otherwise.
	Listed *backend.Runner
	Ready  []backend.Holding
	// Coming lists units being loaded.
	Coming []Coming
	// Silent is set while the runner does not answer the holder, after nodes
	// suspected it.
	Silent bool
}

// Coming is a unit that is being loaded and the time until it is expected.
type Coming struct {
	Unit backend.Unit
	In   time.Duration
	// Homes are those of the requests that a planned load is for.
	Homes place.Homes
	// Firm is set where a planned load cannot be sooner.
	Firm bool
}

type view struct {
	at     time.Time
	ready  map[backend.Unit]bool
	coming map[backend.Unit]time.Time
	silent bool
}

// ApplyViews takes over accounts of a service's control holder, whose list is of listRevision.
func (f *Fleet) ApplyViews(views []View, listRevision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, account := range views {
		f.admit(account.Listed, listRevision)
		if known := f.runners[account.Runner]; known != nil {
			known.view = f.newView(account)
			clear(known.refused)
		}
	}
	if len(views) > 0 {
		f.notify()
	}
}

func (f *Fleet) newView(account View) *view {
	taken := &view{at: f.now(), silent: account.Silent, ready: unitsOf(account.Ready), coming: make(map[backend.Unit]time.Time, len(account.Coming))}
	for _, coming := range account.Coming {
		taken.coming[coming.Unit] = f.now().Add(coming.In)
	}
	return taken
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
	if known.view != nil && f.viewCounts(known) {
		return known.view.ready[unit]
	}
	return known.units[unit]
}

// viewCounts reports whether the holder's account of a runner goes before the
// list's: it is young, or the list told nothing since.
func (f *Fleet) viewCounts(known *runner) bool {
	return f.now().Sub(known.view.at) < viewLifetime || !known.listedAt.After(known.view.at)
}
