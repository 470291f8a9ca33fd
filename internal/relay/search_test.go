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
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
)

// firstStart configures a node that starts together with the whole system.
func firstStart(o *Options) { o.FirstStart = true }

// awaitRead reads the table, waiting until the node has found an upstream.
func awaitRead(t *testing.T, m *member) {
	t.Helper()
	waitUntil(t, func() bool {
		_, err := m.source.Read(t.Context())
		return err == nil
	})
}

// keepWatching watches the table on a node until stop is called, and counts the watches.
func keepWatching(t *testing.T, m *member, after table.Revision) (stop func(), watches *atomic.Int64) {
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

// TestStartingNodeDoesNotReadStore checks that a node which starts together with the whole system
// reads only the lease row, which names the relay, and no table from the store. On a quiet day with
// 295 nodes most of the 3,212 calls to the store came from node starts.
func TestStartingNodeDoesNotReadStore(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay := startMember(t, store, "one", firstStart)
	waitUntil(t, func() bool { return relay.elector.Holds() })
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	reads, leaseReads := store.reads.Load(), store.leaseReads.Load()
	joined := startMember(t, store, "two", firstStart)
	awaitRead(t, joined)
	assert.Equal(t, store.reads.Load(), reads)
	assert.Assert(t, store.leaseReads.Load() <= leaseReads+2, "the lease row was read %d times", store.leaseReads.Load()-leaseReads)
	assert.Equal(t, joined.Upstream().String(), relay.address)
}

// TestReaderServesWhileThereIsNoRelay checks that until the lease of a lost relay can be taken
// over, nodes read from a standby that reads the store without the lease, and from the new relay
// afterwards.
func TestReaderServesWhileThereIsNoRelay(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay, follower := startPair(t, store)
	standby := startMember(t, store, "standby")
	_, err := standby.source.Read(t.Context())
	assert.NilError(t, err)
	for _, m := range []*member{relay, follower, standby} {
		m.SetStandbys([]string{standby.address})
		m.SetNodes(300)
	}
	batch, err := follower.source.Read(t.Context())
	assert.NilError(t, err)
	store.mu.Lock()
	store.lease.Revision++ // lease renewals of the relay fail from here on
	store.mu.Unlock()
	assert.NilError(t, relay.listener.Close())
	relay.listener.reset()
	_, _ = follower.source.Watch(t.Context(), batch.Revision, 0)
	// The standby detects the loss itself and keeps reading as nodes do: nobody reads from a node
	// that has not reached the store for maxAge.
	_, _ = standby.source.Watch(t.Context(), batch.Revision, 0)
	reads := store.reads.Load()
	stop, watches := keepWatching(t, standby, batch.Revision)
	awaitRead(t, follower)
	stop()
	assert.Equal(t, follower.Upstream().String(), standby.address)
	assert.Assert(t, store.reads.Load() <= reads+watches.Load()+2, "a node other than the standby read the store")
}

// TestStoreIsReadWhenNoReaderIsFound checks that a node falls back to the store after a while if no
// standby can be reached.
func TestStoreIsReadWhenNoReaderIsFound(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	alone := startMember(t, store, "alone", firstStart, func(o *Options) { o.TakeoverDelay = func() time.Duration { return time.Hour } })
	alone.SetStandbys([]string{"127.0.0.1:1"})
	alone.SetNodes(storeProbers + 1)
	soon, cancel := context.WithTimeout(t.Context(), searchTimeout/10)
	defer cancel()
	_, err := alone.source.Read(soon)
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
	assert.Equal(t, store.reads.Load(), int64(0))
	awaitRead(t, alone)
	assert.Equal(t, store.reads.Load(), int64(1))
}

// TestSomeNodesTurnToTheStoreFirst checks which nodes fall back to the store: in a large fleet
// those with the most spare capacity, as named by the lease holder; in a small fleet every node;
// also a node that starts while the fleet is serving, but not one that starts together with the
// whole system.
func TestSomeNodesTurnToTheStoreFirst(t *testing.T) {
	self, others := "10.0.0.1:1", []string{"10.0.0.2:1", "10.0.0.3:1"}
	for _, c := range []struct {
		name     string
		first    bool
		received bool
		rowRead  bool
		standbys []string
		nodes    int
		direct   bool
	}{
		{name: "starts with the whole system", first: true},
		{name: "starts again", rowRead: true, direct: true},
		{name: "starts again, lease row not read yet"},
		{name: "starts again in a large fleet", rowRead: true, nodes: maxDirectStarts + 1},
		{name: "knows no standbys", received: true, direct: true},
		{name: "told", first: true, received: true, standbys: others, nodes: 300},
		{name: "standbys known, started later", received: true, standbys: others, nodes: 300},
		{name: "is a standby", received: true, standbys: []string{self}, nodes: 300, direct: true},
		{name: "small fleet", received: true, standbys: others, nodes: storeProbers, direct: true},
	} {
		r := New(Options{Group: "group", Address: self, FirstStart: c.first})
		r.SetStandbys(c.standbys)
		r.SetNodes(c.nodes)
		r.leaseRowRead = c.rowRead
		if c.received {
			r.recordRelayAnswer()
		}
		assert.Equal(t, r.FallsBackToStore(), c.direct, c.name)
	}
}

// TestLostReaderIsDropped checks that a node searches for another reader when the one it reads from
// does not answer, and does not fall back to the store at once.
func TestLostReaderIsDropped(t *testing.T) {
	store := &fakeStore{}
	r := New(Options{
		Group: "group", Address: "10.0.0.1:1", Leases: store, Client: peer.NewClient("one", nil), FirstStart: true,
	})
	r.SetStandbys([]string{"127.0.0.1:1"})
	r.SetNodes(300)
	reader := Peer{Address: "127.0.0.1:2"}
	r.reader = reader
	assert.Equal(t, r.Upstream(), reader)
	r.dropReader(reader)
	assert.Equal(t, r.Upstream(), Store{})
	soon, cancel := context.WithTimeout(t.Context(), searchTimeout/10)
	defer cancel()
	_, _, err := r.awaitReader(soon)
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
	assert.Assert(t, r.skipLeaseCheck(), "the node checks the lease itself during the search")
	r.searchStarted = time.Now().Add(-time.Hour)
	r.lastSearch, r.failedSearches = time.Now(), 10
	_, found, err := r.awaitReader(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !found)
}

// TestRelayReadsTheStore checks that the relay reads the store even if it is not among the standbys
// that the control holder named. Previously it searched for another reader, and its followers kept
// changing theirs all day.
func TestRelayReadsTheStore(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay := startMember(t, store, "one", firstStart)
	waitUntil(t, func() bool { return relay.elector.Holds() })
	relay.SetStandbys([]string{"127.0.0.1:1"})
	relay.SetNodes(300)
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), int64(1))
}

// TestFewNodesCheckLeaseDuringOutage checks that while the store is unavailable only some nodes of
// a large fleet read the lease row, in case all nodes that should are gone. When all 295 nodes did,
// they made 445 calls in four seconds.
func TestFewNodesCheckLeaseDuringOutage(t *testing.T) {
	r := New(Options{Group: "group", Address: "10.0.0.1:1", FirstStart: true})
	r.SetStandbys([]string{"10.0.0.2:1"})
	r.SetNodes(300)
	checks := 0
	for range 3000 {
		if !r.skipLeaseCheck() {
			checks++
		}
	}
	assert.Assert(t, checks > 0 && checks < 3*3000*storeProbers/300, "%d", checks)
	r.SetStandbys([]string{"10.0.0.1:1"})
	assert.Assert(t, !r.skipLeaseCheck())
}

// TestSilentStandbyDoesNotDelaySearch checks that a standby which accepts calls but answers none,
// like a machine that has just lost power, does not keep a node from querying others.
func TestSilentStandbyDoesNotDelaySearch(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	store := &fakeStore{}
	store.write("a")
	relay := startMember(t, store, "one")
	waitUntil(t, func() bool { return relay.elector.Holds() })
	_, err = relay.source.Read(t.Context())
	assert.NilError(t, err)
	reads := store.reads.Load()
	joined := startMember(t, store, "two", firstStart, func(o *Options) { o.TakeoverDelay = func() time.Duration { return time.Hour } })
	joined.SetStandbys([]string{silent.Addr().String(), relay.address})
	joined.SetNodes(300)
	_, err = joined.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), reads, "the relay was not found within searchTimeout")
}

// TestFewNodesProbeUnavailableStore checks that while no node can read the store, some nodes of a
// large fleet probe whether it is back: more as time passes, and finally all. When all 295 nodes
// did so after 1.2 s, they made 1,620 calls in one second.
func TestFewNodesProbeUnavailableStore(t *testing.T) {
	const nodes = 300
	for searches, share := range map[int]float64{0: 8.0 / nodes, 1: 32.0 / nodes, 2: 128.0 / nodes, 3: 1} {
		fallbacks := 0
		for range nodes * 10 {
			r := New(Options{Group: "group", Address: "10.0.0.1:1", FirstStart: true})
			r.SetStandbys([]string{"10.0.0.2:1"})
			r.SetNodes(nodes)
			r.searchStarted, r.lastSearch, r.failedSearches = time.Now().Add(-time.Hour), time.Now(), searches
			if !r.continueSearch() {
				fallbacks++
			}
		}
		assert.Assert(t, math.Abs(float64(fallbacks)/(nodes*10)-share) < 0.05, "after %d failed searches: %d", searches, fallbacks)
	}
	alone := New(Options{Group: "group", Address: "10.0.0.1:1", FirstStart: true})
	alone.searchStarted, alone.lastSearch = time.Now().Add(-time.Hour), time.Now()
	assert.Assert(t, !alone.continueSearch(), "a node that does not know the number of nodes kept searching")
}

// TestRestartedNodeOfLargeFleetDoesNotReadStore checks that a node which restarts while a large
// fleet is serving learns the size of the fleet from the lease row and reads the tables from the
// relay. In a small fleet it reads them from the store at once.
func TestRestartedNodeOfLargeFleetDoesNotReadStore(t *testing.T) {
	for _, test := range []struct{ nodes, reads int }{{maxDirectStarts, 1}, {maxDirectStarts + 1, 0}} {
		store := &fakeStore{}
		store.write("a")
		relay := startMember(t, store, "one")
		waitUntil(t, func() bool { return relay.elector.Holds() })
		_, err := relay.source.Read(t.Context())
		assert.NilError(t, err)
		relay.SetNodes(test.nodes)
		waitUntil(t, func() bool {
			record, _ := relay.elector.Holder()
			return record.Nodes == test.nodes
		})
		if test.reads > 0 {
			// Without the relay, reads show up at the store.
			relay.kill()
		}
		reads := store.reads.Load()
		restarted := startMember(t, store, "two")
		awaitRead(t, restarted)
		assert.Equal(t, store.reads.Load()-reads, int64(test.reads), "fleet of %d nodes", test.nodes)
	}
}

// TestNodesThatLostPowerTogetherFindARelay checks that after a power failure of the whole fleet,
// when the relay named by the lease row is gone for good, another relay is found and few of many
// nodes read the store.
func TestNodesThatLostPowerTogetherFindARelay(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	lost := startMember(t, store, "lost")
	waitUntil(t, func() bool { return lost.elector.Holds() })
	lost.SetNodes(500)
	waitUntil(t, func() bool {
		record, _ := lost.elector.Holder()
		return record.Nodes == 500
	})
	lost.kill()
	reads := store.wholeReads.Load()
	const nodes = 24
	var reading sync.WaitGroup
	for i := range nodes {
		m := startMember(t, store, fmt.Sprint("node-", i))
		reading.Go(func() {
			awaitRead(t, m)
			// A relay that does not follow the store has data that is too old for the others.
			stop, _ := keepWatching(t, m, store.model.revision)
			t.Cleanup(stop)
		})
	}
	reading.Wait()
	assert.Assert(t, store.wholeReads.Load()-reads <= 3*nodes, "%d reads of the store", store.wholeReads.Load()-reads)
}
