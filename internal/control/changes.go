package control

import (
	"context"
	"slices"
	"time"

	"lilacvane/internal/orders"
	"lilacvane/internal/wire"
)

// answersPerSecond limits how many answers per second go to watches about changes of models
// that their nodes do not wait for. An answer takes 1 to 5 kB under load; when every change
// was answered, 295 nodes filled a 20 Mbit/s link.
const answersPerSecond = 400

// publish makes a change visible to the nodes: to those that wait for one of the models at
// once, to the others with their next batch. The caller holds mutex.
func (c *Controller) publish(models ...string) {
	c.version++
	for _, model := range models {
		c.modelVersions[model] = c.version
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// publishToAll makes a change visible to every node at once. The caller holds mutex.
func (c *Controller) publishToAll() {
	c.publish()
	c.broadcastVersion = c.version
	close(c.urgent)
	c.urgent = make(chan struct{})
}

// recentChange is one change of a runner's ledger.
type recentChange struct {
	runner  string
	version uint64
	at      time.Time
}

// recordChange records that the newest version changed a runner's ledger. The caller holds
// mutex.
func (c *Controller) recordChange(runner string, now time.Time) {
	old := 0
	for old < len(c.recentChanges) && now.Sub(c.recentChanges[old].at) >= changeLifetime {
		old++
	}
	c.recentChanges = append(c.recentChanges[old:], recentChange{runner: runner, version: c.version, at: now})
}

// changedSince returns the ledgers that changed recently and after a version, newest first.
// The cost of an answer thus depends on the number of changes, not of runners. The caller
// holds mutex.
func (c *Controller) changedSince(version uint64, now time.Time) []*orders.Ledger {
	var changed []*orders.Ledger
	for _, change := range slices.Backward(c.recentChanges) {
		if change.version <= version || now.Sub(change.at) >= changeLifetime {
			break
		}
		if ledger := c.ledgers[change.runner]; ledger != nil && ledger.Known() && ledger.Version == change.version {
			changed = append(changed, ledger)
		}
	}
	return changed
}

// reportSignal returns the channel that is closed when a node reports waiting requests. The
// caller holds mutex.
func (c *Controller) reportSignal(node string) chan struct{} {
	if c.reportSignals[node] == nil {
		c.reportSignals[node] = make(chan struct{})
	}
	return c.reportSignals[node]
}

// signalReport makes a node's watch check again what the node waits for. The caller holds
// mutex.
func (c *Controller) signalReport(node string) {
	if c.reportSignals[node] != nil {
		close(c.reportSignals[node])
		delete(c.reportSignals, node)
	}
}

// batchDelay returns how long changes are batched for a node that does not wait for them.
// It grows with the number of nodes, so that the holder's link is not saturated.
func batchDelay(nodes int) time.Duration {
	return time.Second * time.Duration(nodes) / answersPerSecond
}

// hasRelevantChange reports whether a change after the node's version must be sent to it at
// once. The caller holds mutex.
func (c *Controller) hasRelevantChange(request wire.SyncRequest) bool {
	if c.token != request.Token || c.broadcastVersion > request.Version {
		return true
	}
	for _, waiting := range c.demand.reports[request.Node].waiting {
		if c.modelVersions[waiting.Model] > request.Version {
			return true
		}
	}
	return false
}

// waitForChange waits until there is something new for the node, at most as long as the
// request allows. Changes that do not concern the node are batched.
func (c *Controller) waitForChange(ctx context.Context, request wire.SyncRequest) {
	if request.HoldMs <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(min(request.HoldMs, maximumHoldMs))*time.Millisecond)
	defer cancel()
	c.mutex.Lock()
	batch := time.NewTimer(batchDelay(len(c.demand.reports)))
	c.mutex.Unlock()
	defer batch.Stop()
	batched := false
	for {
		c.mutex.Lock()
		relevant := c.hasRelevantChange(request) || batched && c.version > request.Version
		changed, urgent, reported := c.changed, c.urgent, c.reportSignal(request.Node)
		if !batched && len(c.demand.reports[request.Node].waiting) == 0 {
			// Only the end of the batch, a change that concerns all nodes, or a report of this node
			// can end the wait.
			changed = nil
		}
		c.mutex.Unlock()
		if relevant {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-urgent:
		case <-reported:
		case <-changed:
		case <-batch.C:
			batched = true
		}
	}
}
