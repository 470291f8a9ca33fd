package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// secondHolder has one node release the lease and another one act under it.
func secondHolder(t *testing.T, w *cluster) (holder *Elector, token uint64) {
	ctx := context.Background()
	w.nodes[0].step(ctx)
	w.nodes[0].Release(ctx)
	holder = w.nodes[1]
	for !holder.Acting() {
		holder.step(ctx)
		w.now = w.now.Add(testInterval)
	}
	token, ok := holder.Act()
	assert.Assert(t, ok)
	return holder, token
}

// TestTwoNodesActedUnderOneTokenAfterRestore: the store returned with a copy that lacked the newest holder,
// and the next one took its token and its turn.
func TestTwoNodesActedUnderOneTokenAfterRestore(t *testing.T) {
	w := newCluster(2)
	ctx := context.Background()
	_, lost := secondHolder(t, w)
	w.table.restore(len(w.table.rows) - 2)
	restarted := w.start(0)
	began := w.now
	for !restarted.Acting() {
		restarted.step(ctx)
		w.now = w.now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, w.now.Sub(began) >= testValidity+testGap)
	token, ok := restarted.Act()
	assert.Assert(t, ok && token > lost, "token %d after %d", token, lost)
}

// TestHolderGoesOnThroughRestore checks that a holder whose lease is valid keeps it, and its token, though
// the copy lacks its last renewals or names an earlier holder.
func TestHolderGoesOnThroughRestore(t *testing.T) {
	for lost := range 4 {
		w := newCluster(2)
		ctx := context.Background()
		second, token := secondHolder(t, w)
		w.table.restore(lost)
		for range 20 {
			w.now = w.now.Add(testInterval)
			second.step(ctx)
			w.nodes[0].step(ctx)
			again, acts := second.Act()
			assert.Assert(t, acts && again == token, "%d writes lost", lost)
		}
	}
}
