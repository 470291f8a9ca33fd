package origin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// readTimeout is how long a question about a stream takes at most while no keeper is known to have read the
	// streams that were written before it started. Clients give up later.
	readTimeout = 1500 * time.Millisecond
	// readInterval is the pause between two questions of a node whether a keeper has read them.
	readInterval = 100 * time.Millisecond
	// readAskedNodes is how many nodes are asked each time: a keeper that has read the streams knows all of them, and
	// all read them at about the same time.
	readAskedNodes = 2
)

// hasRead reports whether this node is a keeper that knows what keepers wrote before it started. mutex is held.
func (r *Registry) hasRead() bool {
	return r.saved.loaded && slices.Contains(r.keepers, r.Self())
}

// nobodyReads reports whether no node will read streams: a deployment without keepers writes none. mutex is held.
func (r *Registry) nobodyReads() bool { return r.sure() && len(r.keepers) == 0 }

// awaitRead waits until a keeper has read the streams, and reports whether one has. One of the questions that wait
// asks the keepers for all of them.
func (r *Registry) awaitRead(ctx context.Context) bool {
	r.mutex.Lock()
	read := r.read
	r.mutex.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-read:
		return true
	case r.readAsked <- struct{}{}:
	}
	defer func() { <-r.readAsked }()
	for ; ctx.Err() == nil; wait.For(ctx, readInterval) {
		if r.askRead(ctx) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			close(r.read)
			r.read = make(chan struct{})
			return true
		}
	}
	return false
}

func (r *Registry) knowsKeepers() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.keepers) > 0
}

// askRead asks whether a keeper has read the streams.
func (r *Registry) askRead(ctx context.Context) bool {
	r.mutex.Lock()
	read := r.hasRead()
	r.mutex.Unlock()
	if read {
		return true
	}
	addresses, _ := r.nodesToAsk(ctx)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return r.ask(ctx, addresses[:min(readAskedNodes, len(addresses))], wire.OriginRequest{Forward: !r.knowsKeepers()}).Read
}
