package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
)

// noteEnd notes that a runner ended, and which models it was loading then. mutex is held.
func (c *Controller) noteEnd(ledger *orders.Ledger, now time.Time) {
	// Orders since the last round count.
	c.ends.Follow(ledger)
	planned := c.eligible(ledger, eligible.Load{Service: c.Service}) == eligible.Draining
	for _, model := range c.ends.Ended(ledger.Runner.ID, planned, now) {
		until := c.ends.Paused(now)[model]
		c.Log.Info("runner ended as it loaded a model", "runner", ledger.Runner.ID, "model", model, "pausedMs", max(until.Sub(now), 0).Milliseconds())
		if !until.IsZero() {
			c.Decide("model/"+c.objectOf(model), "pause loads", "runners ended as they loaded it, the last was "+ledger.Runner.Name())
		}
	}
}

// tellPaused adds to the times of loads those of models whose loads rest, so that requests
// for them are told when to come back. mutex is held.
func (c *Controller) tellPaused(ready map[scheduler.Want]time.Duration, state *scheduler.State, now time.Time) {
	c.resting = make(map[string]bool)
	for unit := range state.Demand {
		until, paused := state.Paused[unit.Model]
		model := state.Engine.Models[unit.Model]
		if !paused || model == nil || c.held(unit.Model) {
			continue
		}
		c.resting[unit.Model] = true
		ready[scheduler.Want{Unit: backend.Unit{Model: unit.Model}}] = until.Sub(now) + model.LoadTime
	}
}

// held reports whether a runner holds a model. mutex is held.
func (c *Controller) held(model string) bool {
	for _, ledger := range c.ledgers {
		if held := ledger.Models()[model]; held != nil && !held.Coming && !held.Leaving {
			return true
		}
	}
	return false
}
