package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/feed"
	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// guiltyPart lets three runners crash under requests with a part, and a request without it succeed between.
func (g *group) guiltyPart(part poison.Identity) {
	for node := range 3 {
		g.crashUnderParts(1+node, []string{"r1", "r2", "r3"}[node], part)
		synctest.Wait()
		if node == 1 {
			g.nodes[g.order[5]].Controlled("s", []string{"other"})
			synctest.Wait()
		}
		time.Sleep(time.Second)
	}
}

// TestStartedNodeSentPartThatOthersRefuse: a node that started read from the table, or was told by another one
// that had done so, that a part is at the ends of three runners, but not that requests without it succeed. It
// sent what the other nodes refuse.
func TestStartedNodeSentPartThatOthersRefuse(t *testing.T) {
	part := poison.PartIdentity("s", "guilty")
	t.Run("reads the table", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 12)
			g.guiltyPart(part)
			row := g.nodes[g.order[0]].pendingWrites[part]
			assert.Assert(t, row != nil)
			value, err := wire.Encode(*row)
			assert.NilError(t, err)
			started := testQuarantine(&tableStub{rows: make(map[string]bool)})
			(*Handler)(started).ApplySnapshot([]feed.Row{{Key: part.String(), Value: value}}, 0)
			assert.Assert(t, blamed(started, part))
		})
	})
	t.Run("asks a node that read the table", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 12)
			g.guiltyPart(part)
			mark, _ := g.nodes[g.order[0]].marks.Find(part)
			value, err := wire.Encode(wire.PoisonRecord{Runners: mark.Runners, Runs: wireRuns(mark.Runs, time.Now())})
			assert.NilError(t, err)
			started := g.order[9]
			g.add(t, started)
			(*Handler)(g.nodes[started]).ApplySnapshot([]feed.Row{{Key: part.String(), Value: value}}, 0)
			g.introduce(started)
			synctest.Wait()
			assert.Assert(t, blamed(g.nodes[started], part))
		})
	})
	t.Run("lacks it in the row", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, 12)
			g.guiltyPart(part)
			holder := g.nodes[g.order[0]]
			holder.mutex.Lock()
			delete(holder.pendingWrites, part)
			holder.written[part] = writtenRow{}
			holder.repair()
			row := holder.pendingWrites[part]
			holder.mutex.Unlock()
			assert.Assert(t, row != nil && row.Controlled)
		})
	})
}
