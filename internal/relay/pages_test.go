package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/feed"
	"lilacvane/internal/wire"
)

// TestTableLargerThanAMessage: a table that is larger than a message may be reaches a reader
// whole, page by page. In one answer it was refused, and each reader turned to the store.
func TestTableLargerThanAMessage(t *testing.T) {
	store := &fakeStore{}
	const rows = 20_000
	value := make([]byte, 2*wire.MaximumMessageBytes/rows)
	for i := range rows {
		store.model.write(fmt.Sprintf("runner-%d", i), false)
		store.model.changes[i].Value = value
	}
	relay, follower := pair(t, store)
	before := store.reads.Load()
	// Nobody reads from a relay that has not heard of the store for maxAge.
	stop, watches := keepWatching(t, relay, rows)
	batch, err := follower.source.Read(t.Context())
	stop()
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), rows)
	assert.Assert(t, len(relay.mirror(testTable).pager.last.list) > 1)
	assert.Equal(t, store.reads.Load()-before, watches.Load(), "only the relay read the store")
}

// TestChangesBetweenPagesAreTold: rows that come, change and go while a reader is between two
// pages are told by the changes after the batch's revision.
func TestChangesBetweenPagesAreTold(t *testing.T) {
	const rows = 10
	m := newMirror()
	batch := feed.Batch{Revision: rows}
	for i := range rows {
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprint("k", i), Revision: uint64(i + 1), Value: make([]byte, pageSize/4)})
	}
	m.replace(batch)
	got := make(map[string]uint64)
	from, oldest := "", uint64(rows)
	for number := uint64(0); ; number++ {
		told, err := m.pager.get(ended(), m)
		assert.NilError(t, err)
		var response wire.FollowResponse
		told.put(&response, from)
		read, err := rowsOf(response, Peer{Address: "relay"})
		assert.NilError(t, err)
		for _, row := range read {
			got[row.Key] = row.Revision
		}
		oldest = min(oldest, response.Revision)
		at := rows + 4*number
		m.apply(feed.Batch{Revision: at + 4, Rows: []feed.Row{
			{Key: fmt.Sprint("k", number), Revision: at + 1}, {Key: fmt.Sprint("k", 9-number), Revision: at + 2, Deleted: true},
			{Key: fmt.Sprint("a", number), Revision: at + 3}, {Key: fmt.Sprint("z", number), Revision: at + 4},
		}})
		// The next page is cut anew.
		m.pager.last = nil
		if from = response.Next; from == "" {
			break
		}
	}
	changes, err := m.after(ended(), oldest)
	assert.NilError(t, err)
	for _, row := range changes.Rows {
		take(got, row)
	}
	want := make(map[string]uint64)
	for key, row := range m.rows {
		want[key] = row.Revision
	}
	assert.DeepEqual(t, got, want)
}

// TestEmptyTableHasAPage: a table without rows is told as one empty page.
func TestEmptyTableHasAPage(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 3})
	told, err := m.pager.get(ended(), m)
	assert.NilError(t, err)
	var response wire.FollowResponse
	told.put(&response, "")
	assert.DeepEqual(t, response, wire.FollowResponse{Revision: 3})
}

// TestPagesThatCannotBeFollowedAreCutAnew: pages are not told, however fresh, when not all that
// changed after them is known: their reader could not be told what it missed.
func TestPagesThatCannotBeFollowedAreCutAnew(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 10, Rows: []feed.Row{{Key: "gone", Revision: 3}}})
	first, err := m.pager.get(ended(), m)
	assert.NilError(t, err)
	again, err := m.pager.get(ended(), m)
	assert.NilError(t, err)
	assert.Equal(t, first, again)
	m.lighten(0)
	m.replace(feed.Batch{Revision: 20})
	anew, err := m.pager.get(ended(), m)
	assert.NilError(t, err)
	assert.Equal(t, anew.revision, uint64(20))
}
