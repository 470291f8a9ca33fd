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

// watchers is a controller that some nodes report to, of which only the first waits
// for a model.
func watchers(nodes int) *Controller {
	c := NewController(Options{Log: logr.Discard()})
	c.token, c.version = 1, 1
	for i := range nodes {
		report := wire.SyncRequest{Node: fmt.Sprintf("n%d", i), Report: true}
		if i == 0 {
			report.Waiting = []wire.UnitWaiting{{Model: "hot", Count: 1}}
		}
		c.demand.report(report, time.Now())
	}
	return c
}

// toldAfter is how long a node's watch is held when a model changes 100 ms after it
// began.
func toldAfter(t *testing.T, c *Controller, node, model string) time.Duration {
	time.AfterFunc(100*time.Millisecond, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.tell(model)
	})
	start := time.Now()
	c.waitChange(t.Context(), wire.SyncRequest{Node: node, Token: 1, Version: 1, HoldMs: 600})
	return time.Since(start)
}

// TestNewsReachWaitingNodesAtOnce: a node hears at once of a model that its requests
// wait for. Other news are gathered, the longer the more nodes there are: an answer
// to each of some hundred nodes at each change filled the holder's link.
func TestNewsReachWaitingNodesAtOnce(t *testing.T) {
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
			assert.Equal(t, toldAfter(t, watchers(c.nodes), c.node, c.model), c.after, "%+v", c)
		})
	}
}

// TestReportTurnsAWatchToNews: a node that begins to wait during a watch hears of the
// model at once.
func TestReportTurnsAWatchToNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := watchers(295)
		time.AfterFunc(50*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.demand.report(wire.SyncRequest{Node: "n1", Report: true, Waiting: []wire.UnitWaiting{{Model: "hot", Count: 1}}}, time.Now())
			c.noteReport("n1")
		})
		assert.Equal(t, toldAfter(t, c, "n1", "hot"), 100*time.Millisecond)
	})
}

// TestYieldReachesAllNodesAtOnce: word that concerns every node is not gathered.
func TestYieldReachesAllNodesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := watchers(295)
		time.AfterFunc(100*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.tellAll()
		})
		start := time.Now()
		c.waitChange(t.Context(), wire.SyncRequest{Node: "n1", Token: 1, Version: 1, HoldMs: 600})
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
	})
}

// TestBestSpareLeavesTheHolderOut: the next holder is another node, so what the present
// one has does not count.
func TestBestSpareLeavesTheHolderOut(t *testing.T) {
	c := watchers(0)
	for node, spare := range map[string]float64{"self": 1, "small": 0.2, "other": 0.8} {
		c.demand.report(wire.SyncRequest{Node: node, Report: true, Spare: spare}, time.Now())
	}
	assert.Equal(t, c.demand.bestSpare("self"), 0.8)
	assert.Equal(t, c.demand.bestSpare("small"), 1.0)
}

// TestAnswerCostsItsChanges: of thousands of runners an answer looks at those that changed since
// the node's version, each once, and not at what the platform's list tells by now.
func TestAnswerCostsItsChanges(t *testing.T) {
	c := holderOf(5000)
	now := time.Now()
	for _, id := range []string{"r1", "r2", "r1"} {
		c.changedView(c.ledgers[id])
	}
	told := c.changedSince(1, now)
	assert.Equal(t, len(told), 2)
	assert.Equal(t, told[0].Runner.ID, "r1")
	assert.Equal(t, len(c.changedSince(c.version, now)), 0)
	assert.Equal(t, len(c.changedSince(1, now.Add(2*recentView))), 0)
	c.noteRecent("r3", now.Add(2*recentView))
	assert.Equal(t, len(c.recent), 1)
}

// TestSummaryStandsForMany: the answers to many reports share one summary of the nodes; that
// of few nodes is made anew each time.
func TestSummaryStandsForMany(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		nodes  int
		shared bool
	}{{4, false}, {985, true}} {
		c := watchers(test.nodes)
		first := c.demand.summary("holder", now)
		assert.Equal(t, first.count, test.nodes)
		c.demand.report(wire.SyncRequest{Node: "another", Report: true, Spare: 1}, now)
		again := c.demand.summary("holder", now.Add(2*time.Millisecond))
		assert.Equal(t, again.count == test.nodes, test.shared)
	}
}

// BenchmarkAnswer: the answer to one of 985 nodes, by a holder of 10,000 runners.
func BenchmarkAnswer(b *testing.B) {
	c := holderOf(10_000)
	for i := range 985 {
		c.demand.report(wire.SyncRequest{Node: fmt.Sprintf("n%d", i), Address: fmt.Sprint("address-", i), Report: true}, time.Now())
	}
	request := wire.SyncRequest{Node: "n1", Report: true, Token: 1, Version: 1}
	b.ReportAllocs()
	for b.Loop() {
		c.account(request)
	}
}
