package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// storeLatency and peerLatency are the durations of calls in a simulated group.
	storeLatency = 4 * time.Millisecond
	peerLatency  = time.Millisecond
	// simulatedStandbys is the number of nodes of a simulated group that fall back to the store
	// first.
	simulatedStandbys = 8
)

// simulatedStore is a store with a lease and some tables. Single nodes can be cut off from it.
type simulatedStore struct {
	mu    sync.Mutex
	lease table.Row
	// leases is the history of the lease row.
	leases  []table.Row
	tables  map[Table]*storeModel
	changed chan struct{}
	// silent is set while no call is answered.
	silent atomic.Bool
	// reads counts the reads of whole tables.
	reads atomic.Int64
	// slow is the additional latency of each direction of a call, in nanoseconds.
	slow atomic.Int64
}

func newSimulatedStore(names ...Table) *simulatedStore {
	s := &simulatedStore{lease: table.Row{Revision: table.NewRevision(1, 0)}, tables: make(map[Table]*storeModel), changed: make(chan struct{})}
	for _, name := range names {
		s.tables[name] = &storeModel{revision: table.NewRevision(1, 0)}
		s.tables[name].write("first", false)
	}
	return s
}

// write changes a table and returns the new revision.
func (s *simulatedStore) write(name Table) table.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[name].write("changed", false)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.tables[name].revision
}

// epoch returns the epoch of the store.
func (s *simulatedStore) epoch() table.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Revision.Epoch()
}

// restore returns with a copy that lacks the newest changes of each table and the newest renewals of
// the lease. Calls that wait for changes are not ended by that.
func (s *simulatedStore) restore(changes, renewals uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, model := range s.tables {
		number := model.revision.Number()
		model.restore(number - min(changes, number))
	}
	epoch := s.lease.Revision.Epoch() + 1
	s.lease = s.leases[max(len(s.leases)-int(renewals), 1)-1]
	s.lease.Revision = table.NewRevision(epoch, s.lease.Revision.Number())
	s.leases = []table.Row{s.lease}
}

// storeView is the lease table and one data table of the store as seen by one node.
type storeView struct {
	*simulatedStore
	table Table
	// cut is set while no call of the node is answered.
	cut *atomic.Bool
	// epochs observes the epoch of each answer.
	epochs *table.Epochs
}

// reach waits for the store. It fails if the store does not answer before ctx ends.
func (v storeView) reach(ctx context.Context) error {
	if v.silent.Load() || v.cut.Load() {
		<-ctx.Done()
	}
	wait.For(ctx, storeLatency+time.Duration(v.slow.Load()))
	if ctx.Err() != nil {
		return fault.At(fault.CodeStoreUnavailable, "call store", "store", fault.Unknown, ctx.Err())
	}
	v.epochs.Observe(v.epoch())
	return nil
}

func (v storeView) Get(ctx context.Context, _ string) (table.Row, error) {
	if err := v.reach(ctx); err != nil {
		return table.Row{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lease, nil
}

func (v storeView) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (v storeView) Commit(ctx context.Context, change table.Transaction) (table.Revision, error) {
	if err := v.reach(ctx); err != nil {
		return 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if change.Conditions[0].Revision != v.lease.Revision {
		return 0, fault.New(fault.CodeConflict, "commit", "changed")
	}
	v.lease = table.Row{Value: change.Writes[0].Value, Revision: v.lease.Revision + 1}
	v.leases = append(v.leases, v.lease)
	return v.lease.Revision, nil
}

func (v storeView) Read(ctx context.Context) (feed.Batch, error) {
	v.reads.Add(1)
	if err := v.reach(ctx); err != nil {
		return feed.Batch{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	model := v.tables[v.table]
	return model.snapshot(model.revision), nil
}

func (v storeView) Watch(ctx context.Context, after table.Revision, hold time.Duration) (feed.Batch, error) {
	if err := v.reach(ctx); err != nil {
		return feed.Batch{}, err
	}
	end := time.After(hold)
	for {
		v.mu.Lock()
		batch, changed := v.tables[v.table].since(after), v.changed
		v.mu.Unlock()
		if batch.Revision.Epoch() != after.Epoch() {
			return feed.Batch{}, fault.New(fault.CodeCompacted, "watch table", "another epoch")
		}
		if len(batch.Rows) > 0 {
			return batch, v.reach(ctx)
		}
		select {
		case <-changed:
		case <-end:
			return batch, v.reach(ctx)
		case <-ctx.Done():
			return feed.Batch{}, fault.At(fault.CodeStoreUnavailable, "watch table", "store", fault.Unknown, ctx.Err())
		}
	}
}

// simulatedGroup is a group of nodes in a synctest bubble whose calls are passed in memory.
type simulatedGroup struct {
	store   *simulatedStore
	nodes   []*simulatedNode
	address map[string]*simulatedNode
}

// simulatedNode is a node of the group that follows all tables.
type simulatedNode struct {
	*Relay
	group     *simulatedGroup
	followers map[Table]*feed.Follower
	// cut is set while the node does not reach the store, gone while no node reaches it, and mute
	// while it exchanges no messages with its peers.
	cut, gone, mute atomic.Bool
}

// simulatedTables are the tables that each node follows, with the options of their followers.
var simulatedTables = map[Table]feed.Options{
	"configuration": {Wait: 400 * time.Millisecond, Timeout: 900 * time.Millisecond},
	"runners":       {Wait: 2 * time.Second, Interval: 200 * time.Millisecond, Timeout: 900 * time.Millisecond},
	"objects":       {Wait: 10 * time.Second, Timeout: 900 * time.Millisecond},
}

// newSimulatedGroup starts nodes that run until ctx ends; done waits for them to stop.
func newSimulatedGroup(ctx context.Context, count int) (g *simulatedGroup, done func()) {
	g = &simulatedGroup{store: newSimulatedStore("configuration", "runners", "objects"), address: make(map[string]*simulatedNode)}
	var running sync.WaitGroup
	for i := range count {
		n := &simulatedNode{group: g, followers: make(map[Table]*feed.Follower)}
		takeoverDelay := time.Duration(0)
		if i >= simulatedStandbys {
			takeoverDelay = time.Second
		}
		address := fmt.Sprintf("10.0.0.%d:1", i)
		epochs := &table.Epochs{}
		n.Relay = New(Options{
			Group: "group", Node: fmt.Sprint("node-", i), Leases: storeView{simulatedStore: g.store, cut: &n.cut, epochs: epochs}, Address: address, Process: fmt.Sprint("process-", i),
			Client: n, Epochs: epochs, TakeoverDelay: func() time.Duration { return takeoverDelay }, Now: time.Now, Log: logr.Discard(),
		})
		for name, options := range simulatedTables {
			options.Name, options.Pace, options.RetrySignal = string(name), n.Pace, n.UpstreamFound
			source := n.Source(name, storeView{simulatedStore: g.store, table: name, cut: &n.cut, epochs: epochs})
			n.followers[name] = feed.NewFollower(source, discardHandler{}, options, logr.Discard())
		}
		g.nodes, g.address[address] = append(g.nodes, n), n
	}
	standbys := make([]string, 0, simulatedStandbys)
	for _, n := range g.nodes[:min(count, simulatedStandbys)] {
		standbys = append(standbys, n.address())
	}
	for i, n := range g.nodes {
		n.SetNodes(count)
		n.SetStandbys(standbys)
		running.Go(func() { n.Run(ctx) })
		for _, follower := range n.followers {
			running.Go(func() { follower.Run(ctx) })
		}
		if i == 0 {
			// The other nodes find a relay that has read all tables.
			time.Sleep(2 * time.Second)
		}
	}
	return g, running.Wait
}

// discardHandler discards all rows.
type discardHandler struct{}

func (discardHandler) ApplySnapshot([]feed.Row, time.Duration) {}
func (discardHandler) ApplyChanges([]feed.Row)                 {}

func (discardHandler) ApplyRestored([]feed.Row) []feed.Deferred { return nil }

func (discardHandler) Keys() []string { return nil }

func (n *simulatedNode) address() string { return n.Relay.address }

// Call passes a call to another node of the group.
func (n *simulatedNode) Call(ctx context.Context, address, method string, request, response any) error {
	failed := func(cause error) error { return fault.At(fault.CodeNotReady, method, address, fault.Unknown, cause) }
	other := n.group.address[address]
	if other == nil || other.gone.Load() {
		return failed(syscall.ECONNREFUSED)
	}
	if other.mute.Load() || n.mute.Load() {
		<-ctx.Done()
		return failed(ctx.Err())
	}
	wait.For(ctx, 2*peerLatency)
	var err error
	switch answer := response.(type) {
	case *wire.FollowResponse:
		*answer, err = other.Follow(ctx, request.(wire.FollowRequest))
	case *wire.RelayResponse:
		*answer, err = other.ReportUpstream(ctx, wire.Empty{})
	default:
		return failed(errors.New("no such method"))
	}
	if ctx.Err() != nil || other.gone.Load() || other.mute.Load() {
		<-ctx.Done()
		return failed(ctx.Err())
	}
	return err
}

// holder returns the node that holds the lease of the group.
func (g *simulatedGroup) holder() *simulatedNode {
	for _, n := range g.nodes {
		if !n.gone.Load() && n.elector.Valid() {
			return n
		}
	}
	return nil
}

// propagationDelay changes the configuration and returns the time until the last node that is
// connected to the store and its peers has applied the change, up to a bound.
func (g *simulatedGroup) propagationDelay(bound time.Duration) time.Duration {
	revision, written := g.store.write("configuration"), time.Now()
	for time.Since(written) < bound && !g.allHave(revision) {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(written)
}

func (g *simulatedGroup) allHave(revision table.Revision) bool {
	for _, n := range g.nodes {
		connected := !n.cut.Load() && !n.gone.Load() && !n.mute.Load()
		if connected && n.followers["configuration"].AppliedRevision() < revision {
			return false
		}
	}
	return true
}
