package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
)

const (
	// maxRemoved bounds the removed rows that a mirror remembers; with more, the
	// older half is forgotten.
	maxRemoved = 4096
	// keptSize is the size of a table, in bytes, up to which a node that reads it from
	// another one keeps its rows, to tell them at once should it become the relay.
	keptSize = 256 << 10
	// wholeWait is how long a question for all rows waits for a mirror that is being read.
	wholeWait = 250 * time.Millisecond
)

// mirror keeps a table as it was last read, with its removed rows, so that
// other nodes can be told what changed after any revision from floor on. Its
// methods may be called concurrently.
type mirror struct {
	packer packer
	pager  pager

	mu sync.Mutex
	// rows are the present rows, removed the newest revisions of absent ones.
	rows    map[string]feed.Row
	removed map[string]uint64
	// log lists the changes of both.
	log changeLog
	// size is that of the rows in bytes.
	size int
	// light is set while the rows are not kept: only what was removed is, so that fill
	// makes a mirror again that tells readers what they missed.
	light bool
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
	if m.light {
		// Which rows were removed since the mirror's position is not known.
		m.light, m.floor = false, batch.Revision
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
	if known, ok := m.rows[row.Key]; ok {
		m.size -= sizeOf(known)
	}
	if row.Deleted {
		delete(m.rows, row.Key)
		m.removed[row.Key] = row.Revision
		return
	}
	delete(m.removed, row.Key)
	if !m.light {
		m.rows[row.Key] = row
		m.size += sizeOf(row)
	}
}

// lighten drops the rows of a large table, which a node that reads it from another one
// does not tell. A table of at most kept bytes stays.
func (m *mirror) lighten(kept int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.light || m.size <= kept {
		return
	}
	m.light, m.size = true, 0
	m.rows, m.log = make(map[string]feed.Row), changeLog{}
}

// wasRead reports whether the mirror has the table's rows.
func (m *mirror) wasRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read && !m.light
}

// isLight reports whether the rows are not kept.
func (m *mirror) isLight() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.light
}

// fill takes over all rows of a table of which only the removed ones were kept. What was
// removed since the mirror's position has to be told by apply yet; rows may be newer than
// that, and are told again. It fails with fault.CodeStale when they are older.
func (m *mirror) fill(batch feed.Batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch.Revision < m.position {
		return fault.New(fault.CodeStale, "fill mirror", "revision %d is older than %d", batch.Revision, m.position)
	}
	m.light, m.log = false, changeLog{}
	for key, revision := range m.removed {
		m.log.add(key, revision)
	}
	for _, row := range batch.Rows {
		m.put(row)
	}
	m.advance(m.position)
	return nil
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

// errUnread is the error of a mirror that has no rows yet.
func errUnread() error {
	return fault.New(fault.CodeNotReady, "relay table", "the table was not read yet")
}

// whole returns all rows. It fails with fault.CodeNotReady when the table is not read
// before ctx ends.
func (m *mirror) whole(ctx context.Context) (feed.Batch, error) {
	if err := m.await(ctx); err != nil {
		return feed.Batch{}, err
	}
	return m.present()
}

// await waits until the mirror has rows. It fails with fault.CodeNotReady when ctx ends first.
func (m *mirror) await(ctx context.Context) error {
	for {
		m.mu.Lock()
		there, changed := m.read && !m.light, m.changed
		m.mu.Unlock()
		if there {
			return nil
		}
		select {
		case <-ctx.Done():
			return errUnread()
		case <-changed:
		}
	}
}

// present returns all rows. It fails with fault.CodeNotReady when the mirror has none.
func (m *mirror) present() (feed.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.read || m.light {
		return feed.Batch{}, errUnread()
	}
	return feed.Batch{Rows: slices.Collect(maps.Values(m.rows)), Revision: m.position}, nil
}

// after returns the changes after a revision, in their order, as soon as there
// are any, and none when ctx ends first. It fails with fault.CodeCompacted when
// not all of them are known, and with fault.CodeNotReady when the table is not read
// before ctx ends.
func (m *mirror) after(ctx context.Context, revision uint64) (feed.Batch, error) {
	for {
		batch, changed, err := m.since(revision)
		if err != nil || len(batch.Rows) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			if m.isLight() {
				return feed.Batch{}, errUnread()
			}
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
	if m.position <= revision || m.light {
		return batch, m.changed, nil
	}
	for _, changed := range m.log.after(revision) {
		if row, current := m.row(changed); current {
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch, m.changed, nil
}
