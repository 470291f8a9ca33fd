package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/commandline"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
)

// Runners said in answers that they leave, or turned requests away and asked for rest, and were
// sent requests all the same. Nodes read neither from an answer: that a runner leaves was known
// from the platform's list alone, which stood still for 12 s while the store was away ("request
// ended ... served" at six nodes between 35.7 and 41.2 s, "runners leaving" after 47.6 s), and a
// runner that refused a request was left alone for 250 ms and one model ("attempt failed ...
// 503, not run" at 7.34, 7.60, 7.85, 8.13 and 8.61 s of a rest until 9.26 s).

const (
	// leavingBound is how long after an answer that said so a runner that leaves may still be
	// sent requests by the node that passed it on.
	leavingAppliedWithin = 2 * time.Second
	// restSlack is when a rest binds after the answer that asked for it, restSends how many
	// requests of the node may reach the runner all the same.
	restAppliedAfter = 500 * time.Millisecond
	maxSendsInRest   = 2
	// statedPause lies between requests of a test.
	requestPause = 15 * time.Millisecond
)

// statedTest is how runners state something of themselves, and in which world.
type statementTest struct {
	// leave is set where runners leave, rest is what they ask for else.
	leave bool
	rest  string
	// limit is named by runners as the requests a second that they take.
	limit string
	// listed is set where the platform's list tells of a leaving, unless the store is away.
	listed bool
	// store is what the store suffers meanwhile; refused is how many nodes it turns away.
	store   storestub.Down
	refused int
	// crowd is how many requests each node gets at once besides, all is set where all runners
	// state the same, full where they turn away only what they have no room for.
	crowd int
	all   bool
	full  bool
}

// TestRunnersThatLeaveGetNothing: half of the runners, or all, say in their answers that they
// leave, and serve on.
func TestRunnersThatLeaveGetNothing(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]statementTest{
		"in answers alone":    {leave: true},
		"store down":          {leave: true, listed: true, store: storestub.Busy},
		"store refuses some":  {leave: true, store: storestub.Reset, refused: 2},
		"many requests":       {leave: true, crowd: 40},
		"all of them":         {leave: true, all: true},
		"all, in the list":    {leave: true, all: true, listed: true},
		"all, many, no store": {leave: true, all: true, crowd: 40, store: storestub.Busy},
	} {
		t.Run(name, func(t *testing.T) { runStatementTest(t, test) })
	}
}

// TestRunnersThatWantRestGetIt: half of the runners, or all, turn all requests away and ask for
// a time without any, until they take requests again.
func TestRunnersThatWantRestGetIt(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]statementTest{
		"seconds":            {rest: "3"},
		"a fraction":         {rest: "1.5"},
		"store down":         {rest: "2", store: storestub.Busy},
		"store refuses some": {rest: "2", store: storestub.Reset, refused: 2},
		"many requests":      {rest: "2", crowd: 40},
		"all of them":        {rest: "2", all: true},
		"all, many requests": {rest: "1.5", all: true, crowd: 40},
		"all, when full":     {rest: "1", all: true, crowd: 80, full: true},
	} {
		t.Run(name, func(t *testing.T) { runStatementTest(t, test) })
	}
}

// stated is a world in which runners state something, and all that clients saw of it.
type statementWorld struct {
	statementTest
	world *world.World
	nodes []*world.Node

	mutex sync.Mutex
	// tries are all requests, by identifier.
	tries map[string]clientExchange
	// disturbed is when nodes were killed, started, or went on after they stood still.
	disturbed map[*world.Node][]time.Time
}

// try is a request of a client, and what became of it.
type clientExchange struct {
	request   clientRequest
	answer    clientAnswer
	node      *world.Node
	sent, end time.Time
}

// runnersEach is how many runners there are of each service.
const runnersPerService = 4

func startStatementWorld(t *testing.T, test statementTest) *statementWorld {
	t.Helper()
	return startStatementWorldWith(t, test, world.Return{})
}

// startStatedWith starts such a world with runners that are started again as it says.
func startStatementWorldWith(t *testing.T, test statementTest, returns world.Return) *statementWorld {
	t.Helper()
	w := newWorld(t, nil)
	for index := range runnersPerService {
		zone := zones[index%len(zones)]
		engine, mailer := engineOptions(w, fmt.Sprintf("runner-%d", index+1), zone), mailerOptions(fmt.Sprintf("mailer-%d", index+1), zone)
		engine.Returns, mailer.Returns = returns, returns
		for _, options := range []world.RunnerOptions{engine, mailer} {
			_, err := w.StartRunner(options)
			assert.NilError(t, err)
		}
	}
	s := &statementWorld{statementTest: test, world: w, nodes: startNodes(t, w, 4), tries: make(map[string]clientExchange), disturbed: make(map[*world.Node][]time.Time)}
	apply(t, s.nodes[0], append(model("alpha", runnersPerService), readyPolicy("alpha", runnersPerService))...)
	waitKnown(t, "alpha", s.nodes...)
	waitUntil(t, "all runners hold the model", func() error {
		if got := len(runnersHolding(t, s.nodes[0], "alpha")); got != runnersPerService {
			return fmt.Errorf("%d hold it", got)
		}
		return nil
	})
	return s
}

func runStatementTest(t *testing.T, test statementTest) {
	t.Helper()
	s := startStatementWorld(t, test)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { s.send(ctx) })
	time.Sleep(time.Second)
	assert.NilError(t, s.applyStoreFaults())
	s.state(t)
	s.sendCrowds(ctx, &senders)
	time.Sleep(leavingAppliedWithin + 2*time.Second)
	if !test.leave {
		s.acceptAgain(t)
		time.Sleep(s.restDuration() + time.Second)
	}
	end()
	senders.Wait()
	assert.NilError(t, s.world.SetStoreFaults(storestub.Faults{}))
	s.checkClients(t)
	s.checkRunners(t)
}

// suffer brings what the store suffers.
func (s *statementWorld) applyStoreFaults() error {
	var hosts []string
	for _, node := range s.nodes[:s.refused] {
		hosts = append(hosts, node.StoreHost())
	}
	return s.world.SetStoreFaults(storestub.Faults{Down: s.store, Only: hosts})
}

// stating are the names of the runners that state something.
func (s *statementWorld) statingRunners() []string {
	count := runnersPerService / 2
	if s.all {
		count = runnersPerService
	}
	var names []string
	for index := range count {
		names = append(names, fmt.Sprintf("runner-%d", index+1), fmt.Sprintf("mailer-%d", index+1))
	}
	return names
}

// state lets runners state it.
func (s *statementWorld) state(t *testing.T) {
	t.Helper()
	for _, name := range s.statingRunners() {
		switch {
		case s.leave && s.listed:
			assert.NilError(t, s.world.DrainRunner(name))
		case s.leave:
			assert.NilError(t, s.world.SetRunnerFaults(name, runnerstub.Faults{Leaving: true}))
		case s.full:
			assert.NilError(t, s.world.SetRunnerFaults(name, runnerstub.Faults{Rest: s.rest}))
		default:
			assert.NilError(t, s.world.SetRunnerFaults(name, runnerstub.Faults{ShedShare: 1, Rest: s.rest}))
		}
	}
}

// takeAgain lets runners that wanted rest take requests again.
func (s *statementWorld) acceptAgain(t *testing.T) {
	t.Helper()
	for _, name := range s.statingRunners() {
		assert.NilError(t, s.world.SetRunnerFaults(name, runnerstub.Faults{Rest: s.rest}))
	}
}

// lasting is the rest that runners ask for.
func (s *statementWorld) restDuration() time.Duration {
	seconds, _ := strconv.ParseFloat(s.rest, 64)
	return time.Duration(seconds * float64(time.Second))
}

// send sends requests of all kinds to all nodes in turn until ctx ends, without waiting for
// answers.
func (s *statementWorld) send(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		sending.Go(func() { s.sendAndRecord(mixedRequest(number), s.nodes[(number/4)%len(s.nodes)]) })
		time.Sleep(requestPause)
	}
}

// sendCrowds sends many requests at once to each node, now and twice again.
func (s *statementWorld) sendCrowds(ctx context.Context, senders *sync.WaitGroup) {
	for after := range 3 {
		for number := range s.crowd {
			for _, node := range s.nodes {
				senders.Go(func() {
					select {
					case <-ctx.Done():
					case <-time.After(time.Duration(after) * time.Second):
						s.sendAndRecord(mixedRequest(number), node)
					}
				})
			}
		}
	}
}

// try sends a request and notes what became of it.
func (s *statementWorld) sendAndRecord(request clientRequest, node *world.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline+answerMargin)
	defer cancel()
	made := clientExchange{request: request, node: node, sent: time.Now()}
	s.record(made)
	made.answer = send(ctx, node, request)
	made.end = time.Now()
	s.record(made)
}

func (s *statementWorld) record(made clientExchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tries[made.request.ID] = made
}

// visit is a request of a node that reached a runner which states something.
type arrival struct {
	clientExchange
	runnerstub.Arrival
	at     time.Time
	runner string
}

// turned reports whether the runner turned the request away.
func (v *arrival) rejected() bool { return v.Status != 0 }

// lasting is the rest that the answer asked for.
func (v *arrival) restDuration() time.Duration {
	if !v.rejected() {
		return 0
	}
	seconds, _ := strconv.ParseFloat(v.Rest, 64)
	return time.Duration(seconds * float64(time.Second))
}

// visits are all such requests, in the order of their arrival.
func (s *statementWorld) arrivals(t *testing.T) []arrival {
	t.Helper()
	var arrivals []arrival
	for _, record := range readHistory(t, s.world).records {
		made, ours := s.tries[record.Request]
		if !ours || record.Event != journal.EventArrival {
			continue
		}
		visited := arrival{clientExchange: made, at: record.Time, runner: record.Runner}
		assert.NilError(t, json.Unmarshal([]byte(record.Detail), &visited.Arrival))
		arrivals = append(arrivals, visited)
	}
	return arrivals
}

// checkRunners checks that no node sent a runner what it had said that it does not want.
func (s *statementWorld) checkRunners(t *testing.T) {
	t.Helper()
	arrivals := s.arrivals(t)
	assert.Assert(t, len(arrivals) > 0, "no request reached a runner that states something")
	late := make(map[string]bool)
	rejected := 0
	for index, told := range arrivals {
		if told.rejected() {
			rejected++
		}
		leaving, resting := s.violations(told, arrivals[index+1:])
		if len(resting) <= maxSendsInRest {
			resting = nil
		}
		for _, visited := range append(leaving, resting...) {
			if key := visited.request.ID + visited.at.String(); !late[key] {
				late[key] = true
				s.logViolation(t, told, visited)
			}
		}
	}
	t.Logf("%d of %d requests at runners that stated something were not wanted, %d were turned away", len(late), len(arrivals), rejected)
	assert.Equal(t, len(late), 0)
}

// explain logs what a node knew of an answer that a later request of it went against: how long after
// the runner gave it the node read it.
func (s *statementWorld) logViolation(t *testing.T, told, visited arrival) {
	t.Helper()
	t.Logf("%s at %s: %s arrived at %s, %s after %s, which asked for a rest of %q, arrived", told.node.Name, told.runner, visited.request.ID,
		visited.at.Format(time.RFC3339Nano), visited.at.Sub(told.at).Round(time.Millisecond), told.request.ID, told.Rest)
	content := readFile(t, s.world.LogPath(told.node))
	for _, line := range slices.Concat(linesContaining(content, told.request.ID), linesContaining(content, visited.request.ID), linesContaining(content, `"runner wants rest"`, told.runner)) {
		t.Logf("  %.400s", line)
	}
}

// linesWith returns the lines of a log that contain all the words.
func linesContaining(content string, words ...string) []string {
	var lines []string
	for line := range strings.Lines(content) {
		if !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) }) {
			lines = append(lines, line)
		}
	}
	return lines
}

// unwanted are the later requests of the same node at the same incarnation that an answer does
// not want: what clients sent after the bound of a leaving that the node passed on, and what
// arrived in a rest. A node that was started or stood still since then is excused.
func (s *statementWorld) violations(told arrival, later []arrival) (leaving, resting []arrival) {
	for _, visited := range later {
		if visited.node != told.node || visited.runner != told.runner || visited.Born != told.Born || s.disturbedBetween(told.node, told.at, visited.at) {
			continue
		}
		if told.Leaving && told.answer.Whole && !told.rejected() && visited.sent.Sub(told.end) > leavingAppliedWithin {
			leaving = append(leaving, visited)
		}
		if after := visited.at.Sub(told.at); after > restAppliedAfter && after < told.restDuration() {
			resting = append(resting, visited)
		}
	}
	return leaving, resting
}

// disturbedWithin reports whether a node was started or stood still between two moments.
func (s *statementWorld) disturbedBetween(node *world.Node, from, to time.Time) bool {
	return slices.ContainsFunc(s.disturbed[node], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// checkClients checks that each client had a final answer in time, and each refused one the time to
// come back.
func (s *statementWorld) checkClients(t *testing.T) {
	t.Helper()
	statuses := make(map[int]int)
	var held time.Duration
	for _, made := range s.tries {
		statuses[made.answer.Status]++
		if made.answer.Status == http.StatusServiceUnavailable {
			held += made.end.Sub(made.sent)
			assert.Check(t, made.answer.RetryAfter != "", "%s: refused without a time to come back", made.request.Path)
		}
		took := made.end.Sub(made.sent)
		// A stream that began late is cut off as its client's time ends.
		cutInTime := made.answer.Status == http.StatusOK && made.answer.Body != "" && took >= made.request.Deadline
		assert.Check(t, made.answer.Whole || cutInTime, "%s: no whole answer after %s", made.request.Path, took)
		assert.Check(t, made.end.Sub(made.sent) < made.request.Deadline+answerMargin, "%s", made.request.Path)
	}
	t.Logf("answers by status: %v; refused ones took %s in the mean", statuses, held/time.Duration(max(statuses[http.StatusServiceUnavailable], 1)))
}

// TestNodesTellEachOtherOfLeavings: one node hears in an answer that a runner leaves, which the
// platform's list does not tell. The others send it nothing either, and the holder has its model
// loaded elsewhere, from which it is served.
func TestNodesTellEachOtherOfLeavings(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 3)
	nodes := startNodes(t, w, 4)
	apply(t, nodes[0], model("alpha", 2)...)
	waitKnown(t, "alpha", nodes...)
	request := clientRequest{Path: "/draft/x", Model: "alpha", Events: 5, Deadline: 10 * time.Second}
	waitUntil(t, "the model is served", func() error {
		if got := send(t.Context(), nodes[0], request); got.Status != http.StatusOK {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	leaving := runnersHolding(t, nodes[0], "alpha")[0]
	assert.NilError(t, w.SetRunnerFaults(leaving, runnerstub.Faults{Leaving: true}))
	hears := anyNodeExcept(nodes, leaseHolder(t, w, nodes[0]))
	waitUntil(t, "a node hears that the runner leaves", func() error {
		got := send(t.Context(), hears, request)
		if got.Signature == "" {
			return fmt.Errorf("%+v", got)
		}
		return loggedBy(t, w, logLeaving, leaving, hears)
	})
	waitUntil(t, "all nodes are told", func() error { return loggedBy(t, w, logLeaving, leaving, nodes...) })
	before := len(eventTimes(readHistory(t, w), journal.EventArrival))
	for _, node := range nodes {
		waitUntil(t, "the model is served from elsewhere", func() error {
			if got := send(t.Context(), node, request); got.Status != http.StatusOK {
				return fmt.Errorf("%+v", got)
			}
			return nil
		})
	}
	assert.Equal(t, len(eventTimes(readHistory(t, w), journal.EventArrival)), before, "requests reached %s", leaving)
	newCommandCheck(t, nodes[0])(commandline.ExitOK, "hear that it leaves", "explain", "replica", leaving)
}

// What nodes log of runners' statements.
const (
	logLeaving = "runner says that it leaves"
	logLimit   = "runner names a limit"
)

// loggedBy returns nil once all nodes have logged that a runner stated something.
func loggedBy(t *testing.T, w *world.World, statementWorld, runner string, nodes ...*world.Node) error {
	t.Helper()
	for _, node := range nodes {
		found := false
		for line := range strings.Lines(readFile(t, w.LogPath(node))) {
			found = found || strings.Contains(line, statementWorld) && strings.Contains(line, runner)
		}
		if !found {
			return fmt.Errorf("%s does not know", node.Name)
		}
	}
	return nil
}
