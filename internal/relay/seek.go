package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lilacvane/internal/wire"
)

const (
	// maxPeers bounds the addresses that a node keeps.
	maxPeers = 16
	// peersTold and peersAsked are how many addresses are told to a reader and
	// asked for the relay.
	peersTold  = 4
	peersAsked = 3
	// seekInterval is the least time between two questions, seekTimeout bounds one.
	seekInterval = 500 * time.Millisecond
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

// seek asks some peers for the relay, as the store does not answer this node: it
// may serve the others, and another relay may have taken over.
func (r *Relay) seek(ctx context.Context) {
	r.mu.Lock()
	due := time.Since(r.sought) >= seekInterval
	if due {
		r.sought = time.Now()
	}
	r.mu.Unlock()
	if !due {
		return
	}
	for _, address := range r.known(peersAsked) {
		_ = r.seekAt(ctx, address)
	}
}

// seekAt asks one node for the relay. It returns whether that named one, or a reader of
// the store while this node looks for one.
func (r *Relay) seekAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, seekTimeout)
	defer cancel()
	var response wire.RelayResponse
	if err := r.client.Call(ctx, address, wire.MethodRelay, wire.Empty{}, &response); err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	named := Peer{Address: response.Address, Token: response.Token}
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
