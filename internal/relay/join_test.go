package relay

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/peer"
	"lilacvane/internal/wait"
)

// firstStart lets a node start with the whole system.
func firstStart(o *Options) { o.FirstStart = true }

// readsInTime reads the table as soon as the node finds where from.
func readsInTime(t *testing.T, m *member) {
	t.Helper()
	until(t, func() bool {
		_, err := m.source.Read(t.Context())
		return err == nil
	})
}

// keepWatching lets a node watch the table until stop is called, and counts its watches.
func keepWatching(t *testing.T, m *member, after uint64) (stop func(), watches *atomic.Int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	watches = &atomic.Int64{}
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			watches.Add(1)
			_, _ = m.source.Watch(ctx, after, 0)
			wait.For(ctx, maxAge/10)
		}
	})
	return func() {
		cancel()
		watching.Wait()
	}, watches
}

// TestStartingNodeLeavesTheStoreAlone: a node that starts with the whole system looks at
// the lease's row, which names the relay, and calls the store for no table. Of 3,212 calls
// of a quiet day at 295 nodes most were those of their starts.
func TestStartingNodeLeavesTheStoreAlone(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay := start(t, store, "one", firstStart)
	until(t, func() bool { return relay.lessor.Holds() })
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	reads, looks := store.reads.Load(), store.looks.Load()
	joined := start(t, store, "two", firstStart)
	readsInTime(t, joined)
	assert.Equal(t, store.reads.Load(), reads)
	assert.Assert(t, store.looks.Load() <= looks+2, "the row was looked at %d times", store.looks.Load()-looks)
	assert.Equal(t, joined.Upstream().String(), relay.address)
}

// TestReaderServesWhileThereIsNoRelay: until a lost relay's lease may be taken, others
// read from a standby that reads the store without it, and from the relay once there is
// one.
func TestReaderServesWhileThereIsNoRelay(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := pair(t, store)
	standby := start(t, store, "standby")
	_, err := standby.source.Read(t.Context())
	assert.NilError(t, err)
	for _, m := range []*member{relay, follower, standby} {
		m.SetStandbys([]string{standby.address})
		m.SetNodes(300)
	}
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	store.mu.Lock()
	store.lease.Revision++ // the relay's renewals fail from here on
	store.mu.Unlock()
	assert.NilError(t, relay.listener.Close())
	relay.listener.reset()
	_, _ = follower.source.Watch(t.Context(), batch.Revision, 0)
	// The standby finds out by itself, and goes on reading as nodes do: nobody reads from one
	// that has not heard of the store for maxAge.
	_, _ = standby.source.Watch(t.Context(), batch.Revision, 0)
	reads := store.reads.Load()
	stop, watches := keepWatching(t, standby, batch.Revision)
	readsInTime(t, follower)
	stop()
	assert.Equal(t, follower.Upstream().String(), standby.address)
	assert.Assert(t, store.reads.Load() <= reads+watches.Load()+2, "only the standby read the store")
}

// TestStoreIsReadWhenNobodyIsFound: the standbys may be gone; after a while a node turns to
// the store by itself.
func TestStoreIsReadWhenNobodyIsFound(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	alone := start(t, store, "alone", firstStart, func(o *Options) { o.Reluctance = func() time.Duration { return time.Hour } })
	alone.SetStandbys([]string{"127.0.0.1:1"})
	alone.SetNodes(lookers + 1)
	soon, cancel := context.WithTimeout(t.Context(), readerPatience/10)
	defer cancel()
	_, err := alone.source.Read(soon)
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
	assert.Equal(t, store.reads.Load(), int64(0))
	readsInTime(t, alone)
	assert.Equal(t, store.reads.Load(), int64(1))
}

// TestSomeNodesTurnToTheStoreFirst: in a large fleet those with the most to spare, as the
// holder told; in a small one every node; and one that starts while the fleet serves, but
// not one that starts with the whole system.
func TestSomeNodesTurnToTheStoreFirst(t *testing.T) {
	self, others := "10.0.0.1:1", []string{"10.0.0.2:1", "10.0.0.3:1"}
	for _, c := range []struct {
		name     string
		first    bool
		heard    bool
		rowSeen  bool
		standbys []string
		nodes    int
		direct   bool
	}{
		{name: "starts with the whole system", first: true},
		{name: "starts again", rowSeen: true, direct: true},
		{name: "starts again, knows the row not yet"},
		{name: "starts again as one of many", rowSeen: true, nodes: startersDirect + 1},
		{name: "knows of nobody", heard: true, direct: true},
		{name: "told", first: true, heard: true, standbys: others, nodes: 300},
		{name: "told, started later", heard: true, standbys: others, nodes: 300},
		{name: "told to be one", heard: true, standbys: []string{self}, nodes: 300, direct: true},
		{name: "of few", heard: true, standbys: others, nodes: lookers, direct: true},
	} {
		r := New(Options{Group: "group", Address: self, FirstStart: c.first})
		r.SetStandbys(c.standbys)
		r.SetNodes(c.nodes)
		r.rowSeen = c.rowSeen
		if c.heard {
			r.noteRelay()
		}
		assert.Equal(t, r.Direct(), c.direct, c.name)
	}
}

// TestReaderThatIsLostIsLeft: a node goes on to the next one when the reader that it read
// from does not answer, and does not take the store for it at once.
func TestReaderThatIsLostIsLeft(t *testing.T) {
	store := &fakeStore{}
	r := New(Options{
		Group: "group", Address: "10.0.0.1:1", Leases: store, Client: peer.NewClient("one", nil), FirstStart: true,
	})
	r.SetStandbys([]string{"127.0.0.1:1"})
	r.SetNodes(300)
	reader := Peer{Address: "127.0.0.1:2"}
	r.reader = reader
	assert.Equal(t, r.Upstream(), reader)
	r.leaveReader(reader)
	assert.Equal(t, r.Upstream(), Store{})
	soon, cancel := context.WithTimeout(t.Context(), readerPatience/10)
	defer cancel()
	_, _, err := r.find(soon)
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
	assert.Assert(t, r.relayHeard(), "the lease is left to others meanwhile")
	r.lookingSince = time.Now().Add(-time.Hour)
	r.lookedAt, r.looks = time.Now(), 10
	_, found, err := r.find(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !found)
}

// TestRelayReadsTheStore: the relay is not among those that the control holder told to
// turn to the store first, and reads it all the same. It looked for another reader, and
// its followers changed theirs all day.
func TestRelayReadsTheStore(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay := start(t, store, "one", firstStart)
	until(t, func() bool { return relay.lessor.Holds() })
	relay.SetStandbys([]string{"127.0.0.1:1"})
	relay.SetNodes(300)
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), int64(1))
}

// TestFewNodesLookAtTheLease: while the store is away some of many nodes look at the
// lease's row, as those that should may all be gone. All 295 did: 445 calls in four
// seconds.
func TestFewNodesLookAtTheLease(t *testing.T) {
	r := New(Options{Group: "group", Address: "10.0.0.1:1", FirstStart: true})
	r.SetStandbys([]string{"10.0.0.2:1"})
	r.SetNodes(300)
	looked := 0
	for range 3000 {
		if !r.relayHeard() {
			looked++
		}
	}
	assert.Assert(t, looked > 0 && looked < 3*3000*lookers/300, "%d", looked)
	r.SetStandbys([]string{"10.0.0.1:1"})
	assert.Assert(t, !r.relayHeard())
}

// TestMuteStandbyDelaysNobody: a standby that accepts calls and answers none, as a machine
// that has just lost its power, does not keep a node from asking another one.
func TestMuteStandbyDelaysNobody(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = mute.Close() })
	store := &fakeStore{}
	store.write("a")
	relay := start(t, store, "one")
	until(t, func() bool { return relay.lessor.Holds() })
	_, err = relay.source.Read(t.Context())
	assert.NilError(t, err)
	reads := store.reads.Load()
	joined := start(t, store, "two", firstStart, func(o *Options) { o.Reluctance = func() time.Duration { return time.Hour } })
	joined.SetStandbys([]string{mute.Addr().String(), relay.address})
	joined.SetNodes(300)
	_, err = joined.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), reads, "the relay was found within the patience")
}

// TestFewNodesTurnToAStoreThatIsAway: while no node can read the store, some of many find
// out whether it is back, more as time passes, and in the end all. All 295 did after 1.2 s:
// 1,620 calls in one second.
func TestFewNodesTurnToAStoreThatIsAway(t *testing.T) {
	const nodes = 300
	for looks, share := range map[int]float64{0: 8.0 / nodes, 1: 32.0 / nodes, 2: 128.0 / nodes, 3: 1} {
		turned := 0
		for range nodes * 10 {
			r := New(Options{Group: "group", Address: "10.0.0.1:1", FirstStart: true})
			r.SetStandbys([]string{"10.0.0.2:1"})
			r.SetNodes(nodes)
			r.lookingSince, r.lookedAt, r.looks = time.Now().Add(-time.Hour), time.Now(), looks
			if !r.mayFind() {
				turned++
			}
		}
		assert.Assert(t, math.Abs(float64(turned)/(nodes*10)-share) < 0.05, "after %d looks: %d", looks, turned)
	}
	alone := New(Options{Group: "group", Address: "10.0.0.1:1", FirstStart: true})
	alone.lookingSince, alone.lookedAt = time.Now().Add(-time.Hour), time.Now()
	assert.Assert(t, !alone.mayFind(), "how many nodes there are is not known yet")
}

// TestRestartedNodeOfManyLeavesTheStoreAlone: a node that starts while a large fleet serves
// learns from the lease's row that it is one of many, and reads the tables from the relay. One
// of few reads them from the store at once.
func TestRestartedNodeOfManyLeavesTheStoreAlone(t *testing.T) {
	for _, test := range []struct{ nodes, reads int }{{startersDirect, 1}, {startersDirect + 1, 0}} {
		store := &fakeStore{}
		store.write("a")
		relay := start(t, store, "one")
		until(t, func() bool { return relay.lessor.Holds() })
		_, err := relay.source.Read(t.Context())
		assert.NilError(t, err)
		relay.SetNodes(test.nodes)
		until(t, func() bool {
			record, _ := relay.lessor.Holder()
			return record.Nodes == test.nodes
		})
		if test.reads > 0 {
			// Without a relay it is seen whom a node turns to.
			relay.kill()
		}
		reads := store.reads.Load()
		restarted := start(t, store, "two")
		readsInTime(t, restarted)
		assert.Equal(t, store.reads.Load()-reads, int64(test.reads), "of %d nodes", test.nodes)
	}
}

// TestNodesThatLostPowerTogetherFindARelay: after a loss of power everywhere, where the relay that
// the row names is gone for good, another one is found and few of many turn to the store.
func TestNodesThatLostPowerTogetherFindARelay(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	lost := start(t, store, "lost")
	until(t, func() bool { return lost.lessor.Holds() })
	lost.SetNodes(500)
	until(t, func() bool {
		record, _ := lost.lessor.Holder()
		return record.Nodes == 500
	})
	lost.kill()
	reads := store.reads.Load()
	const nodes = 24
	var reading sync.WaitGroup
	for i := range nodes {
		m := start(t, store, fmt.Sprint("node-", i))
		reading.Go(func() { readsInTime(t, m) })
	}
	reading.Wait()
	assert.Assert(t, store.reads.Load()-reads <= 3*nodes, "%d reads of the store", store.reads.Load()-reads)
}
