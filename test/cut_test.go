package test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/world"
)

// Nodes that lost their links to all runners, but not to clients, store and other nodes,
// served nothing ("attempt failed ... i/o timeout" at runners of all zones), and where the
// lease holder was one of them, no node served what runners held ("silent 5/5").

const (
	// contactTime is how long after its links changed a node may serve worse.
	contactTime = 3 * time.Second
	// leastCutShare is the least share of first tries served at nodes without links to the
	// runners, relative to that at the others.
	leastCutShare = 2.0 / 3
	// leastSoundShare is the least share of first tries served at nodes that reach all runners.
	leastSoundShare = 0.95
	// cutObserved is how long requests are counted from contactTime on.
	cutObserved = 3 * time.Second
)

// cutTest describes which nodes lose which links.
type cutTest struct {
	mode linkfault.Mode
	// holder is set if the lease holder is among the nodes that are cut off, others is the
	// number of further nodes.
	holder bool
	others int
}

// cutWorld is a statementWorld with faulty links.
type cutWorld struct {
	*statementWorld
	cut []*world.Node
}

// replyObjectiveMs is the latency objective of replies in these tests: runners are suspected
// before a connection attempt times out.
const replyObjectiveMs = 400

func startCutWorld(t *testing.T) *cutWorld {
	t.Helper()
	return startCutWorldWith(t, statementTest{}, world.RestartPolicy{})
}

// startCutWorldWith starts a cutWorld; restart determines how its runners are restarted.
func startCutWorldWith(t *testing.T, test statementTest, restart world.RestartPolicy) *cutWorld {
	t.Helper()
	w := &cutWorld{statementWorld: startStatementWorldWith(t, test, restart, func(o *world.Options) { o.FaultyLinks, o.DirectRunners = true, test.direct })}
	routes := world.DefaultRoutes()
	for index := range routes {
		if routes[index].Name == "reply" {
			routes[index].TargetMs = replyObjectiveMs
		}
	}
	assert.NilError(t, w.world.Configure(routes))
	return w
}

// cutOff cuts nodes off from all runners, and heals the links of the others.
func (w *cutWorld) cutOff(t *testing.T, mode linkfault.Mode, nodes ...*world.Node) {
	t.Helper()
	w.cut = nodes
	for _, node := range w.nodes {
		fault := linkfault.Fault{}
		if slices.Contains(nodes, node) {
			fault.Mode = mode
		}
		assert.NilError(t, w.world.SetLinks(node, fault))
	}
}

// choose returns the nodes that a test cuts off.
func (w *cutWorld) choose(t *testing.T, test cutTest) []*world.Node {
	t.Helper()
	holder := leaseHolder(t, w.world, w.nodes[0])
	var chosen []*world.Node
	for _, node := range w.nodes {
		if node != holder && len(chosen) < test.others {
			chosen = append(chosen, node)
		}
	}
	if test.holder {
		chosen = append(chosen, holder)
	}
	return chosen
}

// served counts requests by whether they were served.
type served struct{ served, all int }

func (s *served) add(exchange clientExchange) {
	s.all++
	if exchange.answer.Status == http.StatusOK && exchange.answer.Complete {
		s.served++
	}
}

func (s served) share() float64 { return float64(s.served) / float64(max(s.all, 1)) }

// countServed counts the requests sent between two times, by route, at the nodes that are
// cut off and at the others.
func (w *cutWorld) countServed(from, to time.Time) (cut, sound map[string]*served) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	cut, sound = make(map[string]*served), make(map[string]*served)
	for _, exchange := range w.exchanges {
		if exchange.sent.Before(from) || !exchange.sent.Before(to) {
			continue
		}
		counts := sound
		if slices.Contains(w.cut, exchange.node) {
			counts = cut
		}
		for _, key := range []string{"", exchange.request.Path} {
			if counts[key] == nil {
				counts[key] = &served{}
			}
			counts[key].add(exchange)
		}
	}
	return cut, sound
}

// checkServed checks that requests of all kinds sent between two times were served, also at
// the nodes that are cut off.
func (w *cutWorld) checkServed(t *testing.T, from, to time.Time) {
	t.Helper()
	cut, sound := w.countServed(from, to)
	assert.Assert(t, sound[""] != nil, "nothing was sent to nodes that reach all runners")
	for path, at := range cut {
		others := sound[path]
		assert.Assert(t, others != nil, "no %s was sent to a node that reaches the runners", path)
		t.Logf("%q: %d of %d at nodes that are cut off, %d of %d at others", path, at.served, at.all, others.served, others.all)
		assert.Check(t, at.share() >= leastCutShare*others.share(), "%q: %d of %d at nodes that are cut off, %d of %d at others", path, at.served, at.all, others.served, others.all)
	}
	assert.Check(t, sound[""].share() >= leastSoundShare, "%d of %d at nodes that reach all runners", sound[""].served, sound[""].all)
}

// countRuns returns how often runners ran each request.
func (w *cutWorld) countRuns(t *testing.T) map[string]int {
	t.Helper()
	return readHistory(t, w.world).countRuns()
}

// checkRuns checks that requests that may not be repeated ran at most once, and that no
// refused request ran.
func (w *cutWorld) checkRuns(t *testing.T) {
	t.Helper()
	runs := w.countRuns(t)
	for id, exchange := range w.exchanges {
		if exchange.request.Method == http.MethodPost {
			assert.Check(t, runs[id] <= 1, "%s ran %d times", id, runs[id])
		}
		if exchange.answer.Status == http.StatusServiceUnavailable || exchange.answer.Status == http.StatusTooManyRequests {
			assert.Check(t, runs[id] == 0, "%s to %s was refused and ran %d times", id, exchange.request.Path, runs[id])
		}
	}
}

// TestNodesCutOffFromRunnersServe: from contactTime after nodes lost their links to all
// runners, first tries there are served two thirds as often as at the other nodes at least,
// and the others serve as before. After the cut all nodes serve.
func TestNodesCutOffFromRunnersServe(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]cutTest{
		"links hang":                          {mode: linkfault.Hang, others: 1},
		"links are reset":                     {mode: linkfault.Reset, others: 1},
		"new connections are refused":         {mode: linkfault.RefuseNew, others: 1},
		"new connections hang":                {mode: linkfault.HangNew, others: 1},
		"holder, links hang":                  {mode: linkfault.Hang, holder: true, others: 1},
		"holder, links are reset":             {mode: linkfault.Reset, holder: true, others: 1},
		"holder, new connections are refused": {mode: linkfault.RefuseNew, holder: true},
		"all but one, links hang":             {mode: linkfault.Hang, holder: true, others: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runCutTest(t, test)
		})
	}
}

func runCutTest(t *testing.T, test cutTest) {
	t.Helper()
	w := startCutWorld(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { w.send(ctx) })
	time.Sleep(time.Second)
	chosen := w.choose(t, test)
	w.cutOff(t, test.mode, chosen...)
	begun := time.Now()
	// No request that is counted may be saved by the end of the cut.
	time.Sleep(contactTime + cutObserved + mixedDeadline)
	healed := time.Now()
	w.cutOff(t, linkfault.Pass)
	time.Sleep(contactTime + time.Second)
	end()
	senders.Wait()
	w.cut = chosen
	w.checkServed(t, begun.Add(contactTime), begun.Add(contactTime+cutObserved))
	w.checkServed(t, healed.Add(contactTime), healed.Add(contactTime+time.Second))
	w.checkRuns(t)
}

// TestHolderCutOffFromRunnersHandsOver: the lease holder loses its links to the runners. A
// model that none of them holds is loaded all the same, by a node that reaches them, and
// no two nodes give orders within the turn gap.
func TestHolderCutOffFromRunnersHandsOver(t *testing.T) {
	t.Parallel()
	for _, mode := range []linkfault.Mode{linkfault.Hang, linkfault.Reset, linkfault.RefuseNew} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			w := startCutWorld(t)
			apply(t, w.nodes[0], model("beta", 1)...)
			waitKnown(t, "beta", w.nodes...)
			holder := leaseHolder(t, w.world, w.nodes[0])
			w.cutOff(t, mode, holder)
			time.Sleep(contactTime)
			waitUntil(t, "the model is served", func() error {
				for _, node := range w.nodes {
					if got := send(t.Context(), node, clientRequest{Path: "/reply/x", Model: "beta", Events: 2, Deadline: 2 * time.Second}); !got.Complete || got.Status != http.StatusOK {
						return fmt.Errorf("%s: %d", node.Name, got.Status)
					}
				}
				return nil
			})
			next := leaseHolder(t, w.world, w.nodes[0])
			assert.Assert(t, next != holder, "the node that is cut off still holds the lease")
			readHistory(t, w.world).assertOrderGap(t, turnGap)
		})
	}
}

// TestRunnersThatOnlyTheHolderLostAreUsed: the lease holder lost its links to the runners and
// does not get their reports. Nodes that reach the runners, and have not sent them anything
// for a while, serve what they hold.
func TestRunnersThatOnlyTheHolderLostAreUsed(t *testing.T) {
	t.Parallel()
	w := startCutWorld(t)
	holder := leaseHolder(t, w.world, w.nodes[0])
	w.cutOff(t, linkfault.Hang, holder)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			senders.Go(func() { w.sendAndRecord(mixedRequest(number), holder) })
			time.Sleep(2 * requestPause)
		}
	})
	time.Sleep(contactTime)
	for round := range 4 {
		for _, node := range w.nodes {
			if node == holder {
				continue
			}
			got := send(ctx, node, clientRequest{Path: "/reply/x", Model: "alpha", Events: 2, Deadline: mixedDeadline})
			assert.Check(t, got.Complete && got.Status == http.StatusOK, "round %d, %s: %d", round, node.Name, got.Status)
		}
		time.Sleep(time.Second)
	}
	end()
	senders.Wait()
}
