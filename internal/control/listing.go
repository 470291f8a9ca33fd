package control

import (
	"time"

	"lilacvane/internal/eligible"
	"lilacvane/internal/orders"
	"lilacvane/internal/wire"
)

// A node of hundreds knows only some of the runners (fleet.Bound). What it waits for may be held,
// or just have been loaded, by others: the holder tells it where, and what the platform lists of
// these runners.

// listedForWaiting is how many runners that hold a model a node that waits for it is told of:
// with fewer the nodes that wait for the same one would meet at one runner.
const listedForWaiting = 8

// waitsFor returns the models that requests of a node wait for; none when the node knows all
// runners. mutex is held.
func (c *Controller) waitsFor(request wire.SyncRequest) map[string]bool {
	if !request.Partial || c.ListRevision == nil {
		return nil
	}
	models := make(map[string]bool)
	for _, waiting := range c.demand.reports[request.Node].waiting {
		models[waiting.Model] = true
	}
	return models
}

// listForWaiting adds what is listed of runners at which a node's models are, or will be: to the
// accounts of a response, and accounts of some others that hold them. mutex is held.
func (c *Controller) listForWaiting(response *wire.SyncResponse, models map[string]bool, now time.Time) {
	if len(models) == 0 {
		return
	}
	// Before the list is looked at: what is listed is at least as new.
	response.ListRevision = c.ListRevision()
	told := make(map[string]int)
	there := make(map[string]bool)
	for i := range response.Runners {
		view := &response.Runners[i]
		there[view.Runner] = true
		if concerned(view, models) {
			view.Listed = c.listed(view.Runner)
			countHeld(told, view)
		}
	}
	for id, ledger := range c.ledgers {
		if there[id] || !c.tellsHolder(ledger, models, told) {
			continue
		}
		view := viewOf(id, ledger, now)
		view.Listed = c.listed(id)
		countHeld(told, &view)
		response.Runners = append(response.Runners, view)
	}
}

// tellsHolder reports whether a node that waits for models is to be told of a runner that holds
// one of them. mutex is held.
func (c *Controller) tellsHolder(ledger *orders.Ledger, models map[string]bool, told map[string]int) bool {
	if !ledger.Known() || ledger.Silent() {
		return false
	}
	for name, model := range ledger.Models() {
		if models[name] && !model.Coming && !model.Leaving && told[name] < listedForWaiting {
			return c.listed(ledger.Runner.ID) != nil
		}
	}
	return false
}

// concerned reports whether a runner holds or loads one of the models.
func concerned(view *wire.RunnerView, models map[string]bool) bool {
	for _, held := range view.Ready {
		if models[held.Model] {
			return true
		}
	}
	for _, coming := range view.Coming {
		if models[coming.Model] {
			return true
		}
	}
	return false
}

// countHeld counts a runner for each model that it holds.
func countHeld(told map[string]int, view *wire.RunnerView) {
	for _, held := range view.Ready {
		told[held.Model]++
	}
}

// listed is what the platform lists of a runner; nil when nothing new may go there.
func (c *Controller) listed(id string) *wire.ListedRunner {
	runner, ok := c.Fleet.Find(id)
	if !ok || c.eligible(&orders.Ledger{Runner: runner}, eligible.Load{Service: c.Service}) != eligible.Yes {
		return nil
	}
	return &wire.ListedRunner{
		Born: runner.Born, Address: runner.Address, Zone: runner.Zone, Region: runner.Region, Slots: runner.Slots, Revision: runner.Revision,
	}
}
