package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/wait"
)

const (
	// searchTimeout is how long a node searches for another node to read from before it falls back
	// to the store. An expired lease of a relay is taken over within 2 s, and some node reads the
	// store long before that.
	searchTimeout = 1200 * time.Millisecond
	// fallbackGrowth multiplies the share of nodes that fall back to the store after each failed
	// search. All of 300 nodes do so by the fifth second; a configuration change may take a few
	// seconds.
	fallbackGrowth = 4
	// searchInterval is the minimum time between two searches and the maximum duration of one. A
	// call between zones on a new connection takes about 5 ms, and 300 nodes that start together
	// send each of three seeds about 1,600 calls per second.
	searchInterval = 120 * time.Millisecond
	// searchPoll is the interval at which a follower checks for the result of another search.
	searchPoll = 10 * time.Millisecond
	// leaseRowTimeout is how long a starting node waits for the lease row, which holds the number
	// of nodes and the address of the relay.
	leaseRowTimeout = 150 * time.Millisecond
	// maxDirectStarts is the largest fleet in which a node that restarts while the fleet is serving
	// reads the tables from the store at once. In larger fleets hundreds may start together after a
	// power failure, and each start takes about ten calls, and one per 500 runners.
	maxDirectStarts = 128
	// nodesPerSearch is the number of nodes queried in each search, at least one of which is not a
	// standby.
	nodesPerSearch = 3
)

// SetStandbys sets the nodes that fall back to the store first when a lease holder is lost.
func (r *Relay) SetStandbys(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standbys = addresses
}

// FallsBackToStore reports whether this node reads the store as soon as it has no relay. In a large
// fleet only some nodes do and the others read from them, because the store should not have to
// serve hundreds of nodes at once.
func (r *Relay) FallsBackToStore() bool {
	if r.elector.Holds() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fallsBackToStore()
}

// fallsBackToStore is FallsBackToStore for a node that is not the relay. The caller holds mu.
func (r *Relay) fallsBackToStore() bool {
	switch {
	case !r.firstStart && !r.tableReceived:
		// The node starts while the fleet is serving: requests wait for its tables, and after a
		// power failure of the whole fleet no other node can provide them yet.
		return r.nodes <= maxDirectStarts && (r.leaseRowRead || time.Since(r.processStarted) >= leaseRowTimeout)
	case len(r.standbys) > 0:
		return slices.Contains(r.standbys, r.address) || r.nodes <= storeProbers
	default:
		// Every process reads the lease row at startup, which names the relay.
		return !r.firstStart
	}
}

// awaitReader waits for a node to read from instead of the store. found is false if this node
// should read the store itself. It fails if ctx ends first.
func (r *Relay) awaitReader(ctx context.Context) (reader Peer, found bool, err error) {
	for ctx.Err() == nil {
		if r.FallsBackToStore() || !r.continueSearch() {
			return Peer{}, false, nil
		}
		r.searchOnce(ctx)
		if reader, ok := r.Upstream().(Peer); ok {
			return reader, true, nil
		}
		wait.For(ctx, searchPoll)
	}
	return Peer{}, false, fault.New(fault.CodeNotReady, "find reader", "no node that reads the store was found yet")
}

// continueSearch starts a search, or reports whether the current one should go on.
func (r *Relay) continueSearch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.searchStarted.IsZero() || now.Sub(r.lastSearch) > 2*searchTimeout {
		r.searchStarted, r.failedSearches = now, 0
	}
	if now.Sub(r.searchStarted) <= searchTimeout {
		return true
	}
	if rand.Float64() < r.storeFallbackShare() {
		return false
	}
	r.searchStarted = now
	r.failedSearches++
	return true
}

// storeFallbackShare returns the share of nodes that fall back to the store after a failed search.
// It is small at first, because the store itself may be unavailable, and grows, because all nodes
// that should read the store may be gone. The caller holds mu.
func (r *Relay) storeFallbackShare() float64 {
	if r.nodes <= storeProbers || r.stopped && r.nodes <= maxDirectStarts {
		// All nodes may be stopping at once.
		return 1
	}
	return storeProbers / float64(r.nodes) * math.Pow(fallbackGrowth, float64(r.failedSearches))
}

// searchOnce queries some nodes concurrently unless that was just done for another table. It waits
// until one of them names a reader, for at most searchInterval: machines without power do not
// answer, and the search should not wait for them.
func (r *Relay) searchOnce(ctx context.Context) {
	r.mu.Lock()
	due := time.Since(r.lastSearch) >= searchInterval
	if due {
		r.lastSearch = time.Now()
	}
	addresses := r.searchCandidates()
	r.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, searchInterval)
	defer cancel()
	queryCtx, stop := context.WithCancel(ctx)
	var queries sync.WaitGroup
	for _, address := range addresses {
		queries.Go(func() {
			if r.queryCandidate(queryCtx, address) {
				stop()
			}
		})
	}
	queries.Wait()
	stop()
}

// searchCandidates returns some nodes that are likely to read the store or to know which node does.
// The caller holds mu.
func (r *Relay) searchCandidates() []string {
	candidates := addressSet(r.standbys).pick(nodesPerSearch - 1)
	return append(candidates, r.peers.pick(nodesPerSearch-len(candidates))...)
}

// LeaseQueryPeer returns the address of a node that is likely to know the lease holders: the node
// that this one reads from, or else a standby. It is empty if this node should read the leases
// itself.
func (r *Relay) LeaseQueryPeer() string {
	if r.FallsBackToStore() {
		return ""
	}
	if reader, ok := r.Upstream().(Peer); ok {
		return reader.Address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.searchCandidates() {
		return address
	}
	return ""
}

// searching reports whether this node is searching for another node to read from. The caller holds
// mu.
func (r *Relay) searching() bool {
	return !r.fallsBackToStore() && !r.searchStarted.IsZero() && time.Since(r.searchStarted) <= searchTimeout
}

// leavesLeaseCheckToOthers decides whether this node skips one check of the lease row. Most nodes
// that do not fall back to the store first skip it; a few check, in case all nodes that should are
// gone. The caller holds mu.
func (r *Relay) leavesLeaseCheckToOthers() bool {
	return !r.fallsBackToStore() && r.nodes > storeProbers && rand.Float64() >= storeProbers/float64(r.nodes)
}

// endSearch resets the search state. The caller holds mu.
func (r *Relay) endSearch() { r.searchStarted, r.failedSearches = time.Time{}, 0 }

// dropReader forgets the node that this one reads from, because it no longer reads the store, and
// cancels the calls to it.
func (r *Relay) dropReader(reader Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reader != reader {
		return
	}
	r.reader = Peer{}
	close(r.upstreamLost)
	r.upstreamLost = make(chan struct{})
}

// readsStore reports whether this node reads all tables from the store itself, so that others may
// read from it. The caller holds mu.
func (r *Relay) readsStore() bool {
	if r.stopped || len(r.mirrors) == 0 || time.Since(r.storeAnswered) > maxAge {
		return false
	}
	for _, m := range r.mirrors {
		if !m.hasRows() {
			return false
		}
	}
	return true
}
