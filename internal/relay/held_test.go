package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

// hungSource gets no answer to its first call.
type hungSource struct {
	feed.Source
	calls atomic.Int64
}

func (s *hungSource) Watch(ctx context.Context, after table.Revision, _ time.Duration) (feed.Batch, error) {
	if s.calls.Add(1) == 1 {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	return feed.Batch{Revision: after + 1}, nil
}

// onceFailingSource fails its first call.
type onceFailingSource struct {
	feed.Source
	failed bool
}

func (s *onceFailingSource) Watch(_ context.Context, after table.Revision, _ time.Duration) (feed.Batch, error) {
	if !s.failed {
		s.failed = true
		return feed.Batch{}, errors.New("down")
	}
	return feed.Batch{Revision: after}, nil
}

// TestHeldCallHungAfterStoreHadReturned: a call that had begun before the store failed hung on a
// dead connection until it timed out, although the store answered calls for another table again.
func TestHeldCallHungAfterStoreHadReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold = 10 * time.Second
		r := New(Options{Group: "group", Address: "10.0.0.1:1", Leases: &fakeStore{}, Epochs: &table.Epochs{}, Log: logr.Discard()})
		r.SetNodes(1)
		time.Sleep(leaseRowTimeout)
		hung, flaky := r.Source("hung", &hungSource{}), r.Source("flaky", &onceFailingSource{})
		began := time.Now()
		answered := make(chan time.Duration, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), hold)
			defer cancel()
			_, _ = hung.Watch(ctx, 1, hold)
			answered <- time.Since(began)
		}()
		time.Sleep(time.Second)
		_, err := flaky.Watch(t.Context(), 1, hold)
		assert.ErrorContains(t, err, "down")
		time.Sleep(2 * sharedFailurePeriod)
		_, err = flaky.Watch(t.Context(), 1, hold)
		assert.NilError(t, err)
		took := <-answered
		assert.Assert(t, took < hold/2, "%s", took)
	})
}
