package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

// storeLoad is a load from the weight store in progress.
type storeLoad struct {
	model string
	// expected is the duration that was announced to nodes.
	expected time.Duration
}

// beginLoad records that a load from the weight store was accepted. The caller holds mutex.
func (c *Controller) beginLoad(runner string, step scheduler.Step, now time.Time) {
	engine := c.engine()
	if engine == nil || engine.Models[step.Unit.Model] == nil {
		return
	}
	c.storeLoads[runner] = storeLoad{model: step.Unit.Model, expected: step.Expected}
	c.store.Begin(runner, engine.Models[step.Unit.Model].LoadTime, now)
}

// updateStoreLoads records the loads from the weight store that ended, and those that an
// earlier holder may still have in progress. The caller holds mutex.
func (c *Controller) updateStoreLoads(now time.Time) {
	for runner, load := range c.storeLoads {
		ledger := c.ledgers[runner]
		switch {
		case ledger == nil || ledger.Models()[load.model] == nil:
			c.store.Drop(runner)
		case !ledger.Models()[load.model].Loading:
			c.endLoad(runner, load, now)
		default:
			c.updateDelay(ledger, load.model, now)
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

// updateDelay publishes the new expected time of a load that takes longer than announced, so
// that requests that cannot wait that long are not held. The caller holds mutex.
func (c *Controller) updateDelay(ledger *orders.Ledger, model string, now time.Time) {
	left := c.store.Remaining(ledger.Runner.ID, now)
	if left > 0 && ledger.Delay(model, now.Add(left)) {
		c.publishLedger(ledger)
	}
}

// endLoad records the end of a load, from which the store's capacity is estimated. The caller
// holds mutex.
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

// storeStatus returns the weight store's status as known to the holder. The caller holds
// mutex.
func (c *Controller) storeStatus() wire.StoreStatus {
	known := c.store.Estimate()
	return wire.StoreStatus{Service: c.Service, Limit: known.Limit, Capacity: known.Capacity, UnderWay: c.store.UnderWay(), Planned: len(c.planned)}
}

// Store returns the weight store's status; false if this node does not hold the lease.
func (c *Controller) Store() (wire.StoreStatus, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 {
		return wire.StoreStatus{}, false
	}
	return c.storeStatus(), true
}

// LearnStore records what the holder has learned about the weight store, so that this node
// can continue from there if it becomes the holder.
func (c *Controller) LearnStore(known weightstore.Estimate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 && known.Limit > 0 {
		c.knownStore = known
	}
}
