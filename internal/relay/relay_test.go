package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/peer"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// fakeStore is a store with the lease of the group and one table.
type fakeStore struct {
	mu    sync.Mutex
	lease table.Row
	model storeModel
	down  atomic.Bool
	reads atomic.Int64
	// wholeReads counts the reads of all rows among them.
	wholeReads atomic.Int64
	// leaseReads counts the reads of the lease row.
	leaseReads atomic.Int64
}

func (s *fakeStore) Get(context.Context, string) (table.Row, error) {
	s.leaseReads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, nil
}

func (s *fakeStore) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (s *fakeStore) Commit(_ context.Context, change table.Transaction) (table.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Conditions[0].Revision != s.lease.Revision {
		return 0, fault.New(fault.CodeConflict, "commit", "changed")
	}
	s.lease = table.Row{Value: change.Writes[0].Value, Revision: s.lease.Revision + 1}
	return s.lease.Revision, nil
}

func (s *fakeStore) Read(context.Context) (feed.Batch, error) {
	s.reads.Add(1)
	s.wholeReads.Add(1)
	if s.down.Load() {
		return feed.Batch{}, errors.New("down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.snapshot(s.model.revision), nil
}

func (s *fakeStore) Watch(_ context.Context, after table.Revision, _ time.Duration) (feed.Batch, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return feed.Batch{}, errors.New("down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.since(after), nil
}

func (s *fakeStore) write(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.write(key, false)
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.write(key, true)
}

// resettableListener is a listener whose connections a test can reset.
type resettableListener struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

func (r *resettableListener) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err == nil {
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
	}
	return c, err
}

func (r *resettableListener) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.open = nil
}

// member is a node of a group with one table.
type member struct {
	*Relay
	source      *Source
	listener    *resettableListener
	followCalls atomic.Int64
	// kill stops the node and closes its connections.
	kill func()
}

const testTable Table = "things"

// startMember starts a node of the group.
func startMember(t *testing.T, store *fakeStore, name string, change ...func(*Options)) *member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := &member{listener: &resettableListener{Listener: listener}}
	options := Options{
		Group: "group", Node: name, Leases: store, Address: listener.Addr().String(), Process: name, Client: peer.NewClient(name, nil), Epochs: &table.Epochs{}, Log: logr.Discard(),
	}
	for _, apply := range change {
		apply(&options)
	}
	m.Relay = New(options)
	m.source = m.Relay.Source(testTable, store)
	server := peer.NewServer(name, nil)
	peer.Handle(server, wire.MethodFollow, func(ctx context.Context, request wire.FollowRequest) (wire.FollowResponse, error) {
		m.followCalls.Add(1)
		return m.Follow(ctx, request)
	})
	peer.Handle(server, wire.MethodRelay, m.ReportUpstream)
	go func() { _ = server.Serve(m.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	m.kill = func() {
		cancel()
		_ = server.Close()
	}
	go m.Run(ctx)
	return m
}

// startPair starts a relay that has read the table, and a node that follows it.
func startPair(t *testing.T, store *fakeStore) (relay, follower *member) {
	t.Helper()
	relay = startMember(t, store, "one")
	waitUntil(t, func() bool { return relay.elector.Holds() })
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	follower = startMember(t, store, "two")
	waitUntil(t, func() bool { _, follows := follower.Upstream().(Peer); return follows })
	return relay, follower
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// TestFollowerDoesNotReadStore checks that a follower reads from the relay.
func TestFollowerDoesNotReadStore(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := startPair(t, store)
	before := store.reads.Load()
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, store.reads.Load(), before)
	store.write("b")
	_, err = relay.source.Watch(t.Context(), batch.Revision, 0)
	assert.NilError(t, err)
	batch, err = follower.source.Watch(t.Context(), batch.Revision, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.Rows[0].Key, "b")
	assert.Equal(t, store.reads.Load(), before+1)
}

// TestResetConnectionKeepsTheRelay checks that a connection reset does not count as the loss of the
// relay. Otherwise all followers of a relay whose connections are reset read the store for two
// seconds.
func TestResetConnectionKeepsTheRelay(t *testing.T) {
	store := &fakeStore{}
	relay, follower := startPair(t, store)
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	before, calls := store.reads.Load(), relay.followCalls.Load()
	done := make(chan error)
	go func() {
		_, err := follower.source.Watch(t.Context(), batch.Revision, 400*time.Millisecond)
		done <- err
	}()
	waitUntil(t, func() bool { return relay.followCalls.Load() > calls })
	relay.listener.reset()
	assert.NilError(t, <-done)
	assert.Equal(t, store.reads.Load(), before)
	assert.Equal(t, relay.followCalls.Load(), calls+2)
}

// TestStoreIsReadWhenRelayIsOld checks that a relay which has not reached the store for too long is
// not used.
func TestStoreIsReadWhenRelayIsOld(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := startPair(t, store)
	relay.mu.Lock()
	relay.storeAnswered = time.Now().Add(-time.Hour)
	relay.mu.Unlock()
	before := store.reads.Load()
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, store.reads.Load(), before+1)
	assert.Equal(t, follower.Upstream(), Store{})
}

// TestNodesDoNotAllProbeUnavailableStore checks that while the relay does not reach the store, a
// node checks once for all of its tables whether it can reach the store itself, and that only some
// nodes of a large fleet retry soon.
func TestNodesDoNotAllProbeUnavailableStore(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := startPair(t, store)
	_, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	follower.SetNodes(1000 * storeProbers)
	store.down.Store(true)
	relay.mu.Lock()
	relay.storeAnswered = time.Now().Add(-time.Hour)
	relay.mu.Unlock()
	before := store.reads.Load()
	_, err = follower.source.Read(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, store.reads.Load(), before+1, "the node did not call the store itself first")
	assert.Assert(t, follower.otherTableFailed("another table") && !follower.otherTableFailed(testTable))
	assert.Assert(t, !follower.mayProbeStore())
	store.down.Store(false)
	_, err = follower.source.readStore(t.Context(), store.Read)
	assert.NilError(t, err)
	assert.Assert(t, follower.mayProbeStore() && !follower.otherTableFailed("another table"))
}

// TestFollowersDoNotRelay checks that a node which follows a relay rejects readers, so that no two
// nodes wait for data from each other.
func TestFollowersDoNotRelay(t *testing.T) {
	_, follower := startPair(t, &fakeStore{})
	_, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	_, err = follower.Follow(t.Context(), wire.FollowRequest{Table: string(testTable), Whole: true})
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
}

// TestReleasedRelayRejectsReaders checks that a stopping relay rejects its readers at once.
func TestReleasedRelayRejectsReaders(t *testing.T) {
	store := &fakeStore{}
	relay, follower := startPair(t, store)
	relay.Release(t.Context())
	before := store.reads.Load()
	_, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), before+1)
	waitUntil(t, func() bool { return follower.elector.Holds() })
}

// TestManyRowsArePackedOnce checks that a batch of many rows reaches the followers completely, and
// that followers at the same revision are sent the same bytes.
func TestManyRowsArePackedOnce(t *testing.T) {
	store := &fakeStore{}
	const rows = 2000
	for i := range rows {
		store.write(fmt.Sprintf("a-rather-long-key-%d", i))
	}
	relay, follower := startPair(t, store)
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), rows)
	first := relay.mirror(testTable).pager.last.list[0].packed
	_, err = startMember(t, store, "three").source.Read(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &relay.mirror(testTable).pager.last.list[0].packed[0])
}

// TestPaceGrowsWithNodes checks that the time for which readers batch changes that are not
// urgent grows with the number of nodes up to a bound, and that the relay does not batch.
func TestPaceGrowsWithNodes(t *testing.T) {
	relay, follower := startPair(t, &fakeStore{})
	for _, test := range []struct {
		nodes int
		pace  time.Duration
	}{{0, 0}, {7, 7 * time.Millisecond}, {985, 985 * time.Millisecond}, {5000, maxPace}} {
		relay.SetNodes(test.nodes)
		follower.SetNodes(test.nodes)
		assert.Equal(t, follower.Pace(), test.pace)
		assert.Equal(t, relay.Pace(), time.Duration(0))
	}
}
