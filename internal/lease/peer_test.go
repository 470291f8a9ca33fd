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

// oneRow is a single-row store that counts its calls.
type oneRow struct {
	row   table.Row
	calls int
}

func (s *oneRow) Get(context.Context, string) (table.Row, error) {
	s.calls++
	return s.row, nil
}

func (s *oneRow) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (s *oneRow) Commit(_ context.Context, change table.Transaction) (table.Revision, error) {
	s.calls++
	s.row.Value, s.row.Revision = change.Writes[0].Value, s.row.Revision+1
	return s.row.Revision, nil
}

// storeHeldBy returns a store whose row says that node holds the lease.
func storeHeldBy(t *testing.T, node string) *oneRow {
	t.Helper()
	value, err := json.Marshal(Record{Holder: node, Address: "10.0.0.9:1", Process: "before", Token: 7, Renewal: 3, Settled: true})
	assert.NilError(t, err)
	return &oneRow{row: table.Row{Value: value, Revision: 40}}
}

// newPeerReader returns an Elector that can read the row from a peer.
func newPeerReader(store *oneRow, first bool) *Elector {
	return New(store, "lease", "self", "10.0.0.1:1", "now", Options{
		Validity: 2 * time.Second, Interval: 500 * time.Millisecond, TurnGap: 3 * time.Second, CallTimeout: time.Second, ReadStoreOnce: first,
		ReadFromPeer: func(context.Context) ([]byte, table.Revision, bool) { return store.row.Value, store.row.Revision, true },
	}, logr.Discard())
}

// TestRowFromPeerNamesHolder checks that a node that reads the row from a peer learns the
// holder without calling the store, and never takes the lease on the strength of a peer's
// answer.
func TestRowFromPeerNamesHolder(t *testing.T) {
	store := storeHeldBy(t, "other")
	l := newPeerReader(store, false)
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
	assert.Equal(t, store.calls, 0, "a free row that was read from a peer is not taken")
	assert.Assert(t, !l.Holds())
}

// TestRestartedHolderContinuesAtOnce checks that a new process reads the row from the store
// once, because its node may hold the lease from before a crash, and takes the lease on
// that read.
func TestRestartedHolderContinuesAtOnce(t *testing.T) {
	l := newPeerReader(storeHeldBy(t, "self"), true)
	l.step(t.Context())
	assert.Assert(t, l.Holds())
	store := storeHeldBy(t, "other")
	l = newPeerReader(store, true)
	for range 5 {
		l.step(t.Context())
	}
	assert.Equal(t, store.calls, 1)
}

// TestRowIsReadAtStart checks that a new process learns the holder before its turn to
// take the lease comes, that this first read takes no lease, not even its own node's, and
// that the first step reads the row again.
func TestRowIsReadAtStart(t *testing.T) {
	for _, holder := range []string{"other", "self"} {
		store := storeHeldBy(t, holder)
		l := newPeerReader(store, true)
		l.readAtStart(t.Context())
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
