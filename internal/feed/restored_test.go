package feed

import (
	"context"
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
	restored bool
	written  []Row
}

func (s *restoredSource) epoch() table.Epoch {
	if s.restored {
		return 2
	}
	return 1
}

func (s *restoredSource) Read(context.Context) (Batch, error) {
	rows := []Row{{Key: "kept", Revision: table.NewRevision(s.epoch(), 1)}}
	if !s.restored {
		rows = append(rows, Row{Key: "lost", Revision: table.NewRevision(1, 2)})
	}
	return Batch{Rows: rows, Revision: table.NewRevision(s.epoch(), 2)}, nil
}

func (s *restoredSource) Watch(ctx context.Context, after table.Revision, wait time.Duration) (Batch, error) {
	if after.Epoch() != s.epoch() {
		return Batch{}, fault.New(fault.CodeCompacted, "watch", "another epoch")
	}
	time.Sleep(min(wait, 100*time.Millisecond))
	batch := Batch{Rows: s.written, Revision: after}
	s.written = nil
	return batch, nil
}

// runRestored follows a table that is restored after a second, and returns when and how the handler was
// given the row "lost" after that.
func runRestored(t *testing.T, written []Row) (handler *recorder) {
	handler = &recorder{keys: []string{"kept", "lost"}, deferred: []Row{{Key: "lost", Revision: table.NewRevision(2, 2), Deleted: true}}}
	source := &restoredSource{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follow(source, handler).Run(ctx)
	time.Sleep(time.Second)
	source.restored = true
	time.Sleep(SettlingPeriod / 2)
	assert.Equal(t, handler.snapshots, 1, "a restored table is no snapshot")
	assert.DeepEqual(t, handler.last[len(handler.last)-1], Row{Key: "lost", Revision: table.NewRevision(2, 2), Deleted: true})
	handler.last = nil
	source.written = written
	time.Sleep(SettlingPeriod)
	cancel()
	synctest.Wait()
	return handler
}

// TestRowMissingFromRestoredTableWasTakenForGone: rows that the copy lacked counted as deleted at once.
func TestRowMissingFromRestoredTableWasTakenForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := runRestored(t, nil)
		assert.DeepEqual(t, handler.last, []Row{{Key: "lost", Revision: table.NewRevision(2, 2), Deleted: true}})
	})
	synctest.Test(t, func(t *testing.T) {
		again := Row{Key: "lost", Revision: table.NewRevision(2, 5)}
		handler := runRestored(t, []Row{again})
		assert.DeepEqual(t, handler.last, []Row{again})
	})
}
