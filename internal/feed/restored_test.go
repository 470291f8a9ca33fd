package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// restoredSource is a table that returns with a copy of which the row "lost" is missing. written are the
// changes after that.
type restoredSource struct {
	restored atomic.Bool
	written  chan []Row
}

func (s *restoredSource) epoch() table.Epoch {
	if s.restored.Load() {
		return 2
	}
	return 1
}

func (s *restoredSource) Read(context.Context) (Batch, error) {
	rows := []Row{{Key: "kept", Revision: table.NewRevision(s.epoch(), 1)}}
	if !s.restored.Load() {
		rows = append(rows, Row{Key: "lost", Revision: table.NewRevision(1, 2)})
	}
	return Batch{Rows: rows, Revision: table.NewRevision(s.epoch(), 2)}, nil
}

func (s *restoredSource) Watch(ctx context.Context, after table.Revision, wait time.Duration) (Batch, error) {
	if after.Epoch() != s.epoch() {
		return Batch{}, fault.New(fault.CodeCompacted, "watch", "another epoch")
	}
	batch := Batch{Revision: after}
	select {
	case batch.Rows = <-s.written:
	case <-time.After(min(wait, 100*time.Millisecond)):
	}
	return batch, nil
}

// restoredHandler defers the deletion of the row "lost" and sends what it is given then.
type restoredHandler struct {
	recorder
	// defers is how long the deletion is deferred.
	defers            time.Duration
	restored, changed chan []Row
}

func (h *restoredHandler) ApplyRestored(rows []Row) []Deferred {
	h.restored <- rows
	return Defer(rows[len(rows)-1:], h.defers)
}

func (h *restoredHandler) ApplyChanges(rows []Row) { h.changed <- rows }

func (h *restoredHandler) Keys() []string { return []string{"kept", "lost"} }

// followRestored follows a table until the handler was given the rows of a restored one, which lack "lost". It
// defers that for a time.
func followRestored(t *testing.T, defers time.Duration) (source *restoredSource, handler *restoredHandler) {
	source = &restoredSource{written: make(chan []Row)}
	handler = &restoredHandler{defers: defers, restored: make(chan []Row), changed: make(chan []Row)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { follow(source, handler).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(time.Second)
	source.restored.Store(true)
	assert.DeepEqual(t, <-handler.restored, []Row{
		{Key: "kept", Revision: table.NewRevision(2, 1)}, {Key: "lost", Revision: table.NewRevision(2, 2), Deleted: true},
	})
	return source, handler
}

// TestRowMissingFromRestoredTableWasTakenForGone: rows that the copy lacked counted as deleted at once.
func TestRowMissingFromRestoredTableWasTakenForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, handler := followRestored(t, table.SettlingPeriod)
		began := time.Now()
		assert.DeepEqual(t, <-handler.changed, []Row{{Key: "lost", Revision: table.NewRevision(2, 2), Deleted: true}})
		assert.Assert(t, time.Since(began) >= table.SettlingPeriod)
	})
	synctest.Test(t, func(t *testing.T) {
		source, handler := followRestored(t, table.SettlingPeriod)
		again := []Row{{Key: "lost", Revision: table.NewRevision(2, 5)}}
		source.written <- again
		assert.DeepEqual(t, <-handler.changed, again)
		select {
		case rows := <-handler.changed:
			t.Errorf("%v applied though it was written again", rows)
		case <-time.After(2 * table.SettlingPeriod):
		}
	})
}

// TestRunnerThatLeftWasListedUntilItsRowLapsed: what was deferred of a restored table was applied at the end of
// the settling period, before the platform had removed the rows of runners that had left.
func TestRunnerThatLeftWasListedUntilItsRowLapsed(t *testing.T) {
	const lapse = 2 * table.SettlingPeriod
	synctest.Test(t, func(t *testing.T) {
		source, handler := followRestored(t, lapse)
		began := time.Now()
		for time.Since(began) < lapse-time.Second {
			select {
			case rows := <-handler.changed:
				t.Fatalf("%v applied after %v", rows, time.Since(began))
			case <-time.After(100 * time.Millisecond):
			}
		}
		again := []Row{{Key: "lost", Revision: table.NewRevision(2, 5)}}
		source.written <- again
		assert.DeepEqual(t, <-handler.changed, again)
	})
	synctest.Test(t, func(t *testing.T) {
		_, handler := followRestored(t, lapse)
		began := time.Now()
		assert.DeepEqual(t, <-handler.changed, []Row{{Key: "lost", Revision: table.NewRevision(2, 2), Deleted: true}})
		assert.Assert(t, time.Since(began) >= lapse && time.Since(began) < lapse+time.Second, "%v", time.Since(began))
	})
}
