package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/wire"
)

const (
	// maxPeers is the maximum number of addresses that a node keeps.
	maxPeers = 16
	// maxPeersSent is the maximum number of addresses sent to a reader.
	maxPeersSent = 4
	// replacementInterval is the minimum time between two searches for a replacement of the relay.
	// queryTimeout bounds such a search and each query of another node.
	replacementInterval = 250 * time.Millisecond
	queryTimeout        = 300 * time.Millisecond
)

// addressSet holds the most recently added addresses, at most maxPeers.
type addressSet []string

func (s *addressSet) add(address string) {
	if address == "" || slices.Contains(*s, address) {
		return
	}
	*s = append(*s, address)
	if len(*s) > maxPeers {
		*s = slices.Delete(*s, 0, 1)
	}
}

// pick returns up to count addresses at random.
func (s addressSet) pick(count int) []string {
	picked := slices.Clone(s)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}

// addPeers records the addresses of other readers.
func (r *Relay) addPeers(addresses ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		if address != r.address {
			r.peers.add(address)
		}
	}
}

// Peers returns the addresses of some other nodes.
func (r *Relay) Peers() []string { return r.samplePeers(maxPeers) }

// samplePeers returns up to count known addresses at random.
func (r *Relay) samplePeers(count int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers.pick(count)
}

// replacementDue reports whether peers may be queried for a replacement again, and records the time
// if so. The interval grows with the number of nodes, because all query the same few standbys.
func (r *Relay) replacementDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastReplacementSearch) < max(replacementInterval, r.pace()/2) {
		return false
	}
	r.lastReplacementSearch = time.Now()
	return true
}

// findReplacement queries peers for another node to read from when this node or its relay does not
// reach the store, which may still answer others. The relay is dropped as soon as one is found.
func (r *Relay) findReplacement(ctx context.Context, relay Peer) {
	if !r.replacementDue() {
		return
	}
	r.mu.Lock()
	addresses := r.searchCandidates()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, address := range addresses {
		queries.Go(func() {
			named, err := r.queryUpstream(ctx, address)
			if err == nil && named.Address != "" && named.Address != r.address && named != relay {
				r.switchUpstream(named, relay, address)
			}
		})
	}
	queries.Wait()
}

// switchUpstream replaces a relay by a node that a peer named.
func (r *Relay) switchUpstream(named, relay Peer, peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case named.Token > r.namedRelay.Token && named.Token > relay.Token:
		r.namedRelay = named
	case named.Token == 0 && (r.failed != relay || r.reader == Peer{}):
		r.reader, r.failed = named, relay
	default:
		return
	}
	r.log.Info("source named by a peer in place of the relay", "peer", peer, "source", named.Address, "token", named.Token, "relay", relay.Address)
	r.notifyFound()
}

// queryUpstream asks one node what it reads the tables from.
func (r *Relay) queryUpstream(ctx context.Context, address string) (Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var response wire.RelayResponse
	err := r.client.Call(ctx, address, wire.MethodRelay, wire.Empty{}, &response)
	return Peer{Address: response.Address, Token: response.Token}, err
}

// queryCandidate asks one node for the relay. It reports whether that node named one, or named a
// reader of the store while this node is searching for one.
func (r *Relay) queryCandidate(ctx context.Context, address string) bool {
	named, err := r.queryUpstream(ctx, address)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case named.Address == "" || named.Address == r.address || (named == r.failed && time.Now().Before(r.suspendedUntil)):
		return false
	case named.Token > r.namedRelay.Token:
		r.namedRelay = named
		r.log.Info("relay named by a peer", "peer", address, "relay", named.Address, "token", named.Token)
	case named.Token == 0 && r.searching():
		r.reader = named
		r.log.Info("reader named by a peer", "peer", address, "reader", named.Address)
	}
	r.endSearch()
	r.notifyFound()
	return true
}

// ReportUpstream handles another node's query for the relay.
func (r *Relay) ReportUpstream(context.Context, wire.Empty) (wire.RelayResponse, error) {
	switch up := r.Upstream().(type) {
	case Peer:
		return wire.RelayResponse{Address: up.Address, Token: up.Token}, nil
	case Store:
		record, known := r.elector.Holder()
		if known && r.elector.Valid() {
			return wire.RelayResponse{Address: r.address, Token: record.Token}, nil
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.readsStore() {
			return wire.RelayResponse{Address: r.address}, nil
		}
	}
	return wire.RelayResponse{}, nil
}
