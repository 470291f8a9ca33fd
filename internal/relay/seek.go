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
	// maxPeers bounds the addresses that a node keeps.
	maxPeers = 16
	// peersTold is how many addresses are told to a reader.
	peersTold = 4
	// seekInterval is the least time between two looks, seekTimeout bounds one.
	seekInterval = 250 * time.Millisecond
	seekTimeout  = 300 * time.Millisecond
)

// addressSet keeps the addresses met last, at most maxPeers.
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

// pick returns up to count addresses by chance.
func (s addressSet) pick(count int) []string {
	picked := slices.Clone(s)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}

// meet keeps another reader's address.
func (r *Relay) meet(addresses ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		if address != r.address {
			r.peers.add(address)
		}
	}
}

func (r *Relay) known(count int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers.pick(count)
}

// seekDue reports whether peers may be asked again, and notes that they are. The more nodes there
// are, the less often each asks, as all ask the same few standbys.
func (r *Relay) seekDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.sought) < max(seekInterval, r.pace()/2) {
		return false
	}
	r.sought = time.Now()
	return true
}

// seek looks for another node to read from than a relay, as this node, or the relay, does not
// reach the store: the store may answer others. The relay is left as soon as one is found.
func (r *Relay) seek(ctx context.Context, relay Peer) {
	if !r.seekDue() {
		return
	}
	r.mu.Lock()
	addresses := r.readers()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, seekTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for _, address := range addresses {
		asking.Go(func() {
			named, err := r.askWhich(ctx, address)
			if err == nil && named.Address != "" && named.Address != r.address && named != relay {
				r.changeTo(named, relay, address)
			}
		})
	}
	asking.Wait()
}

// changeTo reads from a node that a peer named in place of a relay.
func (r *Relay) changeTo(named, relay Peer, peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case named.Token > r.hint.Token && named.Token > relay.Token:
		r.hint = named
	case named.Token == 0 && (r.failed != relay || r.reader == Peer{}):
		r.reader, r.failed = named, relay
	default:
		return
	}
	r.log.Info("source named by a peer in place of the relay", "peer", peer, "source", named.Address, "token", named.Token, "relay", relay.Address)
	r.tellFound()
}

// askWhich asks one node where it reads the tables.
func (r *Relay) askWhich(ctx context.Context, address string) (Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, seekTimeout)
	defer cancel()
	var response wire.RelayResponse
	err := r.client.Call(ctx, address, wire.MethodRelay, wire.Empty{}, &response)
	return Peer{Address: response.Address, Token: response.Token}, err
}

// seekAt asks one node for the relay. It returns whether that named one, or a reader of
// the store while this node looks for one.
func (r *Relay) seekAt(ctx context.Context, address string) bool {
	named, err := r.askWhich(ctx, address)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case named.Address == "" || named.Address == r.address || (named == r.failed && time.Now().Before(r.suspended)):
		return false
	case named.Token > r.hint.Token:
		r.hint = named
		r.log.Info("relay named by a peer", "peer", address, "relay", named.Address, "token", named.Token)
	case named.Token == 0 && r.looking():
		r.reader = named
		r.log.Info("reader named by a peer", "peer", address, "reader", named.Address)
	}
	r.foundReader()
	r.tellFound()
	return true
}

// Which answers another node's question for the relay.
func (r *Relay) Which(context.Context, wire.Empty) (wire.RelayResponse, error) {
	switch up := r.Upstream().(type) {
	case Peer:
		return wire.RelayResponse{Address: up.Address, Token: up.Token}, nil
	case Store:
		record, known := r.lessor.Holder()
		if known && r.lessor.Valid() {
			return wire.RelayResponse{Address: r.address, Token: record.Token}, nil
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.reads() {
			return wire.RelayResponse{Address: r.address}, nil
		}
	}
	return wire.RelayResponse{}, nil
}
