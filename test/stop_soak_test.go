package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

var (
	stopSeed     = flag.Uint64("stop.seed", 1, "first seed of the soak of planned stops")
	stopSeeds    = flag.Int("stop.seeds", 1, "number of seeds that it runs, one after the other")
	stopDuration = flag.Duration("stop.duration", 14*time.Second, "how long stops and changes of each seed begin")
	stopNodes    = flag.Int("stop.nodes", 4, "nodes of its world")
	stopRunners  = flag.Int("stop.runners", 4, "runners of its world that hold the model")
	stopClients  = flag.Int("stop.clients", 3, "clients of each node that keep their connections")
)

const (
	// stopLead is how long before the signal the first requests of a stop are sent.
	stopLead = 2 * time.Second
	// requestsPerStop are the requests whose moments are drawn for one stop.
	requestsPerStop = 36
	// frozenShare is the share of stops in which the process is frozen, for minStopFreeze to maxStopFreeze.
	frozenShare   = 0.15
	minStopFreeze = 100 * time.Millisecond
	maxStopFreeze = time.Second
	// settledSettings is how long before a signal a change of settings is in force for certain.
	settledSettings = time.Second
)

// stopSoak is a world whose nodes are stopped while clients send requests that last up to longer than the
// stop, and while several kinds of changes overlap.
type stopSoak struct {
	*persistentSoak
	// limits are those that the settings file of each node had, by name, in order of time; guarded
	// by settingsMutex.
	limits map[string][]limitsChange

	// plannedMutex guards what stops record.
	plannedMutex sync.Mutex
	planned      []*plannedStop
	exchanges    []stopExchange
}

// limitsChange is a change of the limits of a node's stop in its settings file.
type limitsChange struct {
	at     time.Time
	limits settings.Stop
}

// plannedStop is a stop of a node.
type plannedStop struct {
	node *world.Node
	// gone is when its process had ended, ready when the next one served.
	signal, gone, ready time.Time
	// limits were in force as it began, one of those that are possible.
	limits   settings.Stop
	possible []settings.Stop
	// frozen is how long its process was frozen during the stop.
	frozen time.Duration
	// problem is why it did not end by itself, or nil if it did.
	problem error
}

// stopExchange is a request with what its client got.
type stopExchange struct {
	node *world.Node
	path string
	// due is how long after its head the last part of its answer may come; zero if neither the route nor
	// the client limits that.
	due time.Duration
	// start is how long after its head its answer may begin; zero if only its end is limited.
	start time.Duration
	// keyed is set if the caller gave a key; repeated is when the caller sent it to another node again.
	keyed    bool
	repeated time.Time
	// slow is set if the client read with pauses.
	slow bool
	// signal is the moment to which those of the answer are relative.
	signal time.Time
	slowAnswer
}

// stopChanges are the kinds of changes that overlap with stops, each with its own pauses.
var stopChanges = []soakChange[*stopSoak]{
	{"stop and start a node", 300 * time.Millisecond, (*stopSoak).stopUnderRequests},
	{"stop and start another node", 900 * time.Millisecond, (*stopSoak).stopUnderRequests},
	{"stop and start a third node", 1500 * time.Millisecond, (*stopSoak).stopUnderRequests},
	{"kill and start a node", 5 * time.Second, func(s *stopSoak, random *rand.Rand) { s.killNode(random) }},
	{"change the configuration", 500 * time.Millisecond, func(s *stopSoak, random *rand.Rand) { s.changeConfiguration(random) }},
	{"change settings", 300 * time.Millisecond, func(s *stopSoak, random *rand.Rand) { s.changeSettings(random) }},
	{"change the limits of stops", 700 * time.Millisecond, (*stopSoak).changeLimits},
	{"let runners pause, refuse and slow down", 1500 * time.Millisecond, func(s *stopSoak, random *rand.Rand) { s.changeRunner(random) }},
	{"let runners break off", 1500 * time.Millisecond, (*stopSoak).breakRunner},
	{"replace a runner", 5 * time.Second, func(s *stopSoak, random *rand.Rand) { s.replaceRunner(random) }},
	{"let the store be slow or away", 4 * time.Second, (*stopSoak).changeStore},
}

// TestStopSoak: nodes are stopped while requests of all lengths reach them, before the signal, within the
// notice, after it and around the end, with bodies that end late, on connections that are new, old or kept,
// and while signals, settings, the configuration, runners, the store and other nodes change, as drawn by the
// seed. What a stopping node has read ends as slowRequest says, nothing that may not be repeated runs twice,
// and each process ends by itself within the grace. To run more seeds: go test ./test -run TestStopSoak
// -stop.seed=100 -stop.seeds=50 -timeout 1h
func TestStopSoak(t *testing.T) {
	t.Parallel()
	for seed := *stopSeed; seed < *stopSeed+uint64(*stopSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runStopSoak(t, seed) })
	}
}

func runStopSoak(t *testing.T, seed uint64) {
	s := &stopSoak{limits: make(map[string][]limitsChange)}
	s.persistentSoak = startPersistentSoak(t, seed, *stopNodes, *stopRunners, func(s *settings.Settings) {
		useShortIntervals(s)
		s.Stop = longStop
	})
	for _, node := range s.nodes {
		s.limits[node.Name] = []limitsChange{{at: time.Now().Add(-settledSettings), limits: longStop}}
	}
	s.until = time.Now().Add(*stopDuration)
	var running sync.WaitGroup
	for index, node := range s.nodes {
		for number := range *stopClients {
			running.Go(func() { s.useConnection(node, rand.New(rand.NewPCG(seed, uint64(1000+100*index+number)))) })
		}
	}
	startChanges(&running, s.persistentSoak, s, stopChanges)
	running.Wait()
	s.verifyStops()
}

// drawLimits returns the limits of half of the stops as users have them, else others. Each grace has
// one notice.
func drawLimits(random *rand.Rand) settings.Stop {
	if random.IntN(2) == 0 {
		return longStop
	}
	grace := 1500*time.Millisecond + time.Duration(random.IntN(8500))*time.Millisecond
	if grace == longStop.Grace {
		return longStop
	}
	eighths := time.Duration(grace.Milliseconds() % 4)
	return settings.Stop{Grace: grace, Notice: (grace * eighths / 8).Truncate(time.Millisecond)}
}

// stopLimits matches the limits of a stop in a settings file.
var stopLimits = regexp.MustCompile(`grace: \S+\n(\s+)notice: \S+`)

// changeLimits changes the limits of a node's stop, also while it stops.
func (s *stopSoak) changeLimits(random *rand.Rand) {
	node, limits := s.nodes[random.IntN(len(s.nodes))], drawLimits(random)
	s.editSettings(node, func(content string) string {
		s.limits[node.Name] = append(s.limits[node.Name], limitsChange{at: time.Now(), limits: limits})
		return stopLimits.ReplaceAllString(content, fmt.Sprintf("grace: %s\n${1}notice: %s", limits.Grace, limits.Notice))
	})
	_ = node.Current().Reload() // The process may just have ended.
}

// limitsAt returns the limits of which one is in force at a node: the newest one first.
func (s *stopSoak) limitsAt(node *world.Node, at time.Time) []settings.Stop {
	s.settingsMutex.Lock()
	defer s.settingsMutex.Unlock()
	var possible []settings.Stop
	changes := s.limits[node.Name]
	for index := len(changes) - 1; index >= 0; index-- {
		possible = append(possible, changes[index].limits)
		if changes[index].at.Before(at.Add(-settledSettings)) {
			break
		}
	}
	return possible
}

// stopUnderRequests stops a node while requests are sent to it, and starts it again.
func (s *stopSoak) stopUnderRequests(random *rand.Rand) {
	// Requests begin before the signal, when the node does not stop yet.
	signal := time.Now().Add(stopLead)
	node, ok := s.claimNode(random, false)
	if !ok {
		return
	}
	stop := &plannedStop{node: node, signal: signal}
	var sending sync.WaitGroup
	limits := s.limitsAt(node, time.Now())[0]
	for range requestsPerStop {
		r := drawRequest(random, limits)
		again := s.nodes[random.IntN(len(s.nodes))]
		sending.Go(func() { s.exchange(node, again, r, signal) })
	}
	freeze := random.Float64() < frozenShare
	signals := []time.Duration{drawMoment(random, limits), drawMoment(random, limits), drawMoment(random, limits)}
	time.Sleep(time.Until(signal))
	process := node.Current()
	assert.Check(s.t, process.Terminate())
	stop.signal = time.Now()
	var disturbing sync.WaitGroup
	disturbing.Go(func() { s.disturbStop(process, stop, signals, freeze) })
	stop.problem = process.Wait(waitTimeout)
	stop.gone = time.Now()
	disturbing.Wait()
	stop.possible = s.limitsAt(node, stop.signal)
	s.restartNode(node)
	stop.ready = time.Now()
	sending.Wait()
	s.plannedMutex.Lock()
	defer s.plannedMutex.Unlock()
	s.planned = append(s.planned, stop)
}

// disturbStop sends a process that stops a second SIGTERM, SIGHUP and, if it is to be frozen, stops and
// continues it, at moments after the signal. The process may have ended before.
func (s *stopSoak) disturbStop(process *world.Process, stop *plannedStop, moments []time.Duration, freeze bool) {
	var sending sync.WaitGroup
	at := func(moment time.Duration, run func()) {
		sending.Go(func() {
			select {
			case <-process.Done():
			case <-time.After(time.Until(stop.signal.Add(moment))):
				run()
			}
		})
	}
	at(moments[0], func() { _ = process.Terminate() })
	at(moments[1], func() { _ = process.Reload() })
	if freeze {
		at(moments[2], func() {
			stop.frozen = minStopFreeze + moments[2]%(maxStopFreeze-minStopFreeze)
			_ = process.Freeze()
			time.Sleep(stop.frozen)
			_ = process.Thaw()
		})
	}
	sending.Wait()
}

// drawMoment returns a moment of a stop, most often close to the end of its notice, the begin of its last
// part or its end.
func drawMoment(random *rand.Rand, limits settings.Stop) time.Duration {
	const near = 500 * time.Millisecond
	around := func(moment time.Duration) time.Duration {
		return max(0, moment-near/2+time.Duration(random.Int64N(int64(near))))
	}
	switch random.IntN(6) {
	case 0, 1:
		return around(limits.Notice)
	case 2:
		return around(lastPartOf(limits))
	case 3:
		return around(limits.Grace)
	default:
		return time.Duration(random.Int64N(int64(limits.Grace)))
	}
}

// drawRequest returns a request to a node that stops within limits.
func drawRequest(random *rand.Rand, limits settings.Stop) slowRequest {
	r := slowRequest{path: []string{"/draft/x", "/draft/x", "/reply/x", "/reply/x", "/send/x", "/read/x", completionPath, streamPath}[random.IntN(8)]}
	if r.send = drawMoment(random, limits); random.IntN(3) == 0 {
		r.send = -time.Duration(random.Int64N(int64(stopLead)))
	}
	switch r.dial = r.send; random.IntN(3) {
	case 0:
		r.dial = min(r.send, -time.Duration(random.Int64N(int64(stopLead))))
	case 1:
		r.dial = min(r.send, limits.Notice-time.Duration(random.IntN(200))*time.Millisecond)
	}
	if random.IntN(3) == 0 {
		r.bodyEnd, r.sized = max(r.send+time.Millisecond, drawMoment(random, limits)), random.IntN(2) == 0
	}
	if r.path != "/send/x" && r.path != "/read/x" {
		longest := int(limits.Grace*3/2/stopTokenTime) + 1
		r.events = []int{1, 5, 40, 1 + random.IntN(longest), 1 + random.IntN(longest), longest}[random.IntN(6)]
	}
	if r.deadline = longDeadline; random.IntN(2) == 0 {
		r.deadline = 500*time.Millisecond + time.Duration(random.Int64N(int64(longDeadline)))/2
	}
	if random.IntN(6) == 0 {
		r.pause = time.Duration(1+random.IntN(20)) * time.Millisecond
	}
	if r.isCompletion() && random.IntN(2) == 0 {
		r.key = fmt.Sprintf("key-%d", random.Uint64())
	}
	return r
}

// longDeadline is the time that half of the clients wait, longer than any stop.
const longDeadline = 25 * time.Second

// stopTokenTime is the time that runners of this soak take for an event.
const stopTokenTime = 10 * time.Millisecond

// exchange sends a request to a node that stops and records what its client got. A caller that has a key
// and got no whole answer sends its request to another node again.
func (s *stopSoak) exchange(node, again *world.Node, r slowRequest, signal time.Time) {
	e := stopExchange{node: node, path: r.path, keyed: r.key != "", slow: r.pause > 0, signal: signal, due: r.due()}
	if r.isCompletion() {
		e.start = r.deadline
	}
	e.slowAnswer = r.run(node, signal)
	if e.keyed && e.read && !e.whole && again != node {
		e.repeated = time.Now()
		ask(s.t.Context(), again, call{Model: "alpha", Prompt: e.ID, Tokens: 1, Key: r.key, Deadline: 2 * time.Second}, nil)
	}
	s.plannedMutex.Lock()
	defer s.plannedMutex.Unlock()
	s.exchanges = append(s.exchanges, e)
}

// due returns how long after its head a request may be answered; zero if its answer may take any time
// once it has begun.
func (r slowRequest) due() time.Duration {
	if r.isCompletion() {
		return 0
	}
	return min(r.deadline, routeTimeout(r.path))
}

// routeTimeout returns the time-out of the default route of a path.
func routeTimeout(path string) time.Duration {
	for _, route := range world.DefaultRoutes() {
		if len(path) >= len(route.PathPrefix) && path[:len(route.PathPrefix)] == route.PathPrefix {
			return time.Duration(route.TimeoutMs) * time.Millisecond
		}
	}
	return 0
}

// breakRunner lets a runner break off half of its streams for a while.
func (s *stopSoak) breakRunner(random *rand.Rand) {
	s.worldMutex.Lock()
	runner := s.runners[random.IntN(len(s.runners))]
	assert.Check(s.t, s.w.SetRunnerFaults(runner, runnerstub.Faults{BreakShare: 0.5}))
	s.worldMutex.Unlock()
	time.Sleep(time.Duration(200+random.IntN(1800)) * time.Millisecond)
	s.worldMutex.Lock()
	defer s.worldMutex.Unlock()
	assert.Check(s.t, s.w.SetRunnerFaults(runner, runnerstub.Faults{}))
}

// changeStore lets the store be slow, away or lose answers for a while.
func (s *stopSoak) changeStore(random *rand.Rand) {
	faults := []storestub.Faults{{DelayMs: 300}, {DelayMs: 1000}, {Down: storestub.Busy}, {Down: storestub.Reset}, {Down: storestub.Silent}, {LostShare: 0.3, LateShare: 0.2}}
	assert.Check(s.t, s.w.SetStoreFaults(faults[random.IntN(len(faults))]))
	time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
	assert.Check(s.t, s.w.SetStoreFaults(storestub.Faults{}))
}
