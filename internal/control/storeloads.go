package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

// storeLoad is a load from the weight store under way.
type storeLoad struct {
	model string
	// expected is how long nodes were told that it takes.
	expected time.Duration
}

// beginLoad notes that a load from the weight store was accepted. mutex is held.
func (c *Controller) beginLoad(runner string, step scheduler.Step, now time.Time) {
	engine := c.engine()
	if engine == nil || engine.Models[step.Unit.Model] == nil {
		return
	}
	c.storeLoads[runner] = storeLoad{model: step.Unit.Model, expected: step.Expected}
	c.store.Begin(runner, engine.Models[step.Unit.Model].LoadTime, now)
}

// followLoads notes the loads from the weight store that ended, and those that an
// earlier holder may have under way. mutex is held.
func (c *Controller) followLoads(now time.Time) {
	for runner, load := range c.storeLoads {
		ledger := c.ledgers[runner]
		switch {
		case ledger == nil || ledger.Models()[load.model] == nil:
			c.store.Drop(runner)
		case !ledger.Models()[load.model].Coming:
			c.endLoad(runner, load, now)
		default:
			c.delayLoad(ledger, load.model, now)
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
	c.store.Follow(foreign, now)
}

// delayLoad tells nodes when a load takes longer than they were told: requests that would
// be too late for it are not held. mutex is held.
func (c *Controller) delayLoad(ledger *orders.Ledger, model string, now time.Time) {
	left := c.store.Left(ledger.Runner.ID, now)
	if left > 0 && ledger.Delay(model, now.Add(left)) {
		c.changedView(ledger)
	}
}

func (c *Controller) endLoad(runner string, load storeLoad, now time.Time) {
	before := c.store.Estimate()
	took := c.store.End(runner, backend.ReportLag, now)
	after := c.store.Estimate()
	c.Log.Info("load from store ended", "runner", runner, "model", load.model, "tookMs", took.Milliseconds(),
		"expectedMs", load.expected.Milliseconds(),
		"underWay", c.store.UnderWay(), "limitBefore", before.Limit, "limit", after.Limit, "capacity", after.Capacity)
	if c.ObserveLoad != nil {
		c.ObserveLoad(took, load.expected)
	}
}

// storeStatus describes the weight store as the holder knows it. mutex is held.
func (c *Controller) storeStatus() wire.StoreStatus {
	known := c.store.Estimate()
	return wire.StoreStatus{Service: c.Service, Limit: known.Limit, Capacity: known.Capacity, UnderWay: c.store.UnderWay(), Planned: len(c.planned)}
}

// Store describes the weight store; false when this node does not hold the lease.
func (c *Controller) Store() (wire.StoreStatus, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 {
		return wire.StoreStatus{}, false
	}
	return c.storeStatus(), true
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
