package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
)

var (
	cutSeed     = flag.Uint64("cut.seed", 1, "first seed of the soak of paths to runners")
	cutSeeds    = flag.Int("cut.seeds", 1, "number of seeds that it runs, one after the other")
	cutDuration = flag.Duration("cut.duration", 8*time.Second, "how long faults of each seed overlap")
	cutNodes    = flag.Int("cut.nodes", defaultNodes, "nodes of its world")
)

// TestPathsSoak: nodes lose their paths to all or some runners in every way, runners fall silent
// for a moment, are brittle, end and start again, nodes are killed, stopped and frozen, the store
// is down for all or some, all overlapping as drawn by the seed, while clients send on kept and new
// connections. Answers are whole, nothing runs twice or after a refusal, brittle runners stay, no two
// nodes order within the turn gap. Then nodes drawn by the seed, the lease holder among them for odd
// seeds, are cut off while nothing else happens: from contactTime on they serve as the others do, and
// all do after the cut. To run more seeds: go test ./test -run TestPathsSoak -cut.seed=100 -cut.seeds=50 -timeout 1h
func TestPathsSoak(t *testing.T) {
	t.Parallel()
	for seed := *cutSeed; seed < *cutSeed+uint64(*cutSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runCutSoak(t, seed) })
	}
}

// cutSoak is a world whose paths to runners, runners and nodes are subject to overlapping faults.
type cutSoak struct {
	*cutWorld
	t      *testing.T
	random *rand.Rand
	// states counts the injected faults by name.
	states map[string]int

	// mutex guards what faults that overlap use. busy are the nodes that are being restarted or are
	// frozen, ended the times in which nodes had no process that serves.
	mutex    sync.Mutex
	busy     map[*world.Node]bool
	ended    map[*world.Node][]interval
	brittled []string
	brittle  []brittlePhase
}

// brittlePhase is a time in which the runners of a service were brittle.
type brittlePhase struct {
	service  string
	from, to time.Time
}

func runCutSoak(t *testing.T, seed uint64) {
	w := startCutWorldWith(t, statementTest{nodes: *cutNodes}, world.RestartPolicy{After: 700 * time.Millisecond})
	s := &cutSoak{cutWorld: w, t: t, random: rand.New(rand.NewPCG(seed, 3)), states: make(map[string]int), busy: make(map[*world.Node]bool), ended: make(map[*world.Node][]interval)}
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { s.send(ctx) })
	for _, node := range s.nodes {
		for number := range persistentClientsPerNode {
			senders.Go(func() { s.sendOnOneConnection(ctx, node, number) })
		}
	}
	s.overlap()
	s.recover()
	chosen, mode := s.drawNodes(), s.drawMode()
	if holder := leaseHolder(t, s.world, s.nodes[0]); seed%2 == 1 && !slices.Contains(chosen, holder) {
		chosen[0] = holder
	}
	s.cutOff(t, mode, chosen...)
	begun := time.Now()
	time.Sleep(contactTime + cutObserved + mixedDeadline)
	s.cutOff(t, linkfault.Pass)
	healed := time.Now()
	time.Sleep(contactTime + time.Second)
	end()
	senders.Wait()
	t.Logf("seed %d: %v, then %d of %d nodes %s", seed, s.states, len(chosen), len(s.nodes), mode)
	s.cut = chosen
	s.checkServed(t, begun.Add(contactTime), begun.Add(contactTime+cutObserved))
	s.checkServed(t, healed.Add(contactTime), healed.Add(contactTime+time.Second))
	s.checkRuns(t)
	s.checkAnswers()
	s.checkBrittlePhases()
	if t.Failed() {
		s.logEnds()
	}
	h := readHistory(t, s.world)
	h.assertOrderGap(t, turnGap)
	h.assertMemoryNeverExceeded(t)
}

// logEnds logs which runners ended by their own journals, and which ended under requests by the
// nodes' logs: a content under which several ended is not run any more.
func (s *cutSoak) logEnds() {
	for _, node := range s.nodes {
		for _, line := range linesContaining(readFile(s.t, s.world.LogPath(node)), "runner ended under requests") {
			s.t.Logf("%s: %s", node.Name, line)
		}
	}
	for _, record := range readHistory(s.t, s.world).records {
		if record.Event == journal.EventFall || record.Event == journal.EventStart {
			s.t.Logf("%s %s %s", record.Time.Format(time.TimeOnly+".000"), record.Event, record.Runner)
		}
	}
}

// sendOnOneConnection sends requests of all kinds to a node on a connection that it reuses, one
// after the other, until the node closes it or has ended.
func (w *cutWorld) sendOnOneConnection(ctx context.Context, node *world.Node, number int) {
	client := &persistentClient{node: node}
	defer client.close()
	for ; ctx.Err() == nil; number++ {
		request := mixedRequest(number)
		ended, sent := client.do(request)
		if !sent {
			time.Sleep(requestPause)
			continue
		}
		w.record(clientExchange{request: request, node: node, sent: ended.sent, answer: ended.answer, end: ended.end})
		time.Sleep(requestPause)
	}
}

// overlap injects faults that overlap for a while.
func (s *cutSoak) overlap() {
	var running sync.WaitGroup
	until := time.Now().Add(*cutDuration)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+s.random.IntN(600)) * time.Millisecond)
		s.inject(&running)
	}
	running.Wait()
}

// inject begins one fault.
func (s *cutSoak) inject(running *sync.WaitGroup) {
	lasts := time.Duration(200+s.random.IntN(4000)) * time.Millisecond
	node := s.nodes[s.random.IntN(len(s.nodes))]
	runner := 1 + s.random.IntN(runnersPerService)
	service := []string{"runner", "mailer"}[s.random.IntN(2)]
	switch kind := s.random.IntN(14); kind {
	case 0, 1, 2, 3:
		nodes, fault := s.drawNodes(), linkfault.Fault{Mode: s.drawMode()}
		s.begin(running, "cut", func() { s.cutFor(nodes, fault, lasts) })
	case 4, 5:
		addresses := []string{s.address(service, runner), s.address(service, 1+runner%runnersPerService)}
		nodes, fault := s.drawNodes(), linkfault.Fault{Mode: s.drawMode(), Addresses: addresses}
		s.begin(running, "cut from some", func() { s.cutFor(nodes, fault, lasts) })
	case 6, 7:
		fault := linkfault.Fault{Mode: linkfault.Hang, Addresses: []string{s.address(service, runner)}}
		s.begin(running, "silent", func() { s.cutFor(s.nodes, fault, min(lasts, momentOfSilence)) })
	case 8:
		rejections := []string{"0", "2", "8"}[s.random.IntN(3)]
		s.begin(running, "brittle", func() { s.beBrittle(service, rejections, lasts) })
	case 9:
		s.begin(running, "runner ends", func() { s.world.CrashRunner(service + "-" + strconv.Itoa(runner)) })
	case 10:
		s.begin(running, "kill", func() { s.restart(node, true) })
	case 11:
		s.begin(running, "stop", func() { s.restart(node, false) })
	case 12:
		s.begin(running, "freeze", func() { s.freeze(node, min(lasts, 1200*time.Millisecond)) })
	default:
		faults := storestub.Faults{Down: storestub.Busy}
		if s.random.IntN(2) == 0 {
			faults = storestub.Faults{Down: storestub.Reset, Only: []string{node.StoreHost()}}
		}
		s.begin(running, "store", func() { s.storeDown(faults, min(lasts, time.Second)) })
	}
}

// begin runs a fault beside others. It must not draw, so that the seed decides what is drawn.
func (s *cutSoak) begin(running *sync.WaitGroup, name string, run func()) {
	s.states[name]++
	running.Go(run)
}

// address returns the address of a runner as nodes know it.
func (s *cutSoak) address(service string, number int) string {
	return s.world.Runners[service+"-"+strconv.Itoa(number)].Proxy.Address()
}

// drawNodes returns some of the nodes, but not all.
func (s *cutSoak) drawNodes() []*world.Node {
	nodes := slices.Clone(s.nodes)
	s.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:1+s.random.IntN(len(nodes)-1)]
}

func (s *cutSoak) drawMode() linkfault.Mode {
	return []linkfault.Mode{linkfault.Hang, linkfault.Reset, linkfault.RefuseNew, linkfault.HangNew}[s.random.IntN(4)]
}

// cutFor sets a fault on the paths of some nodes for a while. A node that is being restarted has
// none.
func (s *cutSoak) cutFor(nodes []*world.Node, fault linkfault.Fault, lasts time.Duration) {
	for _, node := range nodes {
		_ = s.world.SetLinks(node, fault)
	}
	time.Sleep(lasts)
	for _, node := range nodes {
		_ = s.world.SetLinks(node, linkfault.Fault{})
	}
}

// claim reports whether a node may be restarted or frozen now, and marks it; at most one node at a
// time, so that others can take over.
func (s *cutSoak) claim(node *world.Node) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.busy) > 0 {
		return false
	}
	s.busy[node] = true
	return true
}

func (s *cutSoak) release(node *world.Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, node)
}

// restart ends a node, by a kill or a stop, and starts it again.
func (s *cutSoak) restart(node *world.Node, kill bool) {
	if !s.claim(node) {
		return
	}
	defer s.release(node)
	from := time.Now()
	if kill {
		node.Kill()
	} else {
		assert.Check(s.t, node.Terminate() == nil)
		assert.Check(s.t, node.Wait(stopGrace+answerMargin) == nil, "%s did not stop", node.Name)
	}
	gone := time.Now()
	assert.Check(s.t, s.world.RestartNode(node) == nil)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended[node] = append(s.ended[node], interval{from: from, gone: gone, to: time.Now(), killed: kill})
}

func (s *cutSoak) freeze(node *world.Node, lasts time.Duration) {
	if !s.claim(node) {
		return
	}
	defer s.release(node)
	assert.Check(s.t, node.Freeze() == nil)
	time.Sleep(lasts)
	assert.Check(s.t, node.Thaw() == nil)
}

func (s *cutSoak) storeDown(faults storestub.Faults, lasts time.Duration) {
	assert.Check(s.t, s.world.SetStoreFaults(faults) == nil)
	time.Sleep(lasts)
	assert.Check(s.t, s.world.SetStoreFaults(storestub.Faults{}) == nil)
}

// beBrittle makes the runners of a service brittle, one service at a time.
func (s *cutSoak) beBrittle(service, rejections string, lasts time.Duration) {
	s.mutex.Lock()
	if slices.Contains(s.brittled, service) {
		s.mutex.Unlock()
		return
	}
	s.brittled = append(s.brittled, service)
	s.mutex.Unlock()
	set := func(faults runnerstub.Faults) {
		for number := range runnersPerService {
			// A runner that has just ended gets the faults with its next start.
			_ = s.world.SetRunnerFaults(service+"-"+strconv.Itoa(number+1), faults)
		}
	}
	phase := brittlePhase{service: service, from: time.Now()}
	set(runnerstub.Faults{Brittle: rejections})
	time.Sleep(statedBefore)
	set(runnerstub.Faults{Brittle: rejections, Room: brittleRoom})
	time.Sleep(lasts)
	set(runnerstub.Faults{})
	phase.to = time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.brittle = append(s.brittle, phase)
	s.brittled = slices.DeleteFunc(s.brittled, func(name string) bool { return name == service })
}

// recover ends all faults and waits until every node serves requests of all kinds.
func (s *cutSoak) recover() {
	s.cutOff(s.t, linkfault.Pass)
	assert.NilError(s.t, s.world.SetStoreFaults(storestub.Faults{}))
	waitUntil(s.t, "all runners hold the model", func() error {
		status, err := s.nodes[0].Client().Runners(s.t.Context(), "")
		if err != nil {
			return err
		}
		holding := 0
		for _, runner := range status {
			for _, held := range runner.Units {
				if held.Unit == "alpha" && held.State == "ready" {
					holding++
				}
			}
		}
		if holding != runnersPerService {
			return fmt.Errorf("%d do", holding)
		}
		return nil
	})
	time.Sleep(contactTime)
}

// checkAnswers checks that served requests have their own whole answer, and that only requests of
// nodes that ended have none; of nodes that stopped only those that did not run.
func (s *cutSoak) checkAnswers() {
	runs := s.countRuns(s.t)
	statuses := make(map[int]int)
	for id, exchange := range s.exchanges {
		got := exchange.answer
		statuses[got.Status]++
		switch {
		case exchange.end.IsZero():
		case got.Status == http.StatusOK && got.Complete && exchange.request.Events > 0:
			assert.Check(s.t, got.Body == expectedEvents(id, exchange.request.Events), "%s to %s: the events are not the expected ones", id, exchange.request.Path)
		case got.Status == http.StatusOK && got.Complete:
			assert.Check(s.t, strings.Contains(got.Body, id), "%s to %s: the body is not the expected one", id, exchange.request.Path)
		case got.Status == 0:
			killed, stopped := s.endedDuring(exchange)
			assert.Check(s.t, killed || stopped && runs[id] == 0, "%s to %s at %s: no answer after %s, %d runs", id, exchange.request.Path, exchange.node.Name, exchange.end.Sub(exchange.sent), runs[id])
		}
	}
	s.t.Logf("answers by status: %v", statuses)
}

// endedDuring reports whether a request's node was killed, or stopped, and not serving again at some
// time during the request.
func (s *cutSoak) endedDuring(exchange clientExchange) (killed, stopped bool) {
	for _, span := range s.ended[exchange.node] {
		if span.from.Before(exchange.end) && span.to.After(exchange.sent) {
			killed, stopped = killed || span.killed, stopped || !span.killed
		}
	}
	return killed, stopped
}

// checkBrittlePhases checks that the runners of a service fell over no more often than allowed in
// any time in which they were brittle.
func (s *cutSoak) checkBrittlePhases() {
	records := readHistory(s.t, s.world).records
	for _, phase := range s.brittle {
		falls := 0
		for _, record := range records {
			if record.Event == journal.EventFall && strings.HasPrefix(record.Runner, phase.service+"-") && record.Time.After(phase.from) && record.Time.Before(phase.to.Add(time.Second)) {
				falls++
			}
		}
		assert.Check(s.t, falls <= maxFalls(runnersPerService), "%s: %d falls in %s", phase.service, falls, phase.to.Sub(phase.from))
	}
}
