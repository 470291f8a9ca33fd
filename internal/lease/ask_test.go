package lease

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/table"
)

// oneRow is a store of one row that counts its calls.
type oneRow struct {
	row   table.Row
	calls int
}

func (s *oneRow) Get(context.Context, string) (table.Row, error) {
	s.calls++
	return s.row, nil
}

func (s *oneRow) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (s *oneRow) Commit(_ context.Context, change table.Transaction) (uint64, error) {
	s.calls++
	s.row.Value, s.row.Revision = change.Writes[0].Value, s.row.Revision+1
	return s.row.Revision, nil
}

// held is a store in which a node holds the lease.
func held(t *testing.T, node string) *oneRow {
	t.Helper()
	value, err := json.Marshal(Record{Holder: node, Address: "10.0.0.9:1", Process: "before", Token: 7, Renewal: 3, Settled: true})
	assert.NilError(t, err)
	return &oneRow{row: table.Row{Value: value, Revision: 40}}
}

// asking is a lessor that another node tells the row.
func asking(store *oneRow, first bool) *Lessor {
	return New(store, "lease", "self", "10.0.0.1:1", "now", Options{
		Validity: 2 * time.Second, Interval: 500 * time.Millisecond, TurnGap: 3 * time.Second, CallTimeout: time.Second, LookFirst: first,
		Ask: func(context.Context) ([]byte, uint64, bool) { return store.row.Value, store.row.Revision, true },
	}, logr.Discard())
}

// TestAskedRowNamesTheHolder: a node that asks another one knows the holder without a call
// to the store, and takes no lease by what it was told.
func TestAskedRowNamesTheHolder(t *testing.T) {
	store := held(t, "other")
	l := asking(store, false)
	for range 20 {
		l.step(t.Context())
	}
	record, known := l.Holder()
	assert.Assert(t, known)
	assert.Equal(t, record.Holder, "other")
	assert.Equal(t, store.calls, 0)
	store.row.Value = []byte("{}")
	store.row.Revision++
	l.step(t.Context())
	assert.Equal(t, store.calls, 0, "a free row that was told is not taken")
	assert.Assert(t, !l.Holds())
}

// TestRestartedHolderGoesOnAtOnce: a process looks at the row once by itself, as its node
// may be the holder whose process was lost, and takes the lease at that look.
func TestRestartedHolderGoesOnAtOnce(t *testing.T) {
	l := asking(held(t, "self"), true)
	l.step(t.Context())
	assert.Assert(t, l.Holds())
	store := held(t, "other")
	l = asking(store, true)
	for range 5 {
		l.step(t.Context())
	}
	assert.Equal(t, store.calls, 1)
}

// TestHolderIsLookedAtOnce: a started process knows who holds the lease before its turn to
// take it comes, takes nothing then, not even its own node's lease, and looks again at its
// first step.
func TestHolderIsLookedAtOnce(t *testing.T) {
	for _, holder := range []string{"other", "self"} {
		store := held(t, holder)
		l := asking(store, true)
		l.lookAtOnce(t.Context())
		record, known := l.Holder()
		assert.Assert(t, known)
		assert.Equal(t, record.Holder, holder)
		assert.Assert(t, !l.Holds())
		assert.Equal(t, store.calls, 1)
		l.step(t.Context())
		assert.Assert(t, store.calls > 1)
		assert.Equal(t, l.Holds(), holder == "self")
	}
}
