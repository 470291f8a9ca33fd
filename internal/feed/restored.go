package feed

import (
	"slices"
	"time"

	"lilacvane/internal/table"
)

// minSettlingWait is the minimum wait of a call at the end of a settling period.
const minSettlingWait = 10 * time.Millisecond

// Deferred is a row of a restored table that is applied only after a time, unless it changes before.
type Deferred struct {
	Row
	For time.Duration
}

// Defer defers rows for a time.
func Defer(rows []Row, wait time.Duration) []Deferred {
	deferred := make([]Deferred, 0, len(rows))
	for _, row := range rows {
		deferred = append(deferred, Deferred{Row: row, For: wait})
	}
	return deferred
}

// settling is the state of a follower after a store returned with an older copy.
type settling struct {
	// until is the end of the settling period; zero if none has begun or all deferred rows were applied since.
	until time.Time
	// deferred are the rows that the handler has not applied, by key.
	deferred map[string]deferredRow
}

// deferredRow is a row with the time at which it is applied.
type deferredRow struct {
	Row
	due time.Time
}

func (s *settling) active() bool { return !s.until.IsZero() }

// next returns when the next deferred row is due or the period ends.
func (s *settling) next() time.Time {
	var next time.Time
	for _, row := range s.deferred {
		if next.IsZero() || row.due.Before(next) {
			next = row.due
		}
	}
	if time.Now().Before(s.until) && (next.IsZero() || s.until.Before(next)) {
		next = s.until
	}
	return next
}

// limit returns the wait of a call, reduced so that it ends when something is due.
func (s *settling) limit(wait time.Duration) time.Duration {
	if !s.active() {
		return wait
	}
	return min(wait, max(time.Until(s.next()), minSettlingWait))
}

// begin starts the period anew, with further deferred rows. None is due before it ends.
func (s *settling) begin(deferred []Deferred) {
	now := time.Now()
	s.until = now.Add(table.SettlingPeriod)
	for key, row := range s.deferred {
		if row.due.Before(s.until) {
			s.deferred[key] = deferredRow{Row: row.Row, due: s.until}
		}
	}
	if s.deferred == nil {
		s.deferred = make(map[string]deferredRow)
	}
	for _, row := range deferred {
		s.deferred[row.Key] = deferredRow{Row: row.Row, due: now.Add(max(row.For, table.SettlingPeriod))}
	}
}

// forget drops what was deferred of rows that have changed.
func (s *settling) forget(rows []Row) {
	for _, row := range rows {
		delete(s.deferred, row.Key)
	}
}

// takeDue returns the deferred rows that are due, ordered by revision. It ends the period after the last.
func (s *settling) takeDue() []Row {
	now := time.Now()
	var due []Row
	for key, row := range s.deferred {
		if !now.Before(row.due) {
			due = append(due, row.Row)
			delete(s.deferred, key)
		}
	}
	slices.SortFunc(due, byRevision)
	if len(s.deferred) == 0 && !now.Before(s.until) {
		*s = settling{}
	}
	return due
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

// settle applies the deferred rows that are due.
func (f *Follower) settle() {
	if !f.settling.active() {
		return
	}
	rows := f.settling.takeDue()
	if !f.settling.active() {
		f.log.Info("restored table settled", "rows", len(rows))
	}
	if len(rows) > 0 {
		f.handler.ApplyChanges(rows)
	}
}
