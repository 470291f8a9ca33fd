package relay

import (
	"cmp"
	"slices"
	"sort"

	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

// change is a row change that a mirror has applied.
type change struct {
	revision table.Revision
	key      string
}

// changeLog lists the changes of a table ordered by revision, so that the changes a reader missed
// are found without scanning all rows. It is not safe for concurrent use; the mirror guards it.
type changeLog struct {
	changes []change
	// unordered is set when an added change is older than the one before it.
	unordered bool
}

// minCompactLength is the length below which a log is not compacted.
const minCompactLength = 256

// add appends a change.
func (l *changeLog) add(key string, revision table.Revision) {
	if last := len(l.changes) - 1; last >= 0 && l.changes[last].revision > revision {
		l.unordered = true
	}
	l.changes = append(l.changes, change{revision: revision, key: key})
}

// after returns the changes after a revision, oldest first. Some may be superseded by later ones.
// The slice is valid until the next call of add or compact.
func (l *changeLog) after(revision table.Revision) []change {
	l.order()
	from := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > revision })
	return l.changes[from:]
}

// order sorts the changes by revision if needed.
func (l *changeLog) order() {
	if !l.unordered {
		return
	}
	slices.SortStableFunc(l.changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	l.unordered = false
}

// compact drops superseded changes once the log is more than twice as long as rows, the length of a
// log without them. The amortized cost is a few steps per change.
func (l *changeLog) compact(rows int, current func(change) bool) {
	if len(l.changes) < minCompactLength || len(l.changes) <= 2*rows {
		return
	}
	l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return !current(c) })
}

// row returns the row as of a change, and false if a later change superseded it. The caller holds
// mu.
func (m *mirror) row(c change) (feed.Row, bool) {
	if row, ok := m.rows[c.key]; ok {
		return row, row.Revision == c.revision
	}
	revision, ok := m.removed[c.key]
	return feed.Row{Key: c.key, Revision: revision, Deleted: true}, ok && revision == c.revision
}
