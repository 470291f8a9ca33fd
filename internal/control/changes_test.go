package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/wire"
)

// newWatchedController returns a controller that the given number of nodes report to, of
// which only the first waits for a model.
func newWatchedController(nodes int) *Controller {
	c := NewController(Options{Log: logr.Discard()})
	c.token, c.version = 1, 1
	for i := range nodes {
		report := wire.SyncRequest{Node: fmt.Sprintf("n%d", i), Report: true}
		if i == 0 {
			report.Waiting = []wire.UnitWaiting{{Model: "hot", Count: 1}}
		}
		c.demand.addReport(report, time.Now())
	}
	return c
}

// watchDuration returns how long a node's watch is held when a model changes 100 ms after
// it began.
func watchDuration(t *testing.T, c *Controller, node, model string) time.Duration {
	time.AfterFunc(100*time.Millisecond, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.publish(model)
	})
	start := time.Now()
	c.waitForChange(t.Context(), wire.SyncRequest{Node: node, Token: 1, Version: 1, HoldMs: 600})
	return time.Since(start)
}

// TestChangesReachWaitingNodesAtOnce checks that a node learns at once of changes to a
// model that its requests wait for. Other changes are batched, for longer the more nodes
// there are: answering each of several hundred nodes at each change filled the holder's
// link.
func TestChangesReachWaitingNodesAtOnce(t *testing.T) {
	for _, c := range []struct {
		nodes int
		node  string
		model string
		after time.Duration
	}{
		{7, "n0", "hot", 100 * time.Millisecond},
		{7, "n1", "hot", 100 * time.Millisecond},
		{200, "n0", "hot", 100 * time.Millisecond},
		{200, "n0", "other", 500 * time.Millisecond},
		{200, "n1", "hot", 500 * time.Millisecond},
		{295, "n1", "hot", 600 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			assert.Equal(t, watchDuration(t, newWatchedController(c.nodes), c.node, c.model), c.after, "%+v", c)
		})
	}
}

// TestReportDuringWatch checks that a node that begins to wait for a model during a watch
// learns of its changes at once.
func TestReportDuringWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newWatchedController(295)
		time.AfterFunc(50*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.demand.addReport(wire.SyncRequest{Node: "n1", Report: true, Waiting: []wire.UnitWaiting{{Model: "hot", Count: 1}}}, time.Now())
			c.signalReport("n1")
		})
		assert.Equal(t, watchDuration(t, c, "n1", "hot"), 100*time.Millisecond)
	})
}

// TestYieldReachesAllNodesAtOnce checks that a change that concerns every node is not
// batched.
func TestYieldReachesAllNodesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newWatchedController(295)
		time.AfterFunc(100*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.publishToAll()
		})
		start := time.Now()
		c.waitForChange(t.Context(), wire.SyncRequest{Node: "n1", Token: 1, Version: 1, HoldMs: 600})
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
	})
}

// TestBestSpareLeavesTheHolderOut checks that the current holder's spare capacity does not
// count, since the next holder is another node.
func TestBestSpareLeavesTheHolderOut(t *testing.T) {
	c := newWatchedController(0)
	for node, spare := range map[string]float64{"self": 1, "small": 0.2, "other": 0.8} {
		c.demand.addReport(wire.SyncRequest{Node: node, Report: true, Spare: spare}, time.Now())
	}
	assert.Equal(t, c.demand.bestSpare("self"), 0.8)
	assert.Equal(t, c.demand.bestSpare("small"), 1.0)
}

// TestAnswerCostsItsChanges checks that among thousands of runners an answer visits only
// those that changed since the node's version, each once, and leaves out changes that the
// platform's list shows by now.
func TestAnswerCostsItsChanges(t *testing.T) {
	c := newHolder(5000)
	now := time.Now()
	for _, id := range []string{"r1", "r2", "r1"} {
		c.publishLedger(c.ledgers[id])
	}
	changed := c.changedSince(1, now)
	assert.Equal(t, len(changed), 2)
	assert.Equal(t, changed[0].Runner.ID, "r1")
	assert.Equal(t, len(c.changedSince(c.version, now)), 0)
	assert.Equal(t, len(c.changedSince(1, now.Add(2*changeLifetime))), 0)
	c.recordChange("r3", now.Add(2*changeLifetime))
	assert.Equal(t, len(c.recentChanges), 1)
}

// TestSummaryIsSharedByManyNodes checks that with many nodes the answers to several reports
// share one summary, and that with few nodes it is computed each time.
func TestSummaryIsSharedByManyNodes(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		nodes  int
		shared bool
	}{{4, false}, {985, true}} {
		c := newWatchedController(test.nodes)
		first := c.demand.summary("holder", now)
		assert.Equal(t, first.count, test.nodes)
		c.demand.addReport(wire.SyncRequest{Node: "another", Report: true, Spare: 1}, now)
		again := c.demand.summary("holder", now.Add(2*time.Millisecond))
		assert.Equal(t, again.count == test.nodes, test.shared)
	}
}

// BenchmarkAnswer measures the answer to one of 985 nodes by a holder of 10,000 runners.
func BenchmarkAnswer(b *testing.B) {
	c := newHolder(10_000)
	for i := range 985 {
		c.demand.addReport(wire.SyncRequest{Node: fmt.Sprintf("n%d", i), Address: fmt.Sprint("address-", i), Report: true}, time.Now())
	}
	request := wire.SyncRequest{Node: "n1", Report: true, Token: 1, Version: 1}
	b.ReportAllocs()
	for b.Loop() {
		c.buildResponse(request)
	}
}
