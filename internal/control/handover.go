package control

import (
	"context"
	"time"
)

const (
	// handOverAfter is how long a holder is cut off from the runners until it gives the lease up: a
	// new holder gives no orders for the turn gap, so a moment without links costs less.
	handOverAfter = 300 * time.Millisecond
	// handOverTimeout bounds giving the lease up.
	handOverTimeout = time.Second
	// maxPathChecks bounds the paths that are checked together once one is broken, and
	// pathCheckInterval is the time between two such checks.
	maxPathChecks     = 8
	pathCheckInterval = time.Second
)

// checkPaths tries the paths to some other runners once one is broken, to find out whether this node
// is cut off from most. The caller holds mutex.
func (c *Controller) checkPaths(now time.Time) {
	if c.CheckPath == nil || c.Reach.Figures().Broken == 0 || now.Sub(c.pathsCheckedAt) < pathCheckInterval {
		return
	}
	c.pathsCheckedAt = now
	checked := 0
	for _, ledger := range c.ledgers {
		if checked++; checked > maxPathChecks {
			return
		}
		runner := ledger.Runner
		c.inFlight.Go(func() { c.CheckPath(runner) })
	}
}

// handOverIfCutOff gives the lease up if this node is cut off from the runners and others are not.
// It reports whether it does. The caller holds mutex.
func (c *Controller) handOverIfCutOff(ctx context.Context, now time.Time) bool {
	switch {
	case c.handingOver:
		return true
	case !c.Reach.CutOff() || c.demand.countReaching(c.Node, now) == 0:
		c.cutOffSince = time.Time{}
		return false
	case c.cutOffSince.IsZero():
		c.cutOffSince = now
		return false
	case now.Sub(c.cutOffSince) < handOverAfter:
		return false
	}
	c.handingOver = true
	c.Log.Info("control handed over", "token", c.token, "reason", "cut off from the runners", "cutOffMs", now.Sub(c.cutOffSince).Milliseconds())
	c.inFlight.Go(func() { c.handOver(ctx) })
	return true
}

func (c *Controller) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	c.Elector.HandOver(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handingOver, c.cutOffSince = false, time.Time{}
}

// countReaching returns how many nodes other than self reported recently and are not cut off from
// the runners.
func (d *demandTracker) countReaching(self string, now time.Time) int {
	count := 0
	for node, report := range d.reports {
		if node != self && !report.cutOff && now.Sub(report.at) <= d.lifetime() {
			count++
		}
	}
	return count
}
