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

// ended is a context that has ended, for questions that are not held.
func ended() context.Context {
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

// present returns the rows as of a revision.
func (s *storeModel) present(revision uint64) map[string]uint64 {
	rows := make(map[string]uint64)
	for _, row := range s.changes {
		if row.Revision > revision {
			break
		}
		take(rows, row)
	}
	return rows
}

func take(rows map[string]uint64, row feed.Row) {
	if row.Deleted {
		delete(rows, row.Key)
		return
	}
	rows[row.Key] = row.Revision
}

func (s *storeModel) whole(revision uint64) feed.Batch {
	batch := feed.Batch{Revision: revision}
	for key, at := range s.present(revision) {
		batch.Rows = append(batch.Rows, feed.Row{Key: key, Revision: at, Value: s.changes[at-1].Value})
	}
	return batch
}

// TestMirrorTellsReadersTheTable drives a mirror and a reader of it through
// writes, reads that are old, changes in batches of any size and a mirror that is
// behind its reader: what the reader has is always the table as of its position.
// It failed once in five runs of a hundred schedules: a row that came and went
// between the mirror's position and a new read was not told to a reader that had
// seen it.
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
				m.replace(store.whole(rapid.Uint64Range(0, store.revision).Draw(t, "as of")))
			case "watch":
				m.apply(store.since(m.position))
			case "lighten":
				m.lighten(0)
			case "fill":
				// Rows may be newer than the mirror's position until the changes come, which
				// are asked for at once.
				if m.light {
					assert.NilError(t, m.fill(store.whole(store.revision)))
					m.apply(store.since(m.position))
				}
			case "direct":
				// The reader turned to the store, and may be ahead of the mirror now.
				for _, row := range store.since(position).Rows {
					take(reader, row)
				}
				position, read = store.revision, true
			case "ask":
				position, read = ask(t, m, reader, position, read)
			}
			if read {
				assert.DeepEqual(t, reader, store.present(position))
			}
		}
	})
}

// ask lets the reader take over what the mirror tells.
func ask(t *rapid.T, m *mirror, reader map[string]uint64, position uint64, read bool) (uint64, bool) {
	batch, err := m.after(ended(), position)
	if m.light {
		assert.Assert(t, err != nil, "a mirror without rows told the table")
		return position, read
	}
	if !read || fault.IsCode(err, fault.CodeCompacted) {
		batch, err = m.whole(ended())
		if fault.IsCode(err, fault.CodeNotReady) || batch.Revision < position {
			return position, read
		}
		clear(reader)
	}
	assert.NilError(t, err)
	for _, row := range batch.Rows {
		take(reader, row)
	}
	return batch.Revision, true
}

// TestMirrorForgetsRemovedRows: the memory for removed rows is bounded, and a
// reader from before what was forgotten has to read the table anew.
func TestMirrorForgetsRemovedRows(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: 1})
	const changes = 3 * maxRemoved
	for revision := uint64(2); revision < changes; revision++ {
		m.apply(feed.Batch{Revision: revision, Rows: []feed.Row{{Key: fmt.Sprint(revision), Revision: revision, Deleted: true}}})
	}
	assert.Assert(t, len(m.removed) <= maxRemoved)
	_, err := m.after(ended(), 1)
	assert.Assert(t, fault.IsCode(err, fault.CodeCompacted), "%v", err)
	batch, err := m.after(ended(), changes-3)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 2)
}

// TestReaderOfLargeTableKeepsNoRows: a node that reads a large table from another one keeps
// nothing of its rows, and still tells all readers what they missed once it is the relay.
func TestReaderOfLargeTableKeepsNoRows(t *testing.T) {
	store := &fakeStore{}
	const rows = 10 * maxRemoved
	for i := range rows {
		store.write(fmt.Sprintf("a-key-%d", i))
	}
	relay, follower := pair(t, store)
	// Nobody reads from a relay that has not heard of the store for maxAge.
	stop, _ := keepWatching(t, relay, rows)
	batch, err := follower.source.Read(t.Context())
	stop()
	assert.NilError(t, err)
	held := follower.mirror(testTable)
	assert.Assert(t, len(held.rows) == 0 && len(held.log.changes) == 0, "%d rows are kept", len(held.rows))
	assert.Equal(t, len(relay.mirror(testTable).rows), rows)

	store.remove("a-key-7")
	relay.Release(t.Context())
	until(t, func() bool { return follower.lessor.Holds() })
	_, err = follower.source.Watch(t.Context(), batch.Revision, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(held.rows), rows-1)
	told, err := held.after(ended(), batch.Revision)
	assert.NilError(t, err)
	assert.Equal(t, len(told.Rows), 1)
	assert.Assert(t, told.Rows[0].Deleted && told.Rows[0].Key == "a-key-7")
}
