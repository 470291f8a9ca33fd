package commit

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/catalog"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

// TestDamagedLogEntryHidLaterOnes checks that a node follows later changes of objects past a damaged entry of the
// log: one that starts, and one that read the earlier entries before.
func TestDamagedLogEntryHidLaterOnes(t *testing.T) {
	for name, value := range map[string]string{"garbage": "\xff", "number": "1e400", "empty": "", "other": `{"revision":9000000000000000000}`} {
		rows := &faultyTable{rows: make(map[string]table.Row)}
		writer := newRestorableNode(rows)
		writer.write(t, "a", "x", 0)
		reader := newRestorableNode(rows)
		writer.write(t, "b", "y", 0)
		damaged := rows.rows[logKey(2)]
		damaged.Value = []byte(value)
		rows.rows[logKey(2)] = damaged
		writer.write(t, "c", "z", 0)
		want := map[string]string{"x": `"a"`, "y": `"b"`, "z": `"c"`}
		reader.follower.ApplyChanges(rows.list())
		if reader.follower.TakeDamaged() {
			reader.follower.ApplySnapshot(rows.list(), 0)
		}
		assert.DeepEqual(t, specs(reader.catalog), want)
		assert.Equal(t, reader.catalog.Revision(), uint64(3), name)
		started := newRestorableNode(rows)
		assert.DeepEqual(t, specs(started.catalog), want)
		writer.write(t, "d", "x", 1)
		for _, n := range []*restorableNode{reader, started} {
			n.follower.ApplyChanges(rows.list())
			assert.Equal(t, n.catalog.Revision(), uint64(4), name)
		}
	}
}

// TestOddHeadEndedTheLog checks that a head beyond the entries, or one that is no number, does not end the catalog
// of a node.
func TestOddHeadEndedTheLog(t *testing.T) {
	for _, head := range []string{"18446744073709551615", "1e400", "-1", `"7"`, "\xff"} {
		rows := &faultyTable{rows: make(map[string]table.Row)}
		writer := newRestorableNode(rows)
		writer.write(t, "a", "x", 0)
		listed := rows.list()
		for i := range listed {
			switch listed[i].Key {
			case keyHead:
				listed[i].Value = []byte(head)
			case logKey(1): // as if the first entries were trimmed
				listed[i].Key, listed[i].Value = logKey(5), []byte(`{"revision":5}`)
			}
		}
		read := catalog.New()
		follower := NewFollower(read, func(feed.Row, error) {}, logr.Discard())
		follower.ApplySnapshot(listed, 0)
		assert.Check(t, read.Revision() <= 5, "%s: at revision %d", head, read.Revision())
	}
}

// listedTable is a table with these rows that records what is written.
type listedTable struct {
	faultyTable
	listed  []table.Row
	written []table.Write
}

func (l *listedTable) List(context.Context, string, string, int) ([]table.Row, error) {
	return l.listed, nil
}

func (l *listedTable) Commit(_ context.Context, transaction table.Transaction) (table.Revision, error) {
	l.written = append(l.written, transaction.Writes...)
	return 1, nil
}

// TestDamagedLogEntryEndedTheTrim checks that the log is trimmed past a damaged entry, which is deleted too.
func TestDamagedLogEntryEndedTheTrim(t *testing.T) {
	rows := &listedTable{listed: []table.Row{{Key: logKey(1), Value: []byte("\xff")}, {Key: logKey(2), Value: []byte(`{"revision":2,"operation":"b"}`)}}}
	committer := New(rows, catalog.New(), &table.Epochs{}, logr.Discard())
	assert.NilError(t, committer.Trim(t.Context(), MaximumLogEntries+trimInterval))
	assert.Equal(t, len(rows.written), 3)
}
