package quarantine

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

	"lilacvane/internal/crash"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/poison"
	"lilacvane/internal/ring"
	"lilacvane/internal/wire"
)

// group is a number of nodes that reach each other, but neither a store nor a holder.
type group struct {
	mutex sync.Mutex
	nodes map[string]*Quarantine
	order []string
	gone  map[string]bool
	// runners is how many runners the nodes list.
	runners int
	calls   atomic.Int64
	bytes   atomic.Int64
	// delay returns how long a report takes to arrive; nil if it takes no time.
	delay func() time.Duration
}

// newGroup returns a group whose nodes know each other as those of a fleet do.
func newGroup(t *testing.T, count int) *group {
	g := &group{nodes: make(map[string]*Quarantine), gone: make(map[string]bool)}
	for number := range count {
		g.order = append(g.order, fmt.Sprintf("10.0.%03d.%03d:1", number/250, number%250))
	}
	for _, address := range g.order {
		g.add(t, address)
	}
	for _, address := range g.order {
		g.introduce(address)
	}
	synctest.Wait()
	return g
}

// start starts a node that knows nothing yet but the other nodes.
func (g *group) start(t *testing.T, address string) {
	g.add(t, address)
	g.introduce(address)
}

// add adds a node that answers others and knows none.
func (g *group) add(t *testing.T, address string) {
	q := New(Options{
		Rows: &tableStub{rows: make(map[string]bool), down: true}, Self: func() string { return address }, ReportNow: func(string) {}, Wake: func() {},
		RecordDecision: func(_, _, _ string) {}, SendReport: g.send, AskTrial: g.askTrial, Holds: func(string) bool { return false }, CountRunners: func(string) int { return g.runners }, CountUndelivered: func() {}, Unreadable: func(feed.Row, error) {}, Log: logr.Discard(),
	})
	t.Cleanup(q.close)
	g.mutex.Lock()
	g.nodes[address] = q
	g.mutex.Unlock()
}

// introduce tells a node the others.
func (g *group) introduce(address string) {
	const standbys = 8
	g.nodes[address].SetNodes(len(g.order), g.order[:min(standbys, len(g.order))], ring.Neighbors(g.order, address))
}

func (g *group) send(_ context.Context, address string, report wire.PoisonReport) (wire.PoisonAnswer, error) {
	g.mutex.Lock()
	q, gone := g.nodes[address], g.gone[address]
	g.mutex.Unlock()
	content, err := wire.Encode(report)
	if err != nil {
		return wire.PoisonAnswer{}, err
	}
	g.calls.Add(1)
	g.bytes.Add(int64(len(content)))
	if g.delay != nil {
		time.Sleep(g.delay())
	}
	if gone || q == nil {
		return wire.PoisonAnswer{}, fault.New(fault.CodeNotReady, "call peer", "gone")
	}
	return q.Answer(report), nil
}

func (g *group) askTrial(_ context.Context, address string, request wire.TrialRequest) (wire.TrialAnswer, error) {
	g.mutex.Lock()
	q, gone := g.nodes[address], g.gone[address]
	g.mutex.Unlock()
	if gone || q == nil {
		return wire.TrialAnswer{}, fault.New(fault.CodeNotReady, "call peer", "gone")
	}
	return q.GrantTrial(request), nil
}

// crash reports a runner that crashed under a request at one node.
func (g *group) crash(node int, runner string, request poison.Identity) {
	g.nodes[g.order[node]].Crashed(crash.Crash{Runner: runner, Requests: []poison.Identity{request}})
}

// unaware returns the nodes that are there and do not refuse a request.
func (g *group) unaware(request poison.Identity) []string {
	var unaware []string
	for _, address := range g.order {
		if _, refused := g.nodes[address].Refused(request); !refused && !g.gone[address] {
			unaware = append(unaware, address)
		}
	}
	return unaware
}

var request = poison.Content{Path: "/x"}.Identity()

// TestRefusalReachesAllNodesThoughSomeAreGone: three nodes see one crash each, while every third
// node is gone, the first ones among them, to which crashes are reported.
func TestRefusalReachesAllNodesThoughSomeAreGone(t *testing.T) {
	for _, count := range []int{3, 7, 86, 985, 2100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, count)
				assert.Assert(t, g.calls.Load() <= int64(2*count), "%d calls while nothing is known", g.calls.Load())
				g.calls.Store(0)
				g.bytes.Store(0)
				if count > 3 {
					for number := 0; number < count; number += 3 {
						g.gone[g.order[number]] = true
					}
				}
				witnesses := []int{1, 2, count - 1}
				if g.gone[g.order[count-1]] {
					witnesses[2] = count - 2
				}
				for number, node := range witnesses {
					g.crash(node, fmt.Sprint("r", number), request)
					synctest.Wait()
				}
				assert.Equal(t, len(g.unaware(request)), 0, "of %d", count)
				t.Logf("%d nodes: %d calls, %d bytes", count, g.calls.Load(), g.bytes.Load())
			})
		})
	}
}

// TestCrashesWereForgottenWithTheNodesThatCountedThem: the nodes that were told of two crashes are
// gone before the third.
func TestCrashesWereForgottenWithTheNodesThatCountedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		g.crash(9, "r1", request)
		g.crash(10, "r2", request)
		synctest.Wait()
		for _, address := range g.order[:8] {
			g.gone[address] = true
		}
		for _, address := range g.order[8:] {
			g.nodes[address].exchange()
		}
		synctest.Wait()
		g.crash(11, "r3", request)
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 0)
	})
}

// TestStartedNodeLearnsWhatIsRefused: a node that starts is told by a neighbor, without the table.
func TestStartedNodeLearnsWhatIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		for number := range 3 {
			g.crash(5, fmt.Sprint("r", number), request)
		}
		synctest.Wait()
		g.start(t, g.order[3])
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 0)
	})
}

// TestClearedRequestWasRefusedAgainByLateNews: a node that was away while a request was cleared tells
// others that it refuses it. They do not believe it, and it learns better.
func TestClearedRequestWasRefusedAgainByLateNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		for number := range 3 {
			g.crash(5, fmt.Sprint("r", number), request)
		}
		synctest.Wait()
		g.gone[g.order[7]] = true
		assert.Assert(t, g.nodes[g.order[2]].Succeeded(request))
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 11)
		g.gone[g.order[7]] = false
		g.nodes[g.order[7]].exchange()
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 12)
		g.crash(5, "r0", request)
		g.crash(5, "r3", request)
		g.crash(5, "r4", request)
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 12, "crashes from before the request was cleared do not count")
		g.crash(5, "r5", request)
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 0)
	})
}

// TestMarkEndsThoughNodesExchangeIt: what a neighbor has refused for long does not begin anew.
func TestMarkEndsThoughNodesExchangeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		for number := range 3 {
			g.crash(0, fmt.Sprint("r", number), request)
		}
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 0)
		time.Sleep(poison.MarkLifetime - time.Second)
		g.start(t, g.order[1])
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 0)
		time.Sleep(2 * time.Second)
		for _, address := range g.order {
			g.nodes[address].exchange()
		}
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request)), 3)
	})
}

// TestNodeWithOtherMarksLearnsAll: two halves of a group that did not reach each other compare what
// they refuse.
func TestNodeWithOtherMarksLearnsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2)
		other := poison.Content{Path: "/y"}.Identity()
		for node, content := range []poison.Identity{request, other} {
			g.gone[g.order[1-node]] = true
			for number := range 3 {
				g.crash(node, fmt.Sprint("r", number), content)
			}
			synctest.Wait()
			g.gone[g.order[1-node]] = false
		}
		assert.DeepEqual(t, g.unaware(request), g.order[1:])
		assert.DeepEqual(t, g.unaware(other), g.order[:1])
		g.nodes[g.order[0]].exchange()
		synctest.Wait()
		assert.Equal(t, len(g.unaware(request))+len(g.unaware(other)), 0)
	})
}
