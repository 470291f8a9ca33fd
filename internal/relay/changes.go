package relay

import (
	"cmp"
	"slices"
	"sort"

	"lilacvane/internal/feed"
)

// change is one change of a row that a mirror took over.
type change struct {
	revision uint64
	key      string
}

// changeLog lists the changes of a table in the order of their revisions, so that what a
// reader missed is found without a look at each row. Its user guards it.
type changeLog struct {
	changes []change
	// unordered is set when a change was added that is older than the one before it.
	unordered bool
}

// leastCompacted is the length from which a log is compacted.
const leastCompacted = 256

// add notes a change.
func (l *changeLog) add(key string, revision uint64) {
	if last := len(l.changes) - 1; last >= 0 && l.changes[last].revision > revision {
		l.unordered = true
	}
	l.changes = append(l.changes, change{revision: revision, key: key})
}

// after returns the changes after a revision, oldest first; some may be outdated by later
// ones. The slice is valid until the next call of add or compact.
func (l *changeLog) after(revision uint64) []change {
	l.order()
	from := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > revision })
	return l.changes[from:]
}

// order puts the changes in the order of their revisions.
func (l *changeLog) order() {
	if !l.unordered {
		return
	}
	slices.SortStableFunc(l.changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	l.unordered = false
}

// compact drops changes that are not current any more once they are the larger part, of
// which rows is what a log without them has. So it costs a few steps a change in the mean.
func (l *changeLog) compact(rows int, current func(change) bool) {
	if len(l.changes) < leastCompacted || len(l.changes) <= 2*rows {
		return
	}
	l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return !current(c) })
}

// row returns a row as a change left it; false when a later change went over it. mu is
// held.
func (m *mirror) row(c change) (feed.Row, bool) {
	if row, ok := m.rows[c.key]; ok {
		return row, row.Revision == c.revision
	}
	revision, ok := m.removed[c.key]
	return feed.Row{Key: c.key, Revision: revision, Deleted: true}, ok && revision == c.revision
}
