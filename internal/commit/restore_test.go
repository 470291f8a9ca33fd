package commit

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// list returns all rows in any order.
func (f *faultyTable) list() []feed.Row {
	var rows []feed.Row
	for key, row := range f.rows {
		rows = append(rows, feed.Row{Key: key, Value: row.Value, Revision: row.Revision})
	}
	return rows
}

// restorableNode is a node with its own catalog.
type restorableNode struct {
	*Committer
	catalog  *catalog.Catalog
	follower *Follower
}

func newRestorableNode(rows *faultyTable) *restorableNode {
	n := &restorableNode{catalog: catalog.New()}
	n.Committer = New(rows, n.catalog, &table.Epochs{}, logr.Discard())
	n.follower = NewFollower(n.catalog, func(feed.Row, error) {}, logr.Discard())
	n.follower.ApplySnapshot(rows.list(), 0)
	return n
}

// write sets an object and returns the operation.
func (n *restorableNode) write(t *testing.T, operation, object string, expected uint64) Result {
	t.Helper()
	result, err := n.Apply(t.Context(), Operation{ID: operation, Changes: []Change{{Key: objectKey(object), Expected: expected, Spec: []byte(`"` + operation + `"`)}}})
	assert.NilError(t, err)
	n.catalog.Apply([]wire.Entry{*result.Entry})
	return result
}

func objectKey(name string) api.Key { return api.Key{Kind: api.KindPolicy, Name: name} }

// specs returns the objects of a catalog.
func specs(c *catalog.Catalog) map[string]string {
	found := make(map[string]string)
	for _, object := range c.List(api.KindPolicy) {
		found[object.Name] = string(object.Spec)
	}
	return found
}

// copyRows returns the content of a table.
func (f *faultyTable) copyRows() map[string]table.Row {
	rows := make(map[string]table.Row)
	for key, row := range f.rows {
		rows[key] = row
	}
	return rows
}

// TestAcknowledgedOperationWasLostByRestore: a store returned with a copy that lacked operations which had
// been acknowledged, and no node committed them again.
func TestAcknowledgedOperationWasLostByRestore(t *testing.T) {
	rows := &faultyTable{rows: make(map[string]table.Row)}
	first := newRestorableNode(rows)
	first.write(t, "a", "x", 0)
	older := rows.copyRows()
	first.write(t, "b", "y", 0)
	first.write(t, "c", "x", 1)
	complete := specs(first.catalog)
	second := newRestorableNode(rows)
	rows.rows = older
	restored, diverged, err := first.Restore(t.Context(), first.catalog.Entries())
	assert.NilError(t, err)
	assert.Assert(t, restored == 2 && !diverged)
	restored, diverged, err = second.Restore(t.Context(), second.catalog.Entries())
	assert.NilError(t, err)
	assert.Assert(t, restored == 0 && !diverged)
	third := newRestorableNode(rows)
	assert.DeepEqual(t, specs(third.catalog), complete)
	assert.Equal(t, third.catalog.Revision(), first.catalog.Revision())
	result, found, err := third.Find(t.Context(), "c")
	assert.Assert(t, err == nil && found && result.Revision == 3)
}

// TestRestoredLogKeepsOperationsOfBothHistories covers an operation that was committed under the revision of
// a lost one: the lost one gets a new revision, unless its object has changed.
func TestRestoredLogKeepsOperationsOfBothHistories(t *testing.T) {
	rows := &faultyTable{rows: make(map[string]table.Row)}
	first := newRestorableNode(rows)
	first.write(t, "a", "x", 0)
	older := rows.copyRows()
	first.write(t, "lost", "y", 0)
	first.write(t, "overwritten", "x", 1)
	rows.rows = older
	newcomer := newRestorableNode(rows)
	newcomer.write(t, "later", "x", 1)
	first.follower.ApplyRestored(rows.list())
	assert.Equal(t, first.catalog.Revision(), uint64(3), "entries of the other history are kept back")
	_, diverged, err := first.Restore(t.Context(), first.catalog.Entries())
	assert.NilError(t, err)
	assert.Assert(t, diverged)
	third := newRestorableNode(rows)
	assert.DeepEqual(t, specs(third.catalog), map[string]string{"x": `"later"`, "y": `"lost"`})
	head, objects := first.follower.parse(rows.list())
	entries, _ := first.follower.entries(rows.list())
	first.catalog.Reset(head, objects, entries)
	assert.DeepEqual(t, specs(first.catalog), specs(third.catalog))
}

// TestNothingIsCommittedWhileLogIsRestored checks that an operation waits, and is not accepted if its time
// is over first.
func TestNothingIsCommittedWhileLogIsRestored(t *testing.T) {
	rows := &faultyTable{rows: make(map[string]table.Row)}
	n := newRestorableNode(rows)
	n.timeout = 10 * n.retryDelay
	n.restoring.Store(true)
	_, err := n.Apply(context.Background(), Operation{ID: "held", Changes: []Change{{Key: objectKey("x"), Spec: []byte("1")}}})
	assert.ErrorContains(t, err, "not accepted")
	assert.Equal(t, len(rows.rows), 0, fmt.Sprint(rows.rows))
	n.restoring.Store(false)
	n.write(t, "free", "x", 0)
}

// TestLogThatIsNotKeptBackToTheCopyIsReadAnew covers a copy that is older than the entries that a node keeps.
func TestLogThatIsNotKeptBackToTheCopyIsReadAnew(t *testing.T) {
	rows := &faultyTable{rows: make(map[string]table.Row)}
	n := newRestorableNode(rows)
	older := rows.copyRows()
	n.write(t, "a", "x", 0)
	n.write(t, "b", "y", 0)
	rows.rows = older
	restored, diverged, err := n.Restore(t.Context(), n.catalog.Entries()[1:])
	assert.NilError(t, err)
	assert.Assert(t, restored == 0 && diverged)
}
