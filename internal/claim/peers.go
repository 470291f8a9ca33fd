package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

// A claim that only the node knows which made it is lost if that node ends right before the store returns with an
// older copy. Other nodes are therefore told of each claim before its attempt is made, and of all claims by a
// node that stops.

const (
	// copies is how many other nodes are told of a claim.
	copies = 2
	// tellTimeout bounds a call to one of them.
	tellTimeout = 100 * time.Millisecond
	// tellBatch is the maximum number of claims in one message.
	tellBatch = 1000
)

// SetPeers sets the addresses of the nodes that are told of claims. An empty list changes nothing.
func (c *Claims) SetPeers(addresses []string) {
	if len(addresses) > 0 {
		c.peers.Store(&addresses)
	}
}

// targets returns the nodes to tell, in the order in which they are tried.
func (c *Claims) targets() []string {
	var targets []string
	if peers := c.peers.Load(); peers != nil {
		targets = slices.Clone(*peers)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, address := range c.Fallback() {
		if !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	return targets
}

// tellPeers tells copies other nodes of a claim and returns as soon as one has accepted it or ctx ends. If none does,
// the attempt is made all the same: the store has the claim.
func (c *Claims) tellPeers(ctx context.Context, claimed row) {
	peers := c.targets()
	request := c.request([]recentRow{{row: claimed, at: time.Now()}})
	var next atomic.Int64
	accepted := make(chan bool, copies)
	call := context.WithoutCancel(ctx)
	for range copies {
		c.calls.Go(func() { accepted <- c.tellOne(call, peers, &next, request) })
	}
	for range copies {
		select {
		case done := <-accepted:
			if done {
				return
			}
		case <-ctx.Done():
			return
		}
	}
	c.Log.Info("claim known to this node alone", "peers", len(peers))
}

// tellOne tells the first of the peers from next on that accepts. It asks as many as there are copies at most.
func (c *Claims) tellOne(ctx context.Context, peers []string, next *atomic.Int64, request wire.ClaimRequest) bool {
	for range copies {
		index := int(next.Add(1)) - 1
		if index >= len(peers) {
			return false
		}
		if c.tell(ctx, peers[index], request) == nil {
			return true
		}
	}
	return false
}

// tell tells one node of claims.
func (c *Claims) tell(ctx context.Context, address string, request wire.ClaimRequest) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	err := c.Send(ctx, address, request)
	if err != nil {
		c.Log.V(1).Info("claims not told", "peer", address, "claims", len(request.Claims), "error", err.Error())
	}
	return err
}

// request returns the message about claims.
func (c *Claims) request(rows []recentRow) wire.ClaimRequest {
	request := wire.ClaimRequest{Epoch: c.Epochs.Newest()}
	for _, known := range rows {
		request.Claims = append(request.Claims, wire.ClaimRecord{Key: known.key, Value: known.value, AgeMs: time.Since(known.at).Milliseconds()})
	}
	return request
}

// Keep remembers the claims of another node. If they were made in an epoch that has ended, they are written
// again.
func (c *Claims) Keep(request wire.ClaimRequest) error {
	now := time.Now()
	for _, told := range request.Claims {
		if !strings.HasPrefix(told.Key, prefix) || json.Unmarshal(told.Value, new(record)) != nil {
			return fault.New(fault.CodeInvalid, "keep claims", "%q is not a claim", told.Key)
		}
		c.recent.add(row{key: told.Key, value: told.Value}, now.Add(-time.Duration(told.AgeMs)*time.Millisecond))
	}
	if c.Epochs.Newest() > request.Epoch {
		c.restoreSoon()
	}
	return nil
}

// HandOver tells other nodes of all claims that this node remembers, as it stops.
func (c *Claims) HandOver(ctx context.Context) {
	rows, told := c.recent.newestFirst(time.Now()), 0
	if len(rows) == 0 {
		return
	}
	for _, address := range c.targets() {
		if told == copies || ctx.Err() != nil {
			break
		}
		if c.tellAll(ctx, address, rows) {
			told++
		}
	}
	c.Log.Info("claims handed over", "claims", len(rows), "nodes", told)
}

// tellAll tells a node of claims, in batches.
func (c *Claims) tellAll(ctx context.Context, address string, rows []recentRow) bool {
	for batch := range slices.Chunk(rows, tellBatch) {
		if c.tell(ctx, address, c.request(batch)) != nil {
			return false
		}
	}
	return true
}
