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

// written lets the nodes write the rows that they queued, and returns that of a request by each node that wrote it.
func (g *group) written(t *testing.T, request poison.Identity) (values [][]byte) {
	t.Helper()
	for _, address := range g.order {
		rows := g.nodes[address].Rows.(*tableStub)
		rows.down = false
		_, err := g.nodes[address].write(t.Context())
		assert.NilError(t, err)
		if rows.rows[request.String()] {
			values = append(values, rows.values[request.String()])
		}
	}
	assert.Assert(t, len(values) > 0)
	return values
}

// checkControlled checks that all rows say that a part was controlled.
func checkControlled(t *testing.T, values [][]byte) {
	t.Helper()
	for _, value := range values {
		var row wire.PoisonRecord
		assert.NilError(t, wire.Decode(value, "store", &row))
		assert.Assert(t, row.Controlled)
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
			value := g.written(t, part)[0]
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
			holder.mutex.Unlock()
			checkControlled(t, g.written(t, part))
		})
	})
}

// TestLateRowForgotThatAPartWasControlled: a node wrote the row of a part once the store was back, as the part was known
// when the row was queued, over the row of a node that had seen it controlled.
func TestLateRowForgotThatAPartWasControlled(t *testing.T) {
	part := poison.PartIdentity("s", "guilty")
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		for node := range 2 {
			g.crashUnderParts(1+node, []string{"r1", "r2"}[node], part)
			synctest.Wait()
			time.Sleep(time.Second)
		}
		g.nodes[g.order[5]].Controlled("s", []string{"other"})
		synctest.Wait()
		checkControlled(t, g.written(t, part))
	})
}
