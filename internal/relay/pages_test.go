package relay

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// TestTableLargerThanAMessage checks that a table larger than the message limit reaches a reader
// completely, page by page. Sent in one response it was rejected, and each reader fell back to the
// store.
func TestTableLargerThanAMessage(t *testing.T) {
	store := &fakeStore{}
	const rows = 20_000
	value := make([]byte, 2*wire.MaximumMessageBytes/rows)
	for i := range rows {
		store.model.write(fmt.Sprintf("runner-%d", i), false)
		store.model.changes[i].Value = value
	}
	relay, follower := startPair(t, store)
	before := store.reads.Load()
	// Nobody reads from a relay that has not reached the store for maxAge.
	stop, watches := keepWatching(t, relay, rows)
	batch, err := follower.source.Read(t.Context())
	stop()
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), rows)
	assert.Assert(t, len(relay.mirror(testTable).pager.last.list) > 1)
	assert.Equal(t, store.reads.Load()-before, watches.Load(), "a node other than the relay read the store")
}

// TestChangesBetweenPagesAreSent checks that rows added, changed and deleted while a reader is
// between two pages are covered by the changes after the revision of the batch.
func TestChangesBetweenPagesAreSent(t *testing.T) {
	const rows = 10
	m := newMirror()
	batch := feed.Batch{Revision: rows}
	for i := range rows {
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprint("k", i), Revision: table.Revision(i + 1), Value: make([]byte, pageSize/4)})
	}
	m.replace(batch)
	got := make(map[string]feed.Row)
	from, oldest := "", table.Revision(rows)
	for number := table.Revision(0); ; number++ {
		served, err := m.pager.get(endedContext(), m)
		assert.NilError(t, err)
		var response wire.FollowResponse
		served.put(&response, from)
		read, err := rowsOf(response, Peer{Address: "relay"})
		assert.NilError(t, err)
		for _, row := range read {
			applyRow(got, row)
		}
		oldest = min(oldest, table.Revision(response.Revision))
		at := rows + 4*number
		m.apply(feed.Batch{Revision: at + 4, Rows: []feed.Row{
			{Key: fmt.Sprint("k", number), Revision: at + 1}, {Key: fmt.Sprint("k", 9-number), Revision: at + 2, Deleted: true},
			{Key: fmt.Sprint("a", number), Revision: at + 3}, {Key: fmt.Sprint("z", number), Revision: at + 4},
		}})
		// The next page is built anew.
		m.pager.last = nil
		if from = response.Next; from == "" {
			break
		}
	}
	changes, err := m.after(endedContext(), oldest)
	assert.NilError(t, err)
	for _, row := range changes.Rows {
		applyRow(got, row)
	}
	want := make(map[string]feed.Row)
	for _, row := range m.rows {
		applyRow(want, row)
	}
	assert.DeepEqual(t, got, want)
}

// TestEmptyTableHasAPage checks that a table without rows is served as one empty page.
func TestEmptyTableHasAPage(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 3})
	served, err := m.pager.get(endedContext(), m)
	assert.NilError(t, err)
	var response wire.FollowResponse
	served.put(&response, "")
	assert.DeepEqual(t, response, wire.FollowResponse{Revision: 3})
}

// TestPagesThatCannotBeFollowedAreCutAnew checks that pages, however fresh, are not served if not
// all later changes are known, because their reader could not be sent what it missed.
func TestPagesThatCannotBeFollowedAreCutAnew(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 10, Rows: []feed.Row{{Key: "gone", Revision: 3}}})
	first, err := m.pager.get(endedContext(), m)
	assert.NilError(t, err)
	again, err := m.pager.get(endedContext(), m)
	assert.NilError(t, err)
	assert.Equal(t, first, again)
	m.dropRows(0)
	m.replace(feed.Batch{Revision: 20})
	anew, err := m.pager.get(endedContext(), m)
	assert.NilError(t, err)
	assert.Equal(t, anew.revision, table.Revision(20))
}

// TestChangesLargerThanAMessageWereSentForever checks that a reader that missed changes beyond the limits of
// a message, in bytes or in rows, is told to read the table, of which each page is within them.
func TestChangesLargerThanAMessageWereSentForever(t *testing.T) {
	for _, missed := range []struct{ rows, size int }{{6, 1 << 20}, {70_000, 0}} {
		m := newMirror()
		m.replace(feed.Batch{Revision: 1})
		batch := feed.Batch{Revision: table.Revision(1 + missed.rows)}
		for i := range missed.rows {
			value := make([]byte, missed.size)
			batch.Rows = append(batch.Rows, feed.Row{Key: strconv.Itoa(i), Revision: table.Revision(2 + i), Value: value})
		}
		m.apply(batch)
		got, err := read(endedContext(), m, wire.FollowRequest{After: 1})
		if err == nil {
			var response wire.FollowResponse
			assert.NilError(t, new(packer).put(&response, wire.FollowRequest{After: 1}, got))
			_, err = rowsOf(response, Peer{Address: "relay"})
			t.Logf("what the reader makes of the changes: %v", err)
		}
		assert.Check(t, fault.IsCode(err, fault.CodeCompacted), "%d rows: %v", missed.rows, err)
		served, err := m.pager.get(endedContext(), m)
		assert.NilError(t, err)
		rows := 0
		for from := ""; ; {
			var response wire.FollowResponse
			served.put(&response, from)
			content, err := wire.Encode(response)
			assert.NilError(t, err)
			var received wire.FollowResponse
			assert.NilError(t, wire.Decode(content, "relay", &received))
			page, err := rowsOf(received, Peer{Address: "relay"})
			assert.NilError(t, err)
			rows += len(page)
			if from = received.Next; from == "" {
				break
			}
		}
		assert.Equal(t, rows, missed.rows)
	}
}
