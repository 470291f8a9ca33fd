package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
)

// recordEnd records that a runner ended and which models it was loading at that time. The
// caller holds mutex.
func (c *Controller) recordEnd(ledger *orders.Ledger, now time.Time) {
	// Include orders sent since the last round.
	c.loadCrashes.Follow(ledger)
	planned := c.eligible(ledger, eligible.Load{Service: c.Service}) == eligible.Draining
	for _, model := range c.loadCrashes.RunnerEnded(ledger.Runner.ID, planned, now) {
		until := c.loadCrashes.Paused(now)[model]
		c.Log.Info("runner ended as it loaded a model", "runner", ledger.Runner.ID, "model", model, "pausedMs", max(until.Sub(now), 0).Milliseconds())
		if !until.IsZero() {
			c.RecordDecision("model/"+c.objectName(model), "pause loads", "runners ended as they loaded it, the last was "+ledger.Runner.Name())
		}
	}
}

// loadCrashCounts returns the counts that the next holder continues from. The caller holds
// mutex.
func (c *Controller) loadCrashCounts(now time.Time) []wire.ModelCrashes {
	var counts []wire.ModelCrashes
	for _, known := range c.loadCrashes.Known() {
		counts = append(counts, wire.ModelCrashes{Model: known.Model, Count: known.Count, PauseMs: max(known.Until.Sub(now), 0).Milliseconds()})
	}
	return counts
}

// LearnLoadCrashes records what the holder knows about runners that ended while they loaded
// models, so that this node can continue from there if it becomes the holder.
func (c *Controller) LearnLoadCrashes(counts []wire.ModelCrashes) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token != 0 {
		return
	}
	now := time.Now()
	c.knownLoadCrashes = c.knownLoadCrashes[:0]
	for _, one := range counts {
		pause := min(max(time.Duration(one.PauseMs)*time.Millisecond, 0), orders.LongestLoadPause)
		c.knownLoadCrashes = append(c.knownLoadCrashes, orders.ModelCrashes{Model: one.Model, Count: max(one.Count, 0), Until: now.Add(pause)})
	}
}

// addPausedLoads adds models whose loads are paused to the expected load times, so that
// callers are told when to come back. The caller holds mutex.
func (c *Controller) addPausedLoads(ready map[scheduler.Want]time.Duration, state *scheduler.State, now time.Time) {
	c.pausedModels = make(map[string]bool)
	for unit := range state.Demand {
		until, paused := state.Paused[unit.Model]
		model := state.Engine.Models[unit.Model]
		if !paused || model == nil || c.holdsModel(unit.Model) {
			continue
		}
		c.pausedModels[unit.Model] = true
		ready[scheduler.Want{Unit: backend.Unit{Model: unit.Model}}] = until.Sub(now) + model.LoadTime
	}
}

// holdsModel reports whether any runner holds a model. The caller holds mutex.
func (c *Controller) holdsModel(model string) bool {
	for _, ledger := range c.ledgers {
		if held := ledger.Models()[model]; held != nil && !held.Loading && !held.Unloading {
			return true
		}
	}
	return false
}
