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

// fakeStore is a store with the group's lease and one table.
type fakeStore struct {
	mu    sync.Mutex
	lease table.Row
	model storeModel
	down  atomic.Bool
	reads atomic.Int64
	// looks counts the reads of the lease's row.
	looks atomic.Int64
}

func (s *fakeStore) Get(context.Context, string) (table.Row, error) {
	s.looks.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, nil
}

func (s *fakeStore) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (s *fakeStore) Commit(_ context.Context, change table.Transaction) (uint64, error) {
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
	if s.down.Load() {
		return feed.Batch{}, errors.New("down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.whole(s.model.revision), nil
}

func (s *fakeStore) Watch(_ context.Context, after uint64, _ time.Duration) (feed.Batch, error) {
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

// resetter is a listener whose connections a test can reset.
type resetter struct {
	net.Listener
	mu   sync.Mutex
	open []net.Conn
}

func (r *resetter) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err == nil {
		r.mu.Lock()
		r.open = append(r.open, c)
		r.mu.Unlock()
	}
	return c, err
}

func (r *resetter) reset() {
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
	source   *Source
	listener *resetter
	asked    atomic.Int64
	// kill ends its work and its connections.
	kill func()
}

const testTable Table = "things"

func start(t *testing.T, store *fakeStore, name string, change ...func(*Options)) *member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := &member{listener: &resetter{Listener: listener}}
	options := Options{
		Group: "group", Node: name, Leases: store, Address: listener.Addr().String(), Process: name, Client: peer.NewClient(name, nil), Log: logr.Discard(),
	}
	for _, apply := range change {
		apply(&options)
	}
	m.Relay = New(options)
	m.source = m.Relay.Source(testTable, store)
	server := peer.NewServer(name)
	peer.Handle(server, wire.MethodFollow, func(ctx context.Context, request wire.FollowRequest) (wire.FollowResponse, error) {
		m.asked.Add(1)
		return m.Follow(ctx, request)
	})
	peer.Handle(server, wire.MethodRelay, m.Which)
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

// pair starts a relay that has read the table and a node that follows it.
func pair(t *testing.T, store *fakeStore) (relay, follower *member) {
	t.Helper()
	relay = start(t, store, "one")
	until(t, func() bool { return relay.lessor.Holds() })
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	follower = start(t, store, "two")
	until(t, func() bool { _, follows := follower.Upstream().(Peer); return follows })
	return relay, follower
}

func until(t *testing.T, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// TestFollowerLeavesTheStoreAlone: what a follower reads comes from the relay.
func TestFollowerLeavesTheStoreAlone(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := pair(t, store)
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

// TestResetConnectionKeepsTheRelay: a connection that is reset is no sign that the
// relay is gone. It failed first: all followers of a relay whose connections were
// reset turned to the store for two seconds.
func TestResetConnectionKeepsTheRelay(t *testing.T) {
	store := &fakeStore{}
	relay, follower := pair(t, store)
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	before, asked := store.reads.Load(), relay.asked.Load()
	done := make(chan error)
	go func() {
		_, err := follower.source.Watch(t.Context(), batch.Revision, 400*time.Millisecond)
		done <- err
	}()
	until(t, func() bool { return relay.asked.Load() > asked })
	relay.listener.reset()
	assert.NilError(t, <-done)
	assert.Equal(t, store.reads.Load(), before)
	assert.Equal(t, relay.asked.Load(), asked+2)
}

// TestStoreIsReadWhenRelayIsOld: a relay that has not heard of the store for too
// long is passed over.
func TestStoreIsReadWhenRelayIsOld(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := pair(t, store)
	relay.mu.Lock()
	relay.heard = time.Now().Add(-time.Hour)
	relay.mu.Unlock()
	before := store.reads.Load()
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, store.reads.Load(), before+1)
	assert.Equal(t, follower.Upstream(), Store{})
}

// TestManyNodesLeaveStoreThatIsAway: while the relay has not heard of the store, a
// node finds out once whether it is away for itself too, for all of its tables; of
// many nodes only some look again soon.
func TestManyNodesLeaveStoreThatIsAway(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := pair(t, store)
	_, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	follower.SetNodes(1000 * lookers)
	store.down.Store(true)
	relay.mu.Lock()
	relay.heard = time.Now().Add(-time.Hour)
	relay.mu.Unlock()
	before := store.reads.Load()
	_, err = follower.source.Read(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, store.reads.Load(), before+1, "the store is looked at by itself first")
	assert.Assert(t, follower.refused("another table") && !follower.refused(testTable))
	assert.Assert(t, !follower.mayLook())
	store.down.Store(false)
	_, err = follower.source.direct(t.Context(), store.Read)
	assert.NilError(t, err)
	assert.Assert(t, follower.mayLook() && !follower.refused("another table"))
}

// TestFollowersDoNotRelay: a node that follows a relay refuses to be one, so that
// no two nodes wait for each other's news.
func TestFollowersDoNotRelay(t *testing.T) {
	_, follower := pair(t, &fakeStore{})
	_, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	_, err = follower.Follow(t.Context(), wire.FollowRequest{Table: string(testTable), Whole: true})
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
}

// TestReleasedRelayRefuses: a relay that stops sends its readers away at once.
func TestReleasedRelayRefuses(t *testing.T) {
	store := &fakeStore{}
	relay, follower := pair(t, store)
	relay.Release(t.Context())
	before := store.reads.Load()
	_, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), before+1)
	until(t, func() bool { return follower.lessor.Holds() })
}

// TestManyRowsArePackedOnce: a batch of many rows reaches the followers whole, and
// those at the same revision are told the same bytes.
func TestManyRowsArePackedOnce(t *testing.T) {
	store := &fakeStore{}
	const rows = 2000
	for i := range rows {
		store.write(fmt.Sprintf("a-rather-long-key-%d", i))
	}
	relay, follower := pair(t, store)
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), rows)
	first := relay.mirror(testTable).pager.last.list[0].packed
	_, err = start(t, store, "three").source.Read(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &relay.mirror(testTable).pager.last.list[0].packed[0])
}

// TestReadersPaceThemselves: the more nodes read from a relay, the longer each gathers news that
// are not urgent, up to a bound; the relay gathers nothing.
func TestReadersPaceThemselves(t *testing.T) {
	relay, follower := pair(t, &fakeStore{})
	for _, test := range []struct {
		nodes int
		pace  time.Duration
	}{{0, 0}, {7, 7 * time.Millisecond}, {985, 985 * time.Millisecond}, {5000, longestPace}} {
		relay.SetNodes(test.nodes)
		follower.SetNodes(test.nodes)
		assert.Equal(t, follower.Pace(), test.pace)
		assert.Equal(t, relay.Pace(), time.Duration(0))
	}
}
