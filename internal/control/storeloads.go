package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/weightstore"
)

// beginLoad notes that a load from the weight store was accepted. mutex is held.
func (c *Controller) beginLoad(runner string, step scheduler.Step, now time.Time) {
	engine := c.engine()
	if engine == nil || engine.Models[step.Unit.Model] == nil {
		return
	}
	c.storeLoads[runner] = step.Unit.Model
	c.store.Begin(runner, engine.Models[step.Unit.Model].LoadTime, now)
}

// followLoads notes the loads from the weight store that ended, and those that an
// earlier holder may have under way. mutex is held.
func (c *Controller) followLoads(now time.Time) {
	for runner, model := range c.storeLoads {
		ledger := c.ledgers[runner]
		switch {
		case ledger == nil || ledger.Models()[model] == nil:
			c.store.Drop(runner, now)
		case !ledger.Models()[model].Coming:
			c.endLoad(runner, model, ledger, now)
		default:
			continue
		}
		delete(c.storeLoads, runner)
	}
	foreign := 0
	for _, ledger := range c.ledgers {
		if ledger.ForeignWork() {
			foreign++
		}
	}
	c.store.SetForeign(foreign, now)
}

func (c *Controller) endLoad(runner, model string, ledger *orders.Ledger, now time.Time) {
	before := c.store.Estimate()
	took := c.store.End(runner, backend.ReportLag, now)
	after := c.store.Estimate()
	c.Log.Info("load from store ended", "runner", runner, "model", model, "tookMs", took.Milliseconds(),
		"underWay", c.store.UnderWay(), "limitBefore", before.Limit, "limit", after.Limit, "capacity", after.Capacity)
}

// LearnStore takes over what the holder has learned of the weight store, to go on
// from when this node becomes the holder.
func (c *Controller) LearnStore(known weightstore.Estimate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 && known.Limit > 0 {
		c.known = known
	}
}
