package relay

import (
	"context"
	"maps"
	"slices"
	"sync"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
)

// maxRemoved bounds the removed rows that a mirror remembers; with more, the
// older half is forgotten.
const maxRemoved = 4096

// mirror keeps a table as it was last read, with its removed rows, so that
// other nodes can be told what changed after any revision from floor on. Its
// methods may be called concurrently.
type mirror struct {
	packer packer

	mu sync.Mutex
	// rows are the present rows, removed the newest revisions of absent ones.
	rows    map[string]feed.Row
	removed map[string]uint64
	// log lists the changes of both.
	log changeLog
	// position is the revision up to which all changes are in. What was removed
	// is not known below floor, nor, for a reader whose revision lies between
	// unseen and resumed, for rows that came and went there: the table was read
	// anew after a gap.
	position uint64
	floor    uint64
	unseen   uint64
	resumed  uint64
	read     bool
	// changed is closed when rows changed.
	changed chan struct{}
}

func newMirror() *mirror {
	return &mirror{rows: make(map[string]feed.Row), removed: make(map[string]uint64), changed: make(chan struct{})}
}

// replace takes over all rows as of a revision; one that is older than the
// mirror changes nothing.
func (m *mirror) replace(batch feed.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.read && batch.Revision < m.position {
		return
	}
	there := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		there[row.Key] = true
		m.put(row)
	}
	for key := range m.rows {
		if !there[key] {
			m.put(feed.Row{Key: key, Revision: batch.Revision, Deleted: true})
		}
	}
	if !m.read {
		m.read, m.floor, m.position = true, batch.Revision, batch.Revision
	}
	m.floor = max(m.floor, m.resumed)
	m.unseen, m.resumed = m.position, batch.Revision
	m.advance(batch.Revision)
}

// tells reports whether all changes after a revision are known; mu is held.
func (m *mirror) tells(revision uint64) bool {
	return revision >= m.floor && (revision <= m.unseen || revision >= m.resumed)
}

// apply takes over changes up to a revision.
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

// put notes one row; mu is held.
func (m *mirror) put(row feed.Row) {
	if known, ok := m.row(change{revision: row.Revision, key: row.Key}); !ok || known.Deleted != row.Deleted {
		m.log.add(row.Key, row.Revision)
	}
	if row.Deleted {
		delete(m.rows, row.Key)
		m.removed[row.Key] = row.Revision
		return
	}
	delete(m.removed, row.Key)
	m.rows[row.Key] = row
}

// advance tells waiting readers of changes up to a revision; mu is held.
func (m *mirror) advance(revision uint64) {
	m.position = revision
	if len(m.removed) > maxRemoved {
		m.forget()
	}
	m.log.compact(len(m.rows)+len(m.removed), func(c change) bool {
		_, current := m.row(c)
		return current
	})
	close(m.changed)
	m.changed = make(chan struct{})
}

// forget drops the older half of the removed rows; mu is held.
func (m *mirror) forget() {
	revisions := slices.Sorted(maps.Values(m.removed))
	m.floor = max(m.floor, revisions[len(revisions)/2])
	maps.DeleteFunc(m.removed, func(_ string, revision uint64) bool { return revision <= m.floor })
}

// wasRead reports whether the table was read.
func (m *mirror) wasRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read
}

// whole returns all rows. It fails with fault.CodeNotReady as long as the table
// was not read.
func (m *mirror) whole() (feed.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.read {
		return feed.Batch{}, fault.New(fault.CodeNotReady, "relay table", "the table was not read yet")
	}
	return feed.Batch{Rows: slices.Collect(maps.Values(m.rows)), Revision: m.position}, nil
}

// after returns the changes after a revision, in their order, as soon as there
// are any, and none when ctx ends first. It fails with fault.CodeCompacted when
// not all of them are known.
func (m *mirror) after(ctx context.Context, revision uint64) (feed.Batch, error) {
	for {
		batch, changed, err := m.since(revision)
		if err != nil || len(batch.Rows) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return batch, nil
		case <-changed:
		}
	}
}

func (m *mirror) since(revision uint64) (feed.Batch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.read && !m.tells(revision) {
		return feed.Batch{}, nil, fault.New(fault.CodeCompacted, "relay table", "not all changes after %d are known", revision)
	}
	// A reader that is ahead of the mirror is told nothing until it caught up.
	batch := feed.Batch{Revision: max(revision, m.position)}
	if m.position <= revision {
		return batch, m.changed, nil
	}
	for _, changed := range m.log.after(revision) {
		if row, current := m.row(changed); current {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch, m.changed, nil
}
