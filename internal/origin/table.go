package origin

import (
	"context"
	"math/rand/v2"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/lease"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// servedKey is the key of the one row of the table.
	servedKey = "served"
	// recordInterval is how often a node looks whether the row is to be written. That needs no call.
	recordInterval = 100 * time.Millisecond
	// recordTimeout bounds a read and a write of the row together.
	recordTimeout = 1600 * time.Millisecond
	// recordPause is the pause after an attempt that failed or left something to record; up to as much is added at
	// random.
	recordPause = 500 * time.Millisecond
	// standInDelay is how long a node that does not hold the lease waits until the holder has recorded a
	// build, as there may be no holder; up to standInSpread is added at random.
	standInDelay  = 3 * time.Second
	standInSpread = 10 * time.Second
)

// Handler applies the rows of the table of builds.
type Handler Registry

// ApplySnapshot applies the whole table.
func (h *Handler) ApplySnapshot(rows []feed.Row, _ time.Duration) {
	r := (*Registry)(h)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.applyRows(rows) {
		r.setServed(wire.ServedBuilds{}, r.served.revision)
	}
}

// ApplyChanges applies changed rows.
func (h *Handler) ApplyChanges(rows []feed.Row) {
	r := (*Registry)(h)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applyRows(rows)
}

// ApplyRestored applies the rows of a restored table. What it lacks was lost, and is written again.
func (h *Handler) ApplyRestored(rows []feed.Row) []feed.Deferred {
	h.ApplyChanges(rows)
	return nil
}

// Keys returns the key of the row, if it is known.
func (h *Handler) Keys() []string {
	r := (*Registry)(h)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.served.current {
		return nil
	}
	return []string{servedKey}
}

// applyRows applies the row if it is among rows. A row that was removed is written again, as is one that cannot be
// read. mutex is held.
func (r *Registry) applyRows(rows []feed.Row) (found bool) {
	for _, row := range rows {
		if row.Key != servedKey {
			continue
		}
		var served wire.ServedBuilds
		if !row.Deleted {
			served = r.decode(row.Value, row.Revision)
		}
		r.setServed(served, row.Revision)
		found = true
	}
	return found
}

// decode returns the content of the row; nothing if it cannot be read.
func (r *Registry) decode(value []byte, revision table.Revision) wire.ServedBuilds {
	var served wire.ServedBuilds
	if err := wire.Decode(value, "store", &served); err != nil {
		r.Log.Error(err, "row unreadable", "step", "read builds", "key", servedKey, "revision", revision)
		return wire.ServedBuilds{}
	}
	return served
}

// setServed applies the row as of a revision. mutex is held.
func (r *Registry) setServed(row wire.ServedBuilds, revision table.Revision) {
	if !r.served.read {
		close(r.servedRead)
	}
	before := r.served
	r.served.apply(row, revision)
	if !before.read || before.complete != r.served.complete || before.current != r.served.current {
		r.Log.Info("builds that served known", "complete", r.served.complete, "current", r.served.current, "builds", len(r.served.builds))
	}
}

// seenBuilds returns the builds that this node has seen lately, with whether runners of them are listed. mutex is held.
func (r *Registry) seenBuilds() map[serviceBuild]bool {
	seen := make(map[serviceBuild]bool)
	for service, builds := range r.builds {
		for build, leftAt := range builds.leftAt {
			if r.Now().Sub(leftAt) < unrecordedLifetime {
				seen[serviceBuild{service, build}] = false
			}
		}
		for build := range builds.runners {
			seen[serviceBuild{service, build}] = true
		}
	}
	return seen
}

// Record writes the builds that serve, or served lately, to the table until ctx ends.
func (r *Registry) Record(ctx context.Context) {
	var schedule recordSchedule
	for wait.For(ctx, recordInterval); ctx.Err() == nil; wait.For(ctx, recordInterval) {
		term := r.Term()
		ready, lacks := r.compare(term)
		if !ready || !schedule.due(r.Now(), lacks, term.Held) {
			continue
		}
		next, err := r.recordOnce(ctx)
		if err != nil {
			r.Log.Info("builds not recorded", "error", err.Error())
		}
		schedule.attempted(r.Now(), next, err)
	}
}

// compare reports whether the table and the list were read, and whether the row lacks anything.
func (r *Registry) compare(term lease.Term) (ready, lacks bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ready = r.served.read && !r.listedSince.IsZero()
	return ready, ready && r.served.lacks(r.seenBuilds(), term)
}

// recordSchedule decides when a node reads the row to revise it.
type recordSchedule struct {
	// notBefore is the end of a pause. checkAt is when the row changes by itself, as far as known.
	notBefore time.Time
	checkAt   time.Time
	// standInAt is when this node writes what the row lacks though it does not hold the lease; zero while the row
	// lacks nothing.
	standInAt time.Time
}

// due reports whether to revise the row now.
func (s *recordSchedule) due(now time.Time, lacks, holds bool) bool {
	if !lacks {
		s.standInAt = time.Time{}
	} else if s.standInAt.IsZero() {
		s.standInAt = now.Add(standInDelay + rand.N(standInSpread))
	}
	switch {
	case now.Before(s.notBefore):
		return false
	case holds:
		return lacks || !now.Before(s.checkAt)
	default:
		return lacks && !now.Before(s.standInAt)
	}
}

// attempted records an attempt. next is how long after it the row changes by itself.
func (s *recordSchedule) attempted(now time.Time, next time.Duration, err error) {
	s.standInAt = time.Time{}
	s.notBefore = now.Add(recordPause + rand.N(recordPause))
	if err == nil {
		s.checkAt = now.Add(next)
	}
}

// recordOnce reads the row and writes it if it is to be revised. It returns how long after that the row changes
// by itself.
func (r *Registry) recordOnce(ctx context.Context) (next time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	row, err := r.Rows.Get(ctx, servedKey)
	if err != nil {
		return 0, fault.From(err, "read builds")
	}
	var served wire.ServedBuilds
	if row.Revision.Exists() {
		served = r.decode(row.Value, row.Revision)
	}
	revised, revision := r.revise(served, row), row.Revision
	if !equal(revised, served) {
		if revision, err = r.write(ctx, revised, revision); err != nil {
			return 0, err
		}
		r.Log.Info("builds recorded", "builds", len(revised.Builds), "complete", revised.Complete, "epoch", revised.Epoch)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.setServed(revised, revision)
	return nextChange(revised, row.ReadAt), nil
}

func (r *Registry) revise(served wire.ServedBuilds, row table.Row) wire.ServedBuilds {
	term := r.Term()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.served.revise(served, row.Revision.Epoch(), r.seenBuilds(), term, row.ReadAt)
}

// write writes the row on condition that it is the one that was read.
func (r *Registry) write(ctx context.Context, served wire.ServedBuilds, read table.Revision) (table.Revision, error) {
	value, err := wire.Encode(served)
	if err != nil {
		return 0, err
	}
	revision, err := r.Rows.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: servedKey, Revision: read}}, Writes: []table.Write{{Key: servedKey, Value: value}},
	})
	if err != nil {
		return 0, fault.From(err, "record builds")
	}
	return revision, nil
}
