package control

import (
	"context"
	"slices"
	"time"

	"lilacvane/internal/orders"
	"lilacvane/internal/wire"
)

// answersPerSecond bounds the answers a second to watches that only bring news of
// models that their nodes do not wait for. An answer takes 1 to 5 kB in busy times;
// answered at each change, 295 nodes filled a link of 20 Mbit/s.
const answersPerSecond = 400

// tell lets nodes take over what changed: those that wait for one of the models at
// once, the others with the next gathered answer. mutex is held.
func (c *Controller) tell(models ...string) {
	c.version++
	for _, model := range models {
		c.news[model] = c.version
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// tellAll lets every node take over what changed at once. mutex is held.
func (c *Controller) tellAll() {
	c.tell()
	c.toldAll = c.version
	close(c.urgent)
	c.urgent = make(chan struct{})
}

// recentChange is one change of a runner's account.
type recentChange struct {
	runner  string
	version uint64
	at      time.Time
}

// noteRecent notes that the newest version changed a runner's account. mutex is held.
func (c *Controller) noteRecent(runner string, now time.Time) {
	old := 0
	for old < len(c.recent) && now.Sub(c.recent[old].at) >= recentView {
		old++
	}
	c.recent = append(c.recent[old:], recentChange{runner: runner, version: c.version, at: now})
}

// changedSince returns the accounts that changed lately and after a version, newest first: an
// answer costs what it tells, not a look at each runner. mutex is held.
func (c *Controller) changedSince(version uint64, now time.Time) []*orders.Ledger {
	var changed []*orders.Ledger
	for _, change := range slices.Backward(c.recent) {
		if change.version <= version || now.Sub(change.at) >= recentView {
			break
		}
		if ledger := c.ledgers[change.runner]; ledger != nil && ledger.Known() && ledger.Version == change.version {
			changed = append(changed, ledger)
		}
	}
	return changed
}

// reportChannel returns the channel that is closed when a node reports that requests
// wait. mutex is held.
func (c *Controller) reportChannel(node string) chan struct{} {
	if c.reported[node] == nil {
		c.reported[node] = make(chan struct{})
	}
	return c.reported[node]
}

// noteReport lets a node's watch look anew at what the node waits for. mutex is held.
func (c *Controller) noteReport(node string) {
	if c.reported[node] != nil {
		close(c.reported[node])
		delete(c.reported, node)
	}
}

// gatherTime is how long news are gathered for a node that does not wait for them:
// the more nodes there are, the longer, so that the holder's link is not filled.
func gatherTime(nodes int) time.Duration {
	return time.Second * time.Duration(nodes) / answersPerSecond
}

// concerns reports whether something changed since a node's account that it is to be
// told at once. mutex is held.
func (c *Controller) concerns(request wire.SyncRequest) bool {
	if c.token != request.Token || c.toldAll > request.Version {
		return true
	}
	for _, waiting := range c.demand.reports[request.Node].waiting {
		if c.news[waiting.Model] > request.Version {
			return true
		}
	}
	return false
}

// waitChange waits until there is something new for the node, at most for the
// time it names. News that do not concern the node are gathered for a while.
func (c *Controller) waitChange(ctx context.Context, request wire.SyncRequest) {
	if request.HoldMs <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(min(request.HoldMs, maximumHoldMs))*time.Millisecond)
	defer cancel()
	c.mutex.Lock()
	gather := time.NewTimer(gatherTime(len(c.demand.reports)))
	c.mutex.Unlock()
	defer gather.Stop()
	gathered := false
	for {
		c.mutex.Lock()
		news := c.concerns(request) || gathered && c.version > request.Version
		changed, urgent, reported := c.changed, c.urgent, c.reportChannel(request.Node)
		if !gathered && len(c.demand.reports[request.Node].waiting) == 0 {
			// Only the end of gathering, word for all nodes, or a report of this one
			// can matter.
			changed = nil
		}
		c.mutex.Unlock()
		if news {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-urgent:
		case <-reported:
		case <-changed:
		case <-gather.C:
			gathered = true
		}
	}
}
