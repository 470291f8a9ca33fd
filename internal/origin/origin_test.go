package origin

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/lease"
	"lilacvane/internal/wire"
)

// group is a number of nodes that reach each other unless they are gone.
type group struct {
	store *storeStub
	nodes map[string]*Registry
	order []string
	calls atomic.Int64
	// endAll ends all nodes.
	endAll context.CancelFunc

	mutex sync.Mutex
	gone  map[string]bool
}

// newGroup returns a group that starts for the first time, with an empty store. Its first node holds the lease.
func newGroup(t *testing.T, count int, listed ...backend.Runner) *group {
	return newGroupAt(t, newStoreStub(), lease.Term{Held: true, First: true}, count, listed...)
}

// newGroupAt returns a group with a store; its first node has a tenure of the lease.
func newGroupAt(t *testing.T, store *storeStub, term lease.Term, count int, listed ...backend.Runner) *group {
	ctx, endAll := context.WithCancel(t.Context())
	g := &group{store: store, nodes: make(map[string]*Registry), gone: make(map[string]bool), endAll: endAll}
	for number := range count {
		address := fmt.Sprintf("10.0.0.%d:1", number+1)
		g.order = append(g.order, address)
		r := g.newNode(address, term, listed...)
		g.nodes[address], term = r, lease.Term{}
		go r.Run(ctx)
		go r.Record(ctx)
		go r.Save(ctx)
	}
	for _, r := range g.nodes {
		r.SetKeepers(g.order[:min(count, 8)])
	}
	time.Sleep(2 * recordInterval)
	return g
}

// newNode returns a node that has read the tables.
func (g *group) newNode(address string, term lease.Term, listed ...backend.Runner) *Registry {
	r := New(g.options(address, term))
	r.SetListed(listed)
	g.store.follow((*Handler)(r))
	return r
}

func (g *group) options(address string, term lease.Term) Options {
	return Options{
		Self: func() string { return address }, Send: g.send, Peers: g.peers, Now: time.Now, Log: logr.Discard(),
		Rows: g.store, Streams: g.store.streams, Term: func() lease.Term { return term },
	}
}

func (g *group) send(ctx context.Context, address string, request wire.OriginRequest) (wire.OriginAnswer, error) {
	g.calls.Add(1)
	g.mutex.Lock()
	gone, node := g.gone[address], g.nodes[address]
	g.mutex.Unlock()
	if gone {
		return wire.OriginAnswer{}, fault.New(fault.CodeNotReady, "call peer", "gone")
	}
	return node.Answer(ctx, request), nil
}

func (g *group) peers() []string { return g.order[1:2] }

// end makes a node unreachable.
func (g *group) end(address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.gone[address] = true
}

func runnersOf(builds ...backend.Build) []backend.Runner {
	var runners []backend.Runner
	for number, build := range builds {
		runners = append(runners, backend.Runner{ID: fmt.Sprint("r", number), Service: "s", Build: build})
	}
	return runners
}

var stream = NewStream("caller", "id")

// TestOriginIsKnownThoughNodesAreGone: any node finds the build though the node that began the stream
// and two of its keepers are gone, and no other caller's or service's stream is told.
func TestOriginIsKnownThoughNodesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		began := g.nodes[g.order[11]]
		began.Began("s", stream, "b2")
		time.Sleep(time.Second)
		for _, keeper := range began.keepersOf(stream)[:copies-1] {
			g.end(keeper)
		}
		g.end(g.order[11])
		asking := g.nodes[g.order[10]]
		assert.Equal(t, asking.Find(t.Context(), "s", stream), Origin{Build: "b2", Known: true, Several: true})
		for _, other := range []Origin{asking.Find(t.Context(), "s", NewStream("other", "id")), asking.Find(t.Context(), "elsewhere", stream)} {
			assert.Assert(t, !other.Known)
		}
	})
}

// TestNothingIsToldWhileOneBuildServes: a stream costs no call while one build serves, and is told once
// another one comes, unless it ended.
func TestNothingIsToldWhileOneBuildServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1")...)
		began, asking := g.nodes[g.order[11]], g.nodes[g.order[10]]
		time.Sleep(returnTime)
		ended := NewStream("caller", "ended")
		began.Began("s", stream, "b1")
		began.Began("s", ended, "b1")
		began.Ended(ended)
		time.Sleep(time.Minute)
		assert.Equal(t, g.calls.Load(), int64(0))
		assert.Equal(t, asking.Find(t.Context(), "s", NewStream("caller", "unknown")), Origin{Build: "b1", Known: true})
		for _, r := range g.nodes {
			r.Change(runnersOf("b1", "b2"), nil)
		}
		time.Sleep(time.Second)
		g.end(g.order[11])
		assert.Equal(t, asking.Find(t.Context(), "s", stream), Origin{Build: "b1", Known: true, Several: true})
		assert.Equal(t, asking.Find(t.Context(), "s", ended), Origin{Several: true})
	})
}

// TestBuildThatLeftCountsForAWhile: after the last runner of a build left, streams may still be resumed
// that it began, so nothing is guessed; after that time it is.
func TestBuildThatLeftCountsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, runnersOf("b1", "b2")...)
		for _, r := range g.nodes {
			r.Change(nil, []string{"r0"})
		}
		unknown := NewStream("caller", "unknown")
		r := g.nodes[g.order[0]]
		assert.Equal(t, r.Find(t.Context(), "s", unknown), Origin{Several: true})
		time.Sleep(recordLifetime - time.Second)
		assert.Equal(t, r.Find(t.Context(), "s", unknown), Origin{Several: true})
		time.Sleep(2 * time.Second)
		assert.Equal(t, r.Find(t.Context(), "s", unknown), Origin{Build: "b2", Known: true})
	})
}

// TestRestartedNodeDoesNotGuess: a node that has seen one build only, and not the table, asks those that saw more.
func TestRestartedNodeDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, runnersOf("b1", "b2")...)
		for _, r := range g.nodes {
			r.Change(nil, []string{"r0"})
		}
		restarted := New(g.options(g.order[0], lease.Term{}))
		restarted.SetListed(runnersOf("b1", "b2")[1:])
		assert.Equal(t, restarted.Find(t.Context(), "s", NewStream("caller", "unknown")), Origin{Several: true}, "no holder names keepers")
		go func() {
			time.Sleep(keepersTimeout / 2)
			restarted.SetKeepers(g.order)
		}()
		assert.Equal(t, restarted.Find(t.Context(), "s", NewStream("caller", "unknown")), Origin{Several: true})
	})
}

// TestRecordsAreBounded: a flood of streams neither exhausts memory nor drops the newest.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newGroup(t, 1, runnersOf("b1")...).nodes["10.0.0.1:1"]
		for number := range 2 * maxRecords {
			r.Began("s", NewStream("caller", fmt.Sprint(number)), "b1")
			if number%1000 == 0 {
				time.Sleep(time.Second)
			}
		}
		assert.Assert(t, len(r.records) <= maxRecords)
		_, found := r.find("s", NewStream("caller", fmt.Sprint(2*maxRecords-1)))
		assert.Assert(t, found)
	})
}

// TestRunnerThatStartsWithAnotherBuildCounts: the list names a runner with another build under the same
// name.
func TestRunnerThatStartsWithAnotherBuildCounts(t *testing.T) {
	g := &group{store: newStoreStub()}
	r := g.newNode("", lease.Term{}, runnersOf("b1")...)
	r.Change(runnersOf("b2"), nil)
	assert.Assert(t, r.several("s"))
	_, only := r.only("s")
	assert.Assert(t, !only)
}

// TestStreamsWereJoinedAfterAllNodesStarted: all nodes started after the last runner of a build had left, and took the
// other build, whose runners were old or new, for the only one; also for streams that their clients did not name.
func TestStreamsWereJoinedAfterAllNodesStarted(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * returnTime} {
		t.Run(fmt.Sprint("runners of ", age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runners := runnersOf("b1", "b2")
				for number := range runners {
					runners[number].Born = time.Now().Add(-age).UnixMilli()
				}
				before := newGroup(t, 3, runners...)
				for _, r := range before.nodes {
					r.Change(nil, []string{"r0"})
				}
				time.Sleep(time.Second)
				left := time.Now()
				g := before.restartAll(t, lease.Term{Held: true}, runners[1:]...)
				for _, asking := range g.nodes {
					assert.Equal(t, asking.Find(t.Context(), "s", stream), Origin{Several: true})
					assert.Equal(t, asking.Find(t.Context(), "s", Stream{}), Origin{Several: true})
				}
				time.Sleep(recordLifetime - time.Since(left))
				asking := g.nodes[g.order[0]]
				assert.Equal(t, asking.Find(t.Context(), "s", Stream{}), Origin{Build: "b2", Known: true})
			})
		})
	}
}

// TestNodeWithoutKeepersIsAnsweredThroughPeers: a node that no holder has told the keepers finds a stream
// through any node that knows them.
func TestNodeWithoutKeepersIsAnsweredThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		for number := range 20 {
			g.nodes[g.order[11]].Began("s", NewStream("caller", fmt.Sprint(number)), "b2")
		}
		time.Sleep(time.Second)
		started := g.newNode("started", lease.Term{}, runnersOf("b1", "b2")...)
		for number := range 20 {
			assert.Equal(t, started.Find(t.Context(), "s", NewStream("caller", fmt.Sprint(number))), Origin{Build: "b2", Known: true, Several: true})
		}
	})
}

// TestNewHolderNamesFewKeepers: streams are found although a lease holder that has just begun names few
// keepers.
func TestNewHolderNamesFewKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12, runnersOf("b1", "b2")...)
		for number := range 20 {
			g.nodes[g.order[11]].Began("s", NewStream("caller", fmt.Sprint(number)), "b2")
		}
		time.Sleep(time.Second)
		started := g.newNode(g.order[10], lease.Term{}, runnersOf("b1", "b2")...)
		g.mutex.Lock()
		g.nodes[g.order[10]] = started
		g.mutex.Unlock()
		for _, r := range g.nodes {
			r.SetKeepers([]string{g.order[9], g.order[10]})
		}
		for _, asking := range []*Registry{started, g.nodes[g.order[9]]} {
			for number := range 20 {
				assert.Equal(t, asking.Find(t.Context(), "s", NewStream("caller", fmt.Sprint(number))), Origin{Build: "b2", Known: true, Several: true})
			}
		}
	})
}
