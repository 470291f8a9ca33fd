package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/peer"
)

// seeded starts a node with seeds.
func seeded(seeds ...string) func(*Options) {
	return func(o *Options) { o.Seeds = seeds }
}

// readsInTime reads the table as soon as the node finds where from.
func readsInTime(t *testing.T, m *member) {
	t.Helper()
	until(t, func() bool {
		_, err := m.source.Read(t.Context())
		return err == nil
	})
}

// TestStartingNodeLeavesTheStoreAlone: a node that starts finds the relay through a seed
// and calls the store for neither a table nor the lease. Of 3,212 calls of a quiet day at
// 295 nodes most were those of their starts.
func TestStartingNodeLeavesTheStoreAlone(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	relay := start(t, store, "one")
	until(t, func() bool { return relay.lessor.Holds() })
	_, err := relay.source.Read(t.Context())
	assert.NilError(t, err)
	reads, looks := store.reads.Load(), store.looks.Load()
	joined := start(t, store, "two", seeded(relay.address))
	readsInTime(t, joined)
	assert.Equal(t, store.reads.Load(), reads)
	assert.Equal(t, store.looks.Load(), looks)
	assert.Equal(t, joined.Upstream().String(), relay.address)
}

// TestReaderServesWhileThereIsNoRelay: until a lost relay's lease may be taken, others
// read from a node that reads the store without it, and from the relay once there is one.
func TestReaderServesWhileThereIsNoRelay(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	lost := start(t, store, "lost")
	until(t, func() bool { return lost.lessor.Holds() })
	store.mu.Lock()
	store.lease.Revision++ // the lost relay's next renewal fails
	store.mu.Unlock()
	lost.Release(t.Context())
	seed := start(t, store, "seed", func(o *Options) { o.Seeds = []string{o.Address} })
	_, err := seed.source.Read(t.Context())
	assert.NilError(t, err)
	joined := start(t, store, "joined", seeded(seed.address))
	readsInTime(t, joined)
	assert.Equal(t, joined.Upstream().String(), seed.address)
	until(t, func() bool { return seed.lessor.Holds() })
	_, err = joined.source.Read(t.Context())
	assert.NilError(t, err)
}

// TestStoreIsReadWhenNobodyIsFound: seeds may be out of date; after a while a node turns
// to the store by itself.
func TestStoreIsReadWhenNobodyIsFound(t *testing.T) {
	store := &fakeStore{}
	store.write("a")
	alone := start(t, store, "alone", seeded("127.0.0.1:1"))
	soon, cancel := context.WithTimeout(t.Context(), readerPatience/10)
	defer cancel()
	_, err := alone.source.Read(soon)
	assert.Assert(t, fault.IsCode(err, fault.CodeNotReady), "%v", err)
	assert.Equal(t, store.reads.Load(), int64(0))
	readsInTime(t, alone)
	assert.Equal(t, store.reads.Load(), int64(1))
}

// TestSomeNodesTurnToTheStoreFirst: in a large fleet those with the most to spare, as the
// holder told; before that seeds and ample machines; in a small one, and without seeds,
// every node.
func TestSomeNodesTurnToTheStoreFirst(t *testing.T) {
	self, others := "10.0.0.1:1", []string{"10.0.0.2:1", "10.0.0.3:1"}
	for _, c := range []struct {
		name     string
		seeds    []string
		standbys []string
		ample    bool
		nodes    int
		direct   bool
	}{
		{name: "no seeds", direct: true},
		{name: "starts", seeds: others},
		{name: "starts as a seed", seeds: []string{self}, direct: true},
		{name: "starts with much to spare", seeds: others, ample: true, direct: true},
		{name: "told", seeds: []string{self}, standbys: others, ample: true, nodes: 300},
		{name: "told to be one", seeds: others, standbys: []string{self}, nodes: 300, direct: true},
		{name: "of few", seeds: others, standbys: others, nodes: lookers, direct: true},
	} {
		r := New(Options{Group: "group", Address: self, Seeds: c.seeds, Ample: c.ample})
		r.SetStandbys(c.standbys)
		r.SetNodes(c.nodes)
		assert.Equal(t, r.Direct(), c.direct, c.name)
	}
}

// TestReaderThatIsLostIsLeft: a node goes on to the next one when the reader that it read
// from does not answer, and does not take the store for it at once.
func TestReaderThatIsLostIsLeft(t *testing.T) {
	store := &fakeStore{}
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, Leases: store, Client: peer.NewClient("one")})
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
	r.lookedAt = time.Now()
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
	relay := start(t, store, "one", seeded("127.0.0.1:1"), func(o *Options) { o.Ample = true })
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
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Seeds: []string{"10.0.0.2:1"}})
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

// TestMuteSeedDelaysNobody: a seed that accepts calls and answers none, as a machine that
// has just lost its power, does not keep a starting node from asking another one.
func TestMuteSeedDelaysNobody(t *testing.T) {
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
	joined := start(t, store, "two", seeded(mute.Addr().String(), relay.address))
	_, err = joined.source.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.reads.Load(), reads, "the relay was found within the patience")
}
