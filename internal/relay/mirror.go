package relay

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

const (
	// maxRemoved is the maximum number of removed rows that a mirror remembers. Beyond it the older
	// half is discarded.
	maxRemoved = 4096
	// maxKeptBytes is the size of a table, in bytes, up to which a node that reads it from another
	// node keeps its rows, so that it can serve them at once if it becomes the relay.
	maxKeptBytes = 256 << 10
	// snapshotWait is how long a request for all rows waits for a mirror that is being read.
	snapshotWait = 250 * time.Millisecond
)

// mirror holds a table as last read, with its removed rows, so that other nodes can be sent the
// changes after any revision from floor on. It is safe for concurrent use.
type mirror struct {
	packer packer
	pager  pager

	mu sync.Mutex
	// rows are the current rows; removed maps the keys of deleted rows to the revisions of their
	// deletion.
	rows    map[string]feed.Row
	removed map[string]table.Revision
	// log lists the changes of rows and removed.
	log changeLog
	// size is the size of the rows in bytes.
	size int
	// rowsDropped is set while rows is empty and only removed is kept up to date. fill restores rows;
	// with removed, the mirror can then send readers the deletions that they missed.
	rowsDropped bool
	// position is the revision up to which all changes are applied. Deletions below floor are not
	// known. If the table was read anew after a gap, a reader whose revision lies between gapStart
	// and gapEnd may have rows that were added and deleted in that range; their deletion is unknown.
	position table.Revision
	floor    table.Revision
	gapStart table.Revision
	gapEnd   table.Revision
	read     bool
	// changed is closed when rows change.
	changed chan struct{}
}

func newMirror() *mirror {
	return &mirror{rows: make(map[string]feed.Row), removed: make(map[string]table.Revision), changed: make(chan struct{})}
}

// replace applies a snapshot of all rows. A snapshot older than the mirror is ignored.
func (m *mirror) replace(batch feed.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.read && batch.Revision < m.position {
		return
	}
	if m.rowsDropped {
		// Deletions since the position of the mirror are not known.
		m.rowsDropped, m.floor = false, batch.Revision
	}
	present := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		present[row.Key] = true
		if !m.keeps(row) {
			m.put(row)
		}
	}
	for key := range m.rows {
		if !present[key] {
			m.put(feed.Row{Key: key, Revision: batch.Revision, Deleted: true})
		}
	}
	if !m.read {
		m.read, m.floor, m.position = true, batch.Revision, batch.Revision
	}
	m.floor = max(m.floor, m.gapEnd)
	m.gapStart, m.gapEnd = m.position, batch.Revision
	m.advance(batch.Revision)
}

// keeps reports whether the mirror has a row of a later epoch, unchanged, from an earlier one. Readers
// of the earlier epoch then need not be sent it. The caller holds mu.
func (m *mirror) keeps(row feed.Row) bool {
	known, ok := m.rows[row.Key]
	return ok && known.Revision.Epoch() < row.Revision.Epoch() && known.Revision.Number() == row.Revision.Number() && bytes.Equal(known.Value, row.Value)
}

// knowsChangesAfter reports whether all changes after a revision are known. The caller holds mu.
func (m *mirror) knowsChangesAfter(revision table.Revision) bool {
	return revision >= m.floor && (revision <= m.gapStart || revision >= m.gapEnd)
}

// apply applies changes up to a revision.
func (m *mirror) apply(batch feed.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.read || batch.Revision < m.position {
		return
	}
	for _, row := range batch.Rows {
		m.put(row)
	}
	m.position = batch.Revision
	if len(batch.Rows) > 0 {
		m.advance(batch.Revision)
	}
}

// put stores one row. The caller holds mu.
func (m *mirror) put(row feed.Row) {
	if known, ok := m.row(change{revision: row.Revision, key: row.Key}); !ok || known.Deleted != row.Deleted {
		m.log.add(row.Key, row.Revision)
	}
	if known, ok := m.rows[row.Key]; ok {
		m.size -= sizeOf(known)
	}
	if row.Deleted {
		delete(m.rows, row.Key)
		m.removed[row.Key] = row.Revision
		return
	}
	delete(m.removed, row.Key)
	if !m.rowsDropped {
		m.rows[row.Key] = row
		m.size += sizeOf(row)
	}
}

// dropRows drops the rows of a table larger than kept bytes. A node that reads a table from another
// node does not serve its rows.
func (m *mirror) dropRows(kept int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rowsDropped || m.size <= kept {
		return
	}
	m.rowsDropped, m.size = true, 0
	m.rows, m.log = make(map[string]feed.Row), changeLog{}
}

// epoch returns the epoch of the mirror; zero if it was not read.
func (m *mirror) epoch() table.Epoch {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.Epoch()
}

// hasRows reports whether the mirror has the rows of the table.
func (m *mirror) hasRows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read && !m.rowsDropped
}

// lacksRows reports whether the rows were dropped.
func (m *mirror) lacksRows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rowsDropped
}

// fill restores the rows of a mirror that dropped them. Deletions after the position of the mirror
// still have to be applied; rows may be newer than the position, and are sent to readers again
// then. It fails with fault.CodeStale if the batch is older than the mirror, and with
// fault.CodeCompacted if it is of a later epoch, so that the table has to be read anew.
func (m *mirror) fill(batch feed.Batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch.Revision < m.position {
		return fault.New(fault.CodeStale, "fill mirror", "revision %v is older than %v", batch.Revision, m.position)
	}
	if batch.Revision.Epoch() != m.position.Epoch() {
		return fault.New(fault.CodeCompacted, "fill mirror", "the store is in epoch %d, the mirror in %d", batch.Revision.Epoch(), m.position.Epoch())
	}
	m.rowsDropped, m.log = false, changeLog{}
	for key, revision := range m.removed {
		m.log.add(key, revision)
	}
	for _, row := range batch.Rows {
		m.put(row)
	}
	m.advance(m.position)
	return nil
}

// advance sets the position and wakes waiting readers. The caller holds mu.
func (m *mirror) advance(revision table.Revision) {
	m.position = revision
	if len(m.removed) > maxRemoved {
		m.trimRemoved()
	}
	m.log.compact(len(m.rows)+len(m.removed), func(c change) bool {
		_, current := m.row(c)
		return current
	})
	close(m.changed)
	m.changed = make(chan struct{})
}

// trimRemoved drops the older half of the removed rows. The caller holds mu.
func (m *mirror) trimRemoved() {
	revisions := slices.Sorted(maps.Values(m.removed))
	m.floor = max(m.floor, revisions[len(revisions)/2])
	maps.DeleteFunc(m.removed, func(_ string, revision table.Revision) bool { return revision <= m.floor })
}

// errNotRead returns the error of a mirror without rows.
func errNotRead() error {
	return fault.New(fault.CodeNotReady, "relay table", "the table was not read yet")
}

// awaitSnapshot returns all rows. It fails with fault.CodeNotReady if the table is not read before
// ctx ends.
func (m *mirror) awaitSnapshot(ctx context.Context) (feed.Batch, error) {
	if err := m.awaitRows(ctx); err != nil {
		return feed.Batch{}, err
	}
	return m.snapshot()
}

// awaitRows waits until the mirror has rows. It fails with fault.CodeNotReady if ctx ends first.
func (m *mirror) awaitRows(ctx context.Context) error {
	for {
		m.mu.Lock()
		ready, changed := m.read && !m.rowsDropped, m.changed
		m.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotRead()
		case <-changed:
		}
	}
}

// snapshot returns all rows. It fails with fault.CodeNotReady if the mirror has none.
func (m *mirror) snapshot() (feed.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.read || m.rowsDropped {
		return feed.Batch{}, errNotRead()
	}
	return feed.Batch{Rows: slices.Collect(maps.Values(m.rows)), Revision: m.position}, nil
}

// after returns the changes after a revision, in order, as soon as there are any, and an empty
// batch if ctx ends first. It fails with fault.CodeCompacted if some of them are not known, and
// with fault.CodeNotReady if the table is not read before ctx ends.
func (m *mirror) after(ctx context.Context, revision table.Revision) (feed.Batch, error) {
	for {
		batch, changed, err := m.since(revision)
		if err != nil || len(batch.Rows) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			if m.lacksRows() {
				return feed.Batch{}, errNotRead()
			}
			return batch, nil
		case <-changed:
		}
	}
}

func (m *mirror) since(revision table.Revision) (feed.Batch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.read && !m.knowsChangesAfter(revision) {
		return feed.Batch{}, nil, fault.New(fault.CodeCompacted, "relay table", "not all changes after %v are known", revision)
	}
	// A reader ahead of the mirror gets no changes until the mirror has caught up.
	batch := feed.Batch{Revision: max(revision, m.position)}
	if m.position <= revision || m.rowsDropped {
		return batch, m.changed, nil
	}
	for _, changed := range m.log.after(revision) {
		if row, current := m.row(changed); current {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch, m.changed, nil
}
