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
)

// endedContext returns a canceled context, for requests that must not wait for a change.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// storeModel is a table with its whole history.
type storeModel struct {
	revision uint64
	changes  []feed.Row
}

func (s *storeModel) write(key string, deleted bool) {
	s.revision++
	s.changes = append(s.changes, feed.Row{Key: key, Revision: s.revision, Deleted: deleted, Value: []byte(fmt.Sprint(s.revision))})
}

func (s *storeModel) since(revision uint64) feed.Batch {
	batch := feed.Batch{Revision: s.revision}
	for _, row := range s.changes {
		if row.Revision > revision {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch
}

// present returns the revisions of the rows as of a revision.
func (s *storeModel) present(revision uint64) map[string]uint64 {
	rows := make(map[string]uint64)
	for _, row := range s.changes {
		if row.Revision > revision {
			break
		}
		applyRow(rows, row)
	}
	return rows
}

func applyRow(rows map[string]uint64, row feed.Row) {
	if row.Deleted {
		delete(rows, row.Key)
		return
	}
	rows[row.Key] = row.Revision
}

func (s *storeModel) snapshot(revision uint64) feed.Batch {
	batch := feed.Batch{Revision: revision}
	for key, at := range s.present(revision) {
		batch.Rows = append(batch.Rows, feed.Row{Key: key, Revision: at, Value: s.changes[at-1].Value})
	}
	return batch
}

// TestMirrorTellsReadersTheTable drives a mirror and a reader of it through writes, stale reads,
// change batches of any size and a mirror that lags behind its reader, and checks that the reader
// always has the table as of its position. It guards against a mirror that does not send a reader
// the deletion of a row which was added and deleted between the position of the mirror and a new
// read, although the reader has the row. That failed in one of five runs of a hundred schedules.
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
		reader := make(map[string]uint64)
		position, read := uint64(0), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "read", "watch", "watch", "ask", "ask", "direct", "lighten", "fill"}).Draw(t, "what") {
			case "write":
				store.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case "read":
				m.replace(store.snapshot(rapid.Uint64Range(0, store.revision).Draw(t, "as of")))
			case "watch":
				m.apply(store.since(m.position))
			case "lighten":
				m.dropRows(0)
			case "fill":
				// Rows may be newer than the position of the mirror until the changes arrive, which
				// are requested at once.
				if m.rowsDropped {
					assert.NilError(t, m.fill(store.snapshot(store.revision)))
					m.apply(store.since(m.position))
				}
			case "direct":
				// The reader called the store and may now be ahead of the mirror.
				for _, row := range store.since(position).Rows {
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
func readMirror(t *rapid.T, m *mirror, reader map[string]uint64, position uint64, read bool) (uint64, bool) {
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
	for revision := uint64(2); revision < changes; revision++ {
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
