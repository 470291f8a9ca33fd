package control

import (
	"time"

	"lilacvane/internal/eligible"
	"lilacvane/internal/orders"
	"lilacvane/internal/wire"
)

// With hundreds of nodes, each knows only some of the runners (fleet.Bound). A model that
// its requests wait for may be held by other runners, or may just have been loaded there.
// The holder sends the node these runners and what the platform's list says about them.

// maxHoldersSent is how many runners that hold a model are sent to a node that waits for it.
// With fewer, all nodes that wait for the same model would send requests to the same runner.
const maxHoldersSent = 8

// waitingModels returns the models that requests of a node wait for; none if the node knows
// all runners. The caller holds mutex.
func (c *Controller) waitingModels(request wire.SyncRequest) map[string]bool {
	if !request.Partial || c.ListRevision == nil {
		return nil
	}
	models := make(map[string]bool)
	for _, waiting := range c.demand.reports[request.Node].waiting {
		models[waiting.Model] = true
	}
	return models
}

// addListedRunners adds to a response what the platform lists about runners that hold or
// load a model the node waits for: to the runners already in the response, and to some more
// that hold such a model. The caller holds mutex.
func (c *Controller) addListedRunners(response *wire.SyncResponse, models map[string]bool, now time.Time) {
	if len(models) == 0 {
		return
	}
	// Read before the list, so that the list is at least as new as this revision.
	revision := c.ListRevision()
	response.ListRevision, response.ListEpoch = revision.Number(), revision.Epoch()
	holders := make(map[string]int)
	included := make(map[string]bool)
	for i := range response.Runners {
		view := &response.Runners[i]
		included[view.Runner] = true
		if holdsOrLoads(view, models) {
			view.Listed = c.listedRunner(view.Runner)
			countHeld(holders, view)
		}
	}
	for id, ledger := range c.ledgers {
		if included[id] || !c.shouldSend(ledger, models, holders) {
			continue
		}
		view := viewOf(id, ledger, now)
		view.Listed = c.listedRunner(id)
		countHeld(holders, &view)
		response.Runners = append(response.Runners, view)
	}
}

// shouldSend reports whether a runner is sent to a node that waits for the models: whether it
// holds one of them and not enough holders of that model are included yet. The caller holds
// mutex.
func (c *Controller) shouldSend(ledger *orders.Ledger, models map[string]bool, holders map[string]int) bool {
	if !ledger.Known() || ledger.Silent() {
		return false
	}
	for name, model := range ledger.Models() {
		if models[name] && !model.Loading && !model.Unloading && holders[name] < maxHoldersSent {
			return c.listedRunner(ledger.Runner.ID) != nil
		}
	}
	return false
}

// holdsOrLoads reports whether a runner holds or loads one of the models.
func holdsOrLoads(view *wire.RunnerView, models map[string]bool) bool {
	for _, held := range view.Ready {
		if models[held.Model] {
			return true
		}
	}
	for _, pending := range view.Pending {
		if models[pending.Model] {
			return true
		}
	}
	return false
}

// countHeld adds a runner to the number of holders of each model that it holds.
func countHeld(holders map[string]int, view *wire.RunnerView) {
	for _, held := range view.Ready {
		holders[held.Model]++
	}
}

// listedRunner returns what the platform lists about a runner; nil if it may not get new
// work.
func (c *Controller) listedRunner(id string) *wire.ListedRunner {
	runner, ok := c.Fleet.Find(id)
	if !ok || c.eligible(&orders.Ledger{Runner: runner}, eligible.Load{Service: c.Service}) != eligible.Yes {
		return nil
	}
	return &wire.ListedRunner{
		Born: runner.Born, Address: runner.Address, Zone: runner.Zone, Region: runner.Region, Build: runner.Build, Slots: runner.Slots, Revision: runner.Revision.Number(), Epoch: runner.Revision.Epoch(),
	}
}
