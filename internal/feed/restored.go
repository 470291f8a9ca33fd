package feed

import (
	"maps"
	"slices"
	"time"

	"lilacvane/internal/table"
)

// minSettlingWait is the minimum wait of a call at the end of a settling period.
const minSettlingWait = 10 * time.Millisecond

// settling is the state of a follower after a store returned with an older copy.
type settling struct {
	// until is the end of the period; zero if there is none.
	until time.Time
	// deferred are the rows that the handler has not applied, by key.
	deferred map[string]Row
}

func (s *settling) active() bool { return !s.until.IsZero() }

// limit returns the wait of a call, reduced so that it ends with the period.
func (s *settling) limit(wait time.Duration) time.Duration {
	if !s.active() {
		return wait
	}
	return min(wait, max(time.Until(s.until), minSettlingWait))
}

// begin starts the period anew, with further deferred rows.
func (s *settling) begin(deferred []Row) {
	s.until = time.Now().Add(table.SettlingPeriod)
	if s.deferred == nil {
		s.deferred = make(map[string]Row)
	}
	for _, row := range deferred {
		s.deferred[row.Key] = row
	}
}

// forget drops what was deferred of rows that have changed.
func (s *settling) forget(rows []Row) {
	for _, row := range rows {
		delete(s.deferred, row.Key)
	}
}

// end ends the period and returns the rows that are still deferred, ordered by revision.
func (s *settling) end() []Row {
	rows := slices.SortedFunc(maps.Values(s.deferred), byRevision)
	*s = settling{}
	return rows
}

func byRevision(a, b Row) int {
	switch {
	case a.Revision < b.Revision:
		return -1
	case a.Revision > b.Revision:
		return 1
	default:
		return 0
	}
}

// isRestored reports whether a batch is of a later epoch than the rows that were applied.
func (f *Follower) isRestored(batch Batch) bool {
	applied := f.newestRevision.Epoch()
	return applied != 0 && batch.Revision.Epoch() > applied
}

// withMissing returns the rows of a whole table, and as deleted ones those that were applied and are
// not in it.
func (f *Follower) withMissing(batch Batch) []Row {
	present := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		present[row.Key] = true
	}
	rows := slices.Clone(batch.Rows)
	for _, key := range f.handler.Keys() {
		if !present[key] {
			rows = append(rows, Row{Key: key, Revision: batch.Revision, Deleted: true})
		}
	}
	return rows
}

// applyRestored passes rows of a restored table to the handler and begins a settling period.
func (f *Follower) applyRestored(rows []Row) {
	f.settling.forget(rows)
	deferred := f.handler.ApplyRestored(rows)
	f.settling.begin(deferred)
	f.log.Info("restored table applied", "rows", len(rows), "deferred", len(deferred))
}

// settle ends a settling period whose time is over.
func (f *Follower) settle() {
	if !f.settling.active() || time.Now().Before(f.settling.until) {
		return
	}
	rows := f.settling.end()
	f.log.Info("restored table settled", "rows", len(rows))
	if len(rows) > 0 {
		f.handler.ApplyChanges(rows)
	}
}
