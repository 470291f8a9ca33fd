package relay

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/wire"
)

// Source is a table read from wherever the node reads it now. It is a
// feed.Source and keeps the node's mirror of the table.
type Source struct {
	relay  *Relay
	table  Table
	store  feed.Source
	mirror *mirror
}

// Source returns a table's source; store reads it from the store itself.
func (r *Relay) Source(name Table, store feed.Source) *Source {
	return &Source{relay: r, table: name, store: store, mirror: r.mirror(name)}
}

// Read returns all rows, from the store when the relay does not tell them.
func (s *Source) Read(ctx context.Context) (feed.Batch, error) {
	batch, err := s.fetch(ctx, wire.FollowRequest{Whole: true, Paged: true}, s.store.Read)
	if err == nil {
		s.mirror.replace(batch)
		s.lighten()
	}
	return batch, err
}

// Watch returns the changes after a revision, from the store when the relay does
// not tell them. It fails with fault.CodeCompacted when they are no longer kept.
func (s *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Batch, error) {
	request := wire.FollowRequest{After: after, HoldMs: wait.Milliseconds()}
	batch, err := s.fetch(ctx, request, func(ctx context.Context) (feed.Batch, error) {
		if err := s.fill(ctx); err != nil {
			return feed.Batch{}, err
		}
		if s.relay.lost() != nil {
			return s.probe(ctx, after)
		}
		return s.store.Watch(ctx, after, wait)
	})
	if err == nil {
		s.mirror.apply(batch)
		s.lighten()
	}
	return batch, err
}

// probe reads the changes of a store that failed this node's last call. It does not wait for
// any, so that it is soon known whether the store answers again.
func (s *Source) probe(ctx context.Context, after uint64) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.store.Watch(ctx, after, 0)
}

// lighten drops the rows of the mirror if they are many and this node tells nobody of them.
func (s *Source) lighten() {
	if _, reads := s.relay.Upstream().(Store); !reads {
		s.mirror.lighten(keptSize)
	}
}

// fill reads the rows of a mirror that does not keep them, before this node tells others.
func (s *Source) fill(ctx context.Context) error {
	if !s.mirror.isLight() {
		return nil
	}
	batch, err := s.store.Read(ctx)
	if err != nil {
		return err
	}
	return s.mirror.fill(batch)
}

// fetch asks the relay, and the store when there is none or it fails.
func (s *Source) fetch(ctx context.Context, request wire.FollowRequest, store func(context.Context) (feed.Batch, error)) (feed.Batch, error) {
	relay, ok := s.relay.Upstream().(Peer)
	if !ok {
		var err error
		if relay, ok, err = s.relay.find(ctx); err != nil {
			return feed.Batch{}, err
		}
	}
	if ok {
		batch, err := s.ask(ctx, relay, request)
		if err != nil && connectionLost(err) {
			// A connection that was reset does not show that the relay is gone.
			batch, err = s.ask(ctx, relay, request)
		}
		if err == nil || fault.IsCode(err, fault.CodeCompacted) || ctx.Err() != nil {
			return batch, err
		}
		if fault.IsCode(err, fault.CodeStale) {
			s.relay.noteStale(relay, s.table, err)
			if !s.relay.Direct() || !s.relay.mayLook() {
				s.relay.seek(ctx, relay)
				return batch, err
			}
		}
		if relay.Token == 0 {
			// Another node may already be named by it, or by others.
			s.relay.leaveReader(relay)
			return feed.Batch{}, err
		}
		s.relay.fail(relay, s.table, err)
		if !s.relay.Direct() {
			return feed.Batch{}, err
		}
	}
	return s.direct(ctx, store)
}

// direct asks the store itself. A call that began while the store failed others ends as soon as
// the store answers one of them: it may wait on a connection that stays silent.
func (s *Source) direct(ctx context.Context, store func(context.Context) (feed.Batch, error)) (feed.Batch, error) {
	if s.relay.refused(s.table) {
		return feed.Batch{}, fault.New(fault.CodeStoreUnavailable, "ask store", "the store has just failed another table's call")
	}
	asked, stop := endWith(ctx, s.relay.lost())
	defer stop()
	batch, err := store(asked)
	switch {
	case err == nil:
		s.relay.noteStore()
	case asked.Err() != nil && ctx.Err() == nil:
		return s.direct(ctx, store)
	case !fault.IsCode(err, fault.CodeCompacted):
		s.relay.noteRefusal(s.table)
		s.relay.seek(context.WithoutCancel(ctx), s.relay.failedRelay())
	}
	return batch, err
}

// endWith returns a context that ends with ctx, or as soon as a channel is closed. stop releases
// it.
func endWith(ctx context.Context, closed <-chan struct{}) (ended context.Context, stop context.CancelFunc) {
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

// connectionLost reports whether a call ended with its connection, and not by its
// time or by an answer.
func connectionLost(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// ask asks the relay, page by page for all rows. What changes meanwhile is told again by the
// changes after the batch's revision, which is that of its oldest page.
func (s *Source) ask(ctx context.Context, relay Peer, request wire.FollowRequest) (feed.Batch, error) {
	batch, next, err := s.askPage(ctx, relay, request)
	for err == nil && next != "" {
		if next <= request.FromKey {
			return feed.Batch{}, fault.At(fault.CodeInvalid, "follow relay", relay.Address, fault.NotDone,
				fault.New(fault.CodeInvalid, "read pages", "page %q follows page %q", next, request.FromKey))
		}
		var more feed.Batch
		request.FromKey = next
		more, next, err = s.askPage(ctx, relay, request)
		batch.Rows = append(batch.Rows, more.Rows...)
		batch.Revision = min(batch.Revision, more.Revision)
		batch.Age = max(batch.Age, more.Age)
	}
	return batch, err
}

// askPage calls the relay, and returns the first key of the next page. The call ends early
// when another one shows that the relay is gone.
func (s *Source) askPage(ctx context.Context, relay Peer, request wire.FollowRequest) (batch feed.Batch, next string, err error) {
	request.Table, request.From = string(s.table), s.relay.address
	margin := callMargin
	if request.Whole {
		margin = wholeMargin
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.HoldMs)*time.Millisecond+margin)
	defer cancel()
	ctx, stop := endWith(ctx, s.relay.goneChannel())
	defer stop()
	var response wire.FollowResponse
	if err := s.relay.client.Call(ctx, relay.Address, wire.MethodFollow, request, &response); err != nil {
		return feed.Batch{}, "", err
	}
	age := time.Duration(response.AgeMs) * time.Millisecond
	if age > maxAge {
		return feed.Batch{}, "", fault.At(fault.CodeStale, "follow relay", relay.Address, fault.NotDone,
			fault.New(fault.CodeStale, "hear store", "the relay heard of the store %v ago", age))
	}
	s.relay.noteRelay()
	s.relay.meet(response.Peers...)
	rows, err := rowsOf(response, relay)
	return feed.Batch{Rows: rows, Revision: response.Revision, Age: age}, response.Next, err
}
