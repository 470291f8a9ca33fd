package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

// largeMirror returns a mirror of a table with the given number of rows.
func largeMirror(rows int) *mirror {
	m := newMirror()
	batch := feed.Batch{Revision: table.Revision(rows)}
	for i := range rows {
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprint("runner-", i), Revision: table.Revision(i + 1), Value: []byte("v")})
	}
	m.replace(batch)
	return m
}

// TestReaderCostDependsOnChanges checks that the work for a reader depends on the changes after its
// revision, not on the number of rows or on earlier changes.
func TestReaderCostDependsOnChanges(t *testing.T) {
	const rows, written = 10_000, 3
	m := largeMirror(rows)
	revision := table.Revision(rows)
	for range 20 {
		batch := feed.Batch{}
		for i := range rows / 4 {
			revision++
			batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprint("runner-", i), Revision: revision, Value: []byte("w"), Deleted: i%10 == 0})
		}
		batch.Revision = revision
		m.apply(batch)
	}
	assert.Assert(t, len(m.log.changes) <= 3*rows, "%d changes kept for %d rows", len(m.log.changes), rows)
	before := revision
	for i := range written {
		revision++
		m.apply(feed.Batch{Revision: revision, Rows: []feed.Row{{Key: fmt.Sprint("runner-", rows-i), Revision: revision}}})
	}
	assert.Equal(t, len(m.log.after(before)), written)
	batch, err := m.after(endedContext(), before)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), written)
}

// TestLateChangeIsOrdered checks that a change which arrives again with a revision older than the
// newest is returned to readers at any earlier revision.
func TestLateChangeIsOrdered(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 10, Rows: []feed.Row{{Key: "a", Revision: 14}}})
	m.apply(feed.Batch{Revision: 14, Rows: []feed.Row{{Key: "b", Revision: 12}, {Key: "a", Revision: 14}}})
	batch, err := m.after(endedContext(), 11)
	assert.NilError(t, err)
	assert.DeepEqual(t, batch.Rows, []feed.Row{{Key: "b", Revision: 12}, {Key: "a", Revision: 14}})
}

// BenchmarkReaderAtLargeTable measures one reader that missed three changes of a table of 10,000
// rows.
func BenchmarkReaderAtLargeTable(b *testing.B) {
	m := largeMirror(10_000)
	for i := range table.Revision(3) {
		m.apply(feed.Batch{Revision: 10_001 + i, Rows: []feed.Row{{Key: fmt.Sprint("runner-", i), Revision: 10_001 + i}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.after(endedContext(), 10_000); err != nil {
			b.Fatal(err)
		}
	}
}
