package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
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

// loadEnds is what the next holder goes on from. mutex is held.
func (c *Controller) loadEnds(now time.Time) []wire.LoadEnds {
	var ends []wire.LoadEnds
	for _, known := range c.ends.Known() {
		ends = append(ends, wire.LoadEnds{Model: known.Model, Count: known.Count, PauseMs: max(known.Until.Sub(now), 0).Milliseconds()})
	}
	return ends
}

// LearnLoadEnds takes over what the holder knows of runners that ended as they loaded models, to
// go on from when this node becomes the holder.
func (c *Controller) LearnLoadEnds(told []wire.LoadEnds) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token != 0 {
		return
	}
	now := time.Now()
	c.knownEnds = c.knownEnds[:0]
	for _, one := range told {
		pause := min(max(time.Duration(one.PauseMs)*time.Millisecond, 0), orders.LongestLoadPause)
		c.knownEnds = append(c.knownEnds, orders.ModelEnds{Model: one.Model, Count: max(one.Count, 0), Until: now.Add(pause)})
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
