package relay

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"syscall"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// Source reads a table from the node's current upstream. It implements feed.Source and updates the
// node's mirror of the table.
type Source struct {
	relay  *Relay
	table  Table
	store  feed.Source
	mirror *mirror
}

// Source returns the source of a table. store reads the table from the store itself.
func (r *Relay) Source(name Table, store feed.Source) *Source {
	return &Source{relay: r, table: name, store: store, mirror: r.mirror(name)}
}

// Read returns all rows, from the store if no relay provides them.
func (s *Source) Read(ctx context.Context) (feed.Batch, error) {
	batch, err := s.fetch(ctx, wire.FollowRequest{Whole: true, Paged: true}, s.store.Read)
	if err == nil {
		s.mirror.replace(batch)
		s.dropMirrorRows()
	}
	return batch, err
}

// Watch returns the changes after a revision, from the store if no relay provides them. It fails
// with fault.CodeCompacted if they are no longer kept.
func (s *Source) Watch(ctx context.Context, after table.Revision, wait time.Duration) (feed.Batch, error) {
	request := wire.FollowRequest{After: after.Number(), Epoch: after.Epoch(), HoldMs: wait.Milliseconds()}
	batch, err := s.fetch(ctx, request, func(ctx context.Context) (feed.Batch, error) {
		if err := s.fill(ctx); err != nil {
			return feed.Batch{}, err
		}
		if s.relay.storeRecovery() != nil {
			return s.probe(ctx, after)
		}
		return s.store.Watch(ctx, after, wait)
	})
	if err == nil {
		s.mirror.apply(batch)
		s.dropMirrorRows()
	}
	return batch, err
}

// probe reads the changes from a store that failed the last call of this node. It does not wait for
// changes, so that it is soon known whether the store answers again.
func (s *Source) probe(ctx context.Context, after table.Revision) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.store.Watch(ctx, after, 0)
}

// dropMirrorRows drops the rows of a large mirror unless this node reads the store itself and so
// may serve them to others.
func (s *Source) dropMirrorRows() {
	if _, reads := s.relay.Upstream().(Store); !reads {
		s.mirror.dropRows(maxKeptBytes)
	}
}

// fill restores the rows of a mirror that has dropped them, before this node serves them to others.
func (s *Source) fill(ctx context.Context) error {
	if !s.mirror.lacksRows() {
		return nil
	}
	batch, err := s.store.Read(ctx)
	if err != nil {
		return err
	}
	return s.mirror.fill(batch)
}

// fetch calls the relay, and the store if there is none or it fails.
func (s *Source) fetch(ctx context.Context, request wire.FollowRequest, store func(context.Context) (feed.Batch, error)) (feed.Batch, error) {
	relay, ok := s.relay.Upstream().(Peer)
	if !ok {
		var err error
		if relay, ok, err = s.relay.awaitReader(ctx); err != nil {
			return feed.Batch{}, err
		}
	}
	if ok {
		ctx, stop := s.awaitStore(ctx, relay, &request)
		defer stop()
		batch, err := s.callRelay(ctx, relay, request)
		if err != nil && connectionLost(err) {
			// A connection reset does not show that the relay is down.
			batch, err = s.callRelay(ctx, relay, request)
		}
		if err == nil || fault.IsCode(err, fault.CodeCompacted) || ctx.Err() != nil {
			return batch, err
		}
		if fault.IsCode(err, fault.CodeStale) {
			s.relay.recordStaleRelay(relay, s.table, err)
			if !s.relay.FallsBackToStore() || !s.relay.mayProbeStore() {
				s.relay.findReplacement(ctx, relay)
				return batch, err
			}
		}
		if relay.Token == 0 {
			// The reader or other nodes may already name another one.
			s.relay.dropReader(relay)
			return feed.Batch{}, err
		}
		s.relay.suspendRelay(relay, s.table, err)
		if !s.relay.FallsBackToStore() {
			return feed.Batch{}, err
		}
	}
	return s.readStore(ctx, store)
}

// awaitStore makes a request to a relay that has not heard of the store wait until it has. Meanwhile
// other nodes are queried, and the request ends when one names another source. stop waits for that.
func (s *Source) awaitStore(ctx context.Context, relay Peer, request *wire.FollowRequest) (ended context.Context, stop func()) {
	if !s.relay.isStale(relay) {
		return ctx, func() {}
	}
	request.AwaitStore, request.HoldMs = true, max(request.HoldMs, awaitStoreHold.Milliseconds())
	ended, cancel := withCancelOn(ctx, s.relay.UpstreamFound())
	var search sync.WaitGroup
	search.Go(func() { s.relay.findReplacement(ended, relay) })
	return ended, func() {
		cancel()
		search.Wait()
	}
}

// readStore calls the store itself. Once the store answers again after it failed a call, all others
// are canceled and repeated, also those that had begun before: they may be waiting on a dead
// connection.
func (s *Source) readStore(ctx context.Context, store func(context.Context) (feed.Batch, error)) (feed.Batch, error) {
	if s.relay.otherTableFailed(s.table) {
		return feed.Batch{}, fault.New(fault.CodeStoreUnavailable, "ask store", "the store has just failed another table's call")
	}
	callCtx, stop := withCancelOn(ctx, s.relay.UpstreamFound())
	defer stop()
	batch, err := store(callCtx)
	switch {
	case err == nil:
		s.relay.recordStoreAnswer()
	case callCtx.Err() != nil && ctx.Err() == nil:
		return s.readStore(ctx, store)
	case !fault.IsCode(err, fault.CodeCompacted):
		s.relay.recordStoreFailure(s.table)
		s.relay.findReplacement(context.WithoutCancel(ctx), s.relay.failedRelay())
	}
	return batch, err
}

// withCancelOn returns a context that ends with ctx or as soon as the channel is closed. stop
// releases it.
func withCancelOn(ctx context.Context, closed <-chan struct{}) (ended context.Context, stop context.CancelFunc) {
	ended, stop = context.WithCancel(ctx)
	if closed == nil {
		return ended, stop
	}
	go func() {
		select {
		case <-closed:
			stop()
		case <-ended.Done():
		}
	}()
	return ended, stop
}

// connectionLost reports whether a call failed because its connection broke, rather than by a
// timeout or by an error response.
func connectionLost(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// callRelay calls the relay, page by page for all rows. Changes made meanwhile are sent again with
// the changes after the revision of the batch, which is that of its oldest page.
func (s *Source) callRelay(ctx context.Context, relay Peer, request wire.FollowRequest) (feed.Batch, error) {
	batch, next, err := s.requestPage(ctx, relay, request)
	for err == nil && next != "" {
		if next <= request.FromKey {
			return feed.Batch{}, fault.At(fault.CodeInvalid, "follow relay", relay.Address, fault.NotDone,
				fault.New(fault.CodeInvalid, "read pages", "page %q follows page %q", next, request.FromKey))
		}
		var more feed.Batch
		request.FromKey = next
		more, next, err = s.requestPage(ctx, relay, request)
		if err == nil && more.Revision.Epoch() != batch.Revision.Epoch() {
			return feed.Batch{}, fault.At(fault.CodeStale, "follow relay", relay.Address, fault.NotDone,
				fault.New(fault.CodeStale, "read pages", "the epoch changed from %d to %d", batch.Revision.Epoch(), more.Revision.Epoch()))
		}
		batch.Rows = append(batch.Rows, more.Rows...)
		batch.Revision = min(batch.Revision, more.Revision)
		batch.Age = max(batch.Age, more.Age)
	}
	return batch, err
}

// requestPage calls the relay and returns the first key of the next page. The call is canceled if
// another call shows that the relay is lost.
func (s *Source) requestPage(ctx context.Context, relay Peer, request wire.FollowRequest) (batch feed.Batch, next string, err error) {
	request.Table, request.From = string(s.table), s.relay.address
	margin := callMargin
	if request.Whole {
		margin = wholeMargin
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+margin)
	defer cancel()
	ctx, stop := withCancelOn(ctx, s.relay.lossChannel())
	defer stop()
	var response wire.FollowResponse
	if err := s.relay.client.Call(ctx, relay.Address, wire.MethodFollow, request, &response); err != nil {
		return feed.Batch{}, "", err
	}
	if err := checkNumbers(&response, relay); err != nil {
		return feed.Batch{}, "", err
	}
	if err := s.relay.checkEpoch(&response, relay, request.Epoch); err != nil {
		return feed.Batch{}, "", err
	}
	age := time.Duration(response.AgeMs) * time.Millisecond
	if age > maxAge {
		return feed.Batch{}, "", fault.At(fault.CodeStale, "follow relay", relay.Address, fault.NotDone,
			fault.New(fault.CodeStale, "hear store", "the relay heard of the store %v ago", age))
	}
	s.relay.recordRelayAnswer()
	s.relay.addPeers(response.Peers...)
	rows, err := rowsOf(response, relay)
	return feed.Batch{Rows: rows, Revision: table.NewRevision(response.Epoch, response.Revision), Age: age}, response.Next, err
}

// maxAgeMs is the largest age that a time.Duration holds, in milliseconds.
const maxAgeMs = math.MaxInt64 / int64(time.Millisecond)

// checkNumbers returns an error if a response has an age or a revision that no relay has. A revision that is too
// large would be newer than all later ones.
func checkNumbers(response *wire.FollowResponse, relay Peer) error {
	if response.AgeMs >= 0 && response.AgeMs <= maxAgeMs && response.Revision <= table.MaxNumber && response.Epoch <= table.MaxEpoch {
		return nil
	}
	return fault.At(fault.CodeInvalid, "follow relay", relay.Address, fault.NotDone,
		fault.New(fault.CodeInvalid, "read response", "age of %d ms, revision %d, epoch %d", response.AgeMs, response.Revision, response.Epoch))
}
