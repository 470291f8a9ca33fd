package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// scriptedSource returns prepared answers in order.
type scriptedSource struct {
	reads   []Batch
	watches []Batch
	errs    []error
}

func (s *scriptedSource) Read(context.Context) (Batch, error) {
	batch := s.reads[0]
	s.reads = s.reads[1:]
	return batch, nil
}

func (s *scriptedSource) Watch(context.Context, table.Revision, time.Duration) (Batch, error) {
	err := s.errs[0]
	s.errs = s.errs[1:]
	if err != nil {
		return Batch{}, err
	}
	batch := s.watches[0]
	s.watches = s.watches[1:]
	return batch, nil
}

// recorder records what a handler receives.
type recorder struct {
	snapshots int
	changed   []string
	last      []Row
}

func (r *recorder) ApplySnapshot(rows []Row, _ time.Duration) {
	r.snapshots++
	r.last = rows
}

func (r *recorder) ApplyChanges(rows []Row) {
	r.last = rows
	for _, row := range rows {
		r.changed = append(r.changed, row.Key)
	}
}

func (r *recorder) ApplyRestored(rows []Row) []Deferred {
	r.ApplyChanges(rows)
	return nil
}

func (r *recorder) Keys() []string { return nil }

func follow(source Source, handler Handler) *Follower {
	return NewFollower(source, handler, Options{Name: "test", Wait: time.Second, Timeout: time.Second}, logr.Discard())
}

// TestOldReadAfterLostHistoryIsPassedOver checks that the table is read anew when the history is no
// longer kept, but a read older than what was seen is ignored.
func TestOldReadAfterLostHistoryIsPassedOver(t *testing.T) {
	source := &scriptedSource{
		reads:   []Batch{{Rows: []Row{{Key: "a"}}, Revision: 5}, {Rows: nil, Revision: 3}, {Rows: []Row{{Key: "b"}}, Revision: 9}},
		watches: []Batch{{Rows: []Row{{Key: "b"}}, Revision: 7}},
		errs:    []error{nil, fault.New(fault.CodeCompacted, "watch", "gone")},
	}
	got := &recorder{}
	f := follow(source, got)
	assert.NilError(t, f.step(t.Context())) // read at 5
	assert.NilError(t, f.step(t.Context())) // changes up to 7
	assert.NilError(t, f.step(t.Context())) // history gone
	err := f.step(t.Context())              // read at 3
	assert.Assert(t, fault.IsCode(err, fault.CodeStale), "%v", err)
	assert.Equal(t, got.snapshots, 1)
	assert.NilError(t, f.step(t.Context())) // read at 9
	assert.Equal(t, got.snapshots, 2)
	assert.Equal(t, got.last[0].Key, "b")
	assert.DeepEqual(t, got.changed, []string{"b"})
}

// TestEmptyTableIsReadOnce checks that a table in a store without any rows counts as read after one
// read. Revision zero must not be mistaken for a table that was never read.
func TestEmptyTableIsReadOnce(t *testing.T) {
	source := &scriptedSource{reads: []Batch{{}}, watches: []Batch{{}}, errs: []error{nil}}
	f := follow(source, &recorder{})
	assert.NilError(t, f.step(t.Context()))
	assert.Assert(t, f.Read())
	assert.NilError(t, f.step(t.Context()))
}

// TestRowsThatCameBackStay checks that a row which is removed and written again within one batch,
// as happens for runners after a store outage, is passed to the handler once, in its last state.
func TestRowsThatCameBackStay(t *testing.T) {
	source := &scriptedSource{
		reads: []Batch{{Revision: 4}},
		watches: []Batch{{Revision: 9, Rows: []Row{
			{Key: "left", Revision: 5}, {Key: "back", Revision: 6, Deleted: true}, {Key: "left", Revision: 7, Deleted: true},
			{Key: "back", Revision: 8, Value: []byte("new")},
		}}},
		errs: []error{nil},
	}
	handler := &recorder{}
	f := follow(source, handler)
	assert.NilError(t, f.step(t.Context()))
	assert.NilError(t, f.step(t.Context()))
	assert.DeepEqual(t, handler.last, []Row{
		{Key: "left", Revision: 7, Deleted: true}, {Key: "back", Revision: 8, Value: []byte("new")},
	})
}

// heldSource blocks watch calls until their context ends.
type heldSource struct {
	scriptedSource
	held chan struct{}
}

func (s *heldSource) Watch(ctx context.Context, _ table.Revision, _ time.Duration) (Batch, error) {
	s.held <- struct{}{}
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

// snapshotHandler signals each snapshot.
type snapshotHandler struct{ snapshots chan struct{} }

func (h snapshotHandler) ApplySnapshot([]Row, time.Duration) { h.snapshots <- struct{}{} }
func (h snapshotHandler) ApplyChanges([]Row)                 {}

func (h snapshotHandler) ApplyRestored([]Row) []Deferred { return nil }

func (h snapshotHandler) Keys() []string { return nil }

// TestTableIsReadAnewAtOnce checks that Reread interrupts a watch call.
func TestTableIsReadAnewAtOnce(t *testing.T) {
	source := &heldSource{scriptedSource: scriptedSource{reads: []Batch{{Revision: 1}, {Revision: 1}}}, held: make(chan struct{})}
	handler := snapshotHandler{snapshots: make(chan struct{}, 1)}
	f := NewFollower(source, handler, Options{Name: "test", Wait: time.Hour, Timeout: time.Hour}, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	<-handler.snapshots
	<-source.held
	f.Reread()
	<-handler.snapshots
	<-source.held
	cancel()
	<-done
}

// TestPaceLengthensWaits checks that a pace lengthens the wait for changes, and the time between
// two calls only for tables whose changes are batched.
func TestPaceLengthensWaits(t *testing.T) {
	pace := time.Duration(0)
	at := func() time.Duration { return pace }
	batched := NewFollower(nil, nil, Options{Wait: time.Second, Interval: 200 * time.Millisecond, Pace: at}, logr.Discard())
	immediate := NewFollower(nil, nil, Options{Wait: 400 * time.Millisecond, Pace: at}, logr.Discard())
	assert.Equal(t, batched.interval(), 200*time.Millisecond)
	pace = 700 * time.Millisecond
	assert.Equal(t, batched.interval(), pace)
	assert.Equal(t, batched.wait(), time.Second)
	assert.Equal(t, immediate.interval(), time.Duration(0))
	assert.Equal(t, immediate.wait(), pace)
}

// failingSource fails until it is repaired, and counts its reads.
type failingSource struct {
	repaired atomic.Bool
	calls    atomic.Int64
}

func (s *failingSource) Read(context.Context) (Batch, error) {
	s.calls.Add(1)
	if !s.repaired.Load() {
		return Batch{}, fault.New(fault.CodeStoreUnavailable, "read table", "away")
	}
	return Batch{Revision: 1}, nil
}

func (s *failingSource) Watch(ctx context.Context, after table.Revision, _ time.Duration) (Batch, error) {
	<-ctx.Done()
	return Batch{Revision: after}, nil
}

// TestFollowerSleptThoughItsSourceWasBack checks that a follower in backoff reads again as soon as
// it is signaled, and does not loop before that.
func TestFollowerSleptThoughItsSourceWasBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, retry := &failingSource{}, make(chan struct{})
		options := Options{Name: "test", Wait: time.Second, Timeout: time.Second, RetrySignal: func() <-chan struct{} { return retry }}
		f := NewFollower(source, &recorder{}, options, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(10 * time.Second)
		assert.Assert(t, source.calls.Load() < 40, "%d calls in 10 s", source.calls.Load())
		source.repaired.Store(true)
		close(retry)
		time.Sleep(2 * minBackoff)
		assert.Assert(t, f.Read())
		cancel()
		synctest.Wait()
	})
}
