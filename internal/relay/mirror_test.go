package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

// endedContext returns a canceled context, for requests that must not wait for a change.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// storeModel is a table with its whole history.
type storeModel struct {
	revision table.Revision
	changes  []feed.Row
	// past holds the changes of the epochs before.
	past map[table.Epoch][]feed.Row
}

func (s *storeModel) write(key string, deleted bool) {
	s.revision++
	s.changes = append(s.changes, feed.Row{Key: key, Revision: s.revision, Deleted: deleted, Value: []byte(s.revision.String())})
}

// restore returns to a number as a new epoch, in which the rows of the copy have their old numbers.
func (s *storeModel) restore(number uint64) {
	if s.past == nil {
		s.past = make(map[table.Epoch][]feed.Row)
	}
	epoch := s.revision.Epoch()
	s.past[epoch] = s.changes
	s.revision, s.changes = table.NewRevision(epoch+1, number), nil
	for _, row := range s.past[epoch] {
		if row.Revision.Number() <= number {
			row.Revision = table.NewRevision(epoch+1, row.Revision.Number())
			s.changes = append(s.changes, row)
		}
	}
}

// history returns the changes of an epoch.
func (s *storeModel) history(epoch table.Epoch) []feed.Row {
	if epoch == s.revision.Epoch() {
		return s.changes
	}
	return s.past[epoch]
}

// since returns the changes after a revision of the store's epoch.
func (s *storeModel) since(revision table.Revision) feed.Batch {
	batch := feed.Batch{Revision: s.revision}
	for _, row := range s.changes {
		if row.Revision > revision {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch
}

// present returns the rows as of a revision.
func (s *storeModel) present(revision table.Revision) map[string]feed.Row {
	rows := make(map[string]feed.Row)
	for _, row := range s.history(revision.Epoch()) {
		if row.Revision > revision {
			break
		}
		applyRow(rows, row)
	}
	return rows
}

// applyRow applies a row without its epoch: an unchanged row may keep that of an earlier one.
func applyRow(rows map[string]feed.Row, row feed.Row) {
	if row.Deleted {
		delete(rows, row.Key)
		return
	}
	row.Revision = table.NewRevision(0, row.Revision.Number())
	rows[row.Key] = row
}

func (s *storeModel) snapshot(revision table.Revision) feed.Batch {
	batch := feed.Batch{Revision: revision}
	for _, row := range s.present(revision) {
		row.Revision = table.NewRevision(revision.Epoch(), row.Revision.Number())
		batch.Rows = append(batch.Rows, row)
	}
	return batch
}

// TestMirrorTellsReadersTheTable drives a mirror and a reader of it through writes, stale reads,
// change batches of any size and a mirror that lags behind its reader, and checks that the reader
// always has the table as of its position. It guards against a mirror that does not send a reader
// the deletion of a row which was added and deleted between the position of the mirror and a new
// read, although the reader has the row, and against one that takes the rows of a restored store for
// those of the epoch before.
func TestMirrorTellsReadersTheTable(t *testing.T) {
	const rounds = 30
	for range rounds {
		checkMirror(t)
	}
}

func checkMirror(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{}
		m := newMirror()
		reader := make(map[string]feed.Row)
		position, read := table.Revision(0), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "read", "watch", "watch", "ask", "ask", "direct", "lighten", "fill", "restore"}).Draw(t, "what") {
			case "write":
				store.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case "read":
				m.replace(store.snapshot(table.NewRevision(store.revision.Epoch(), rapid.Uint64Range(0, store.revision.Number()).Draw(t, "as of"))))
			case "restore":
				store.restore(rapid.Uint64Range(0, store.revision.Number()).Draw(t, "copy"))
			case "watch":
				if store.revision.Epoch() == m.position.Epoch() {
					m.apply(store.since(m.position))
				}
			case "lighten":
				m.dropRows(0)
			case "fill":
				// Rows may be newer than the position of the mirror until the changes arrive, which
				// are requested at once.
				if !m.rowsDropped {
					break
				}
				err := m.fill(store.snapshot(store.revision))
				if m.position.Epoch() != store.revision.Epoch() {
					assert.Assert(t, fault.IsCode(err, fault.CodeCompacted), "%v", err)
					break
				}
				assert.NilError(t, err)
				m.apply(store.since(m.position))
			case "direct":
				// The reader called the store and may now be ahead of the mirror.
				changes := store.since(position)
				if position.Epoch() != store.revision.Epoch() {
					clear(reader)
					changes = store.snapshot(store.revision)
				}
				for _, row := range changes.Rows {
					applyRow(reader, row)
				}
				position, read = store.revision, true
			case "ask":
				position, read = readMirror(t, m, reader, position, read)
			}
			if read {
				assert.DeepEqual(t, reader, store.present(position))
			}
		}
	})
}

// readMirror applies to the reader what the mirror returns.
func readMirror(t *rapid.T, m *mirror, reader map[string]feed.Row, position table.Revision, read bool) (table.Revision, bool) {
	batch, err := m.after(endedContext(), position)
	if m.rowsDropped {
		assert.Assert(t, err != nil, "a mirror without rows returned changes")
		return position, read
	}
	if !read || fault.IsCode(err, fault.CodeCompacted) {
		batch, err = m.awaitSnapshot(endedContext())
		if fault.IsCode(err, fault.CodeNotReady) || batch.Revision < position {
			return position, read
		}
		clear(reader)
	}
	assert.NilError(t, err)
	for _, row := range batch.Rows {
		applyRow(reader, row)
	}
	return batch.Revision, true
}

// TestMirrorForgetsRemovedRows checks that the number of removed rows in memory is bounded, and
// that a reader at a revision before a discarded row has to read the table anew.
func TestMirrorForgetsRemovedRows(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 1})
	const changes = 3 * maxRemoved
	for revision := table.Revision(2); revision < changes; revision++ {
		m.apply(feed.Batch{Revision: revision, Rows: []feed.Row{{Key: fmt.Sprint(revision), Revision: revision, Deleted: true}}})
	}
	assert.Assert(t, len(m.removed) <= maxRemoved)
	_, err := m.after(endedContext(), 1)
	assert.Assert(t, fault.IsCode(err, fault.CodeCompacted), "%v", err)
	batch, err := m.after(endedContext(), changes-3)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 2)
}

// TestReaderOfLargeTableKeepsNoRows checks that a node which reads a large table from another node
// keeps none of its rows, and still sends all readers what they missed once it becomes the relay.
func TestReaderOfLargeTableKeepsNoRows(t *testing.T) {
	store := &fakeStore{}
	const rows = 10 * maxRemoved
	for i := range rows {
		store.write(fmt.Sprintf("a-key-%d", i))
	}
	relay, follower := startPair(t, store)
	// Nobody reads from a relay that has not reached the store for maxAge.
	stop, _ := keepWatching(t, relay, rows)
	batch, err := follower.source.Read(t.Context())
	stop()
	assert.NilError(t, err)
	followerMirror := follower.mirror(testTable)
	assert.Assert(t, len(followerMirror.rows) == 0 && len(followerMirror.log.changes) == 0, "%d rows kept", len(followerMirror.rows))
	assert.Equal(t, len(relay.mirror(testTable).rows), rows)

	store.remove("a-key-7")
	relay.Release(t.Context())
	waitUntil(t, func() bool { return follower.elector.Holds() })
	_, err = follower.source.Watch(t.Context(), batch.Revision, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(followerMirror.rows), rows-1)
	changes, err := followerMirror.after(endedContext(), batch.Revision)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Rows), 1)
	assert.Assert(t, changes.Rows[0].Deleted && changes.Rows[0].Key == "a-key-7")
}
