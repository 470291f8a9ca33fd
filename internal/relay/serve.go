package relay

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// Follow handles a read by another node. It fails with fault.CodeNotReady if this node follows a
// relay itself, is stopping or has not read the table.
func (r *Relay) Follow(ctx context.Context, request wire.FollowRequest) (wire.FollowResponse, error) {
	if _, direct := r.Upstream().(Store); !direct || r.isStopped() {
		return wire.FollowResponse{}, fault.New(fault.CodeNotReady, "relay table", "this node does not relay")
	}
	r.addPeers(request.From)
	hold := time.Duration(min(request.HoldMs, maxHoldMs)) * time.Millisecond
	if request.Whole {
		hold = snapshotWait
	}
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	if request.AwaitStore {
		r.awaitStore(ctx)
	}
	if age := r.age(); age > maxAge {
		// The reader would discard the data, so it is answered at once.
		return wire.FollowResponse{AgeMs: age.Milliseconds()}, nil
	}
	m := r.mirror(Table(request.Table))
	if request.Whole && request.Paged {
		return r.followPage(ctx, m, request.FromKey)
	}
	batch, err := read(ctx, m, request)
	if err != nil {
		return wire.FollowResponse{}, err
	}
	response := wire.FollowResponse{Revision: batch.Revision.Number(), Epoch: batch.Revision.Epoch(), AgeMs: r.age().Milliseconds()}
	if err := m.packer.put(&response, request, batch); err != nil {
		return wire.FollowResponse{}, err
	}
	if len(batch.Rows) > 0 {
		response.Peers = r.samplePeers(maxPeersSent)
	}
	return response, nil
}

// followPage handles a request for a page of a table.
func (r *Relay) followPage(ctx context.Context, m *mirror, from string) (wire.FollowResponse, error) {
	all, err := m.pager.get(ctx, m)
	if err != nil {
		return wire.FollowResponse{}, err
	}
	response := wire.FollowResponse{AgeMs: r.age().Milliseconds()}
	all.put(&response, from)
	response.Peers = r.samplePeers(maxPeersSent)
	return response, nil
}

// read returns all rows of a mirror, or its changes after the revision in the request. A reader that
// does not know epochs is taken to be in that of the mirror. It fails with fault.CodeCompacted if the
// changes do not fit a message: the reader then reads the table page by page.
func read(ctx context.Context, m *mirror, request wire.FollowRequest) (feed.Batch, error) {
	if request.Whole {
		return m.awaitSnapshot(ctx)
	}
	batch, err := m.after(ctx, table.NewRevision(request.Epoch, request.After).InEpoch(m.epoch()))
	if err == nil && (len(batch.Rows) > maxSentRows || sizeOfAll(batch.Rows) > maxChangesSize) {
		return feed.Batch{}, fault.New(fault.CodeCompacted, "relay table", "%d changed rows do not fit a message", len(batch.Rows))
	}
	return batch, err
}

// awaitStore waits until the store has answered this node lately, or until ctx ends.
func (r *Relay) awaitStore(ctx context.Context) {
	for r.age() > maxAge {
		r.mu.Lock()
		heard := r.storeHeard
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-heard:
		}
	}
}

func (r *Relay) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// mirror returns the mirror of a table, which is unread at first.
func (r *Relay) mirror(name Table) *mirror {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mirrors[name] == nil {
		r.mirrors[name] = newMirror()
	}
	return r.mirrors[name]
}
