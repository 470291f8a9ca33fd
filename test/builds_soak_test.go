package test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

var (
	buildsSeed     = flag.Uint64("builds.seed", 1, "first seed of the soak of runners of several builds")
	buildsSeeds    = flag.Int("builds.seeds", 1, "number of seeds that it runs, one after the other")
	buildsNodes    = flag.Int("builds.nodes", 0, "nodes of its world; 0 lets the seed draw them")
	buildsDuration = flag.Duration("builds.duration", 10*time.Second, "how long each seed replaces runners and injects faults")
)

// TestBuildsSoak: runners are replaced by ones of other builds, up and back, while runners end or break
// streams off, nodes are killed, several at once, stopped and frozen, and the store is down, silent or
// lost for some, all overlapping as drawn by the seed. Clients leave streams, or lose them, and take them
// up at any node, again and again. No stream holds events of two builds, at any node, and at undisturbed
// nodes, while two runners of their build serve, half as many resumed streams go on as new ones begin. To run
// more seeds: go test ./test -run TestBuildsSoak -builds.seed=100 -builds.seeds=50 -timeout 1h
func TestBuildsSoak(t *testing.T) {
	t.Parallel()
	for seed := *buildsSeed; seed < *buildsSeed+uint64(*buildsSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runBuildsSoak(t, seed) })
	}
}

const (
	// rolloutBuilds is how many builds the soak has, rolloutRunners how many runners serve at a time.
	rolloutBuilds  = 3
	rolloutRunners = 6
	// rolloutEvents is the number of events of its streams.
	rolloutEvents = 60
	// rolloutClients is how many clients it has, clientTries how often each resumes a stream.
	rolloutClients = 16
	clientTries    = 5
	// leastResumedPart is the least share of resumed streams that go on, relative to that of new
	// streams that begin; leastCounted is from how many on it counts.
	leastResumedPart = 0.5
	leastCounted     = 12
)

// buildsSoak is a world whose runners are replaced by ones of other builds, under faults.
type buildsSoak struct {
	*buildWorld
	faults *nodeFaults
	random *rand.Rand
	// runners is held while the world's runners are used: it is not safe for concurrent use.
	runners sync.Mutex

	// mutex guards the fields below. live are the runners by name.
	mutex sync.Mutex
	live  map[string]runnerLife
	// begun and resumed count tries at undisturbed nodes, resumed those while two runners of the
	// build serve; mixed are the streams with events of several builds.
	begun, resumed served
	mixed          []string
	// refusals counts why resumed streams that count did not go on.
	refusals map[string]int
}

// runnerLife is a runner of the soak; gone is zero while it serves.
type runnerLife struct {
	build         string
	started, gone time.Time
}

func runBuildsSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	nodes := *buildsNodes
	if nodes == 0 {
		nodes = 3 + random.IntN(6)
	}
	s := &buildsSoak{random: random, live: make(map[string]runnerLife), refusals: make(map[string]int)}
	s.buildWorld = startBuildWorld(t, nodes, "b1", "b1", "b1")
	s.faults = newNodeFaults(s.world)
	for number := range rolloutRunners {
		s.live[fmt.Sprintf("runner-%d", number+1)] = runnerLife{build: "b1", started: time.Now()}
	}
	ctx, end := context.WithTimeout(t.Context(), *buildsDuration)
	defer end()
	var clients sync.WaitGroup
	for number := range rolloutClients {
		draws := rand.New(rand.NewPCG(seed, uint64(100+number)))
		clients.Go(func() { s.runClient(ctx, draws) })
	}
	s.disturb(ctx, t)
	clients.Wait()
	t.Logf("seed %d: %d nodes; %d of %d new streams begin, %d of %d resumed ones go on, the others: %v", seed, nodes, s.begun.served, s.begun.all, s.resumed.served, s.resumed.all, s.refusals)
	for _, stream := range s.mixed {
		s.logStream(t, stream)
	}
	assert.Check(t, len(s.mixed) == 0, "%v", s.mixed)
	if s.resumed.all >= leastCounted {
		assert.Check(t, s.resumed.share() >= leastResumedPart*s.begun.share())
	}
}

// logStream logs what nodes logged of a stream, and which builds they knew.
func (s *buildsSoak) logStream(t *testing.T, id string) {
	t.Helper()
	for _, node := range s.nodes {
		content := readFile(t, s.world.LogPath(node))
		for _, line := range append(linesContaining(content, id), linesContaining(content, "several builds serve")...) {
			t.Logf("%s: %s", node.Name, line)
		}
	}
}

// disturb replaces runners and injects faults that overlap until ctx ends, and waits for their end.
func (s *buildsSoak) disturb(ctx context.Context, t *testing.T) {
	var running sync.WaitGroup
	defer running.Wait()
	for next := rolloutRunners + 1; ctx.Err() == nil; next++ {
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
		node := s.nodes[s.random.IntN(len(s.nodes))]
		pause := time.Duration(200+s.random.IntN(2000)) * time.Millisecond
		build, number := fmt.Sprintf("b%d", 1+s.random.IntN(rolloutBuilds)), next
		switch s.random.IntN(10) {
		case 0, 1, 2, 3:
			name := fmt.Sprintf("runner-%d", number)
			options := engineOptions(s.world, name, zones[number%len(zones)])
			options.Build = build
			s.startRunner(t, options)
			s.begin(name, build)
			running.Go(func() { s.retire(t, pause) })
		case 4:
			s.breakStreams(pause, &running)
		case 5, 6:
			for range 1 + s.random.IntN(max(len(s.nodes)/3, 1)) {
				victim := s.nodes[s.random.IntN(len(s.nodes))]
				running.Go(func() { s.faults.kill(t, victim) })
			}
		case 7:
			running.Go(func() { s.faults.stop(t, node) })
		case 8:
			running.Go(func() { s.faults.freeze(t, node, pause) })
		case 9:
			faults := []storestub.Faults{{Down: storestub.Busy}, {Down: storestub.Silent}, {Down: storestub.Reset, Only: []string{node.StoreHost()}}}[s.random.IntN(3)]
			running.Go(func() { s.faults.failStore(t, faults, pause) })
		}
	}
}

// begin records a runner that serves.
func (s *buildsSoak) begin(name, build string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.live[name] = runnerLife{build: build, started: time.Now()}
}

// retire drains the runner that has served longest, and ends it after a pause.
func (s *buildsSoak) retire(t *testing.T, pause time.Duration) {
	s.mutex.Lock()
	oldest := ""
	for name, life := range s.live {
		if life.gone.IsZero() && (oldest == "" || life.started.Before(s.live[oldest].started)) {
			oldest = name
		}
	}
	life := s.live[oldest]
	life.gone = time.Now()
	s.live[oldest] = life
	s.mutex.Unlock()
	s.useRunner(func() { assert.Check(t, s.world.DrainRunner(oldest) == nil) })
	time.Sleep(pause)
	s.useRunner(func() { assert.Check(t, s.world.KillRunner(oldest) == nil) })
}

func (s *buildsSoak) startRunner(t *testing.T, options world.RunnerOptions) {
	s.useRunner(func() {
		_, err := s.world.StartRunner(options)
		assert.Check(t, err == nil, "%v", err)
	})
}

// useRunner runs a call that uses the world's runners.
func (s *buildsSoak) useRunner(call func()) {
	s.runners.Lock()
	defer s.runners.Unlock()
	call()
}

// breakStreams makes a runner break streams off for a while.
func (s *buildsSoak) breakStreams(pause time.Duration, running *sync.WaitGroup) {
	s.mutex.Lock()
	var names []string
	for number := range len(s.live) {
		name := fmt.Sprintf("runner-%d", number+1)
		if life, known := s.live[name]; known && life.gone.IsZero() {
			names = append(names, name)
		}
	}
	s.mutex.Unlock()
	if len(names) == 0 {
		return
	}
	name := names[s.random.IntN(len(names))]
	running.Go(func() {
		// The runner may have ended.
		s.useRunner(func() { _ = s.world.SetRunnerFaults(name, runnerstub.Faults{BreakShare: 1}) })
		time.Sleep(pause)
		s.useRunner(func() { _ = s.world.SetRunnerFaults(name, runnerstub.Faults{}) })
	})
}

// inTouch reports whether a node has had no fault from contactTime before an instant until now.
func (s *buildsSoak) inTouch(node *world.Node, since time.Time) bool {
	return s.faults.undisturbed(node, since.Add(-contactTime), time.Now())
}

// twoServe reports whether two runners of a build have served for contactTime.
func (s *buildsSoak) twoServe(build string, at time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	serving := 0
	for _, life := range s.live {
		if life.build == build && life.gone.IsZero() && life.started.Before(at.Add(-contactTime)) {
			serving++
		}
	}
	return serving >= 2
}

// clientStream is a stream as its client has received it.
type clientStream struct {
	clientRequest
	lastEvent string
	builds    map[string]bool
}

// runClient begins streams and takes them up until ctx ends.
func (s *buildsSoak) runClient(ctx context.Context, draws *rand.Rand) {
	for ctx.Err() == nil {
		stream := &clientStream{clientRequest: draftRequest(rolloutEvents), builds: make(map[string]bool)}
		node, sent := s.nodes[draws.IntN(len(s.nodes))], time.Now()
		began, whole, _ := s.read(ctx, node, stream, stream.clientRequest, 1+draws.IntN(rolloutEvents))
		if s.inTouch(node, sent) {
			s.count(ctx, &s.begun, began, "")
		}
		for try := 0; try < clientTries && stream.lastEvent != "" && !whole && ctx.Err() == nil; try++ {
			time.Sleep(time.Duration(draws.IntN(200)) * time.Millisecond)
			node, sent = s.nodes[draws.IntN(len(s.nodes))], time.Now()
			request := begunStream{clientRequest: stream.clientRequest, lastEvent: stream.lastEvent}.resumed()
			serve := s.servedBuild(stream, sent)
			var goesOn bool
			var refusal string
			goesOn, whole, refusal = s.read(ctx, node, stream, request, 1+draws.IntN(rolloutEvents))
			if serve && s.servedBuild(stream, time.Now()) && s.inTouch(node, sent) {
				s.count(ctx, &s.resumed, goesOn, refusal)
			}
		}
		if len(stream.builds) > 1 {
			s.mutex.Lock()
			s.mixed = append(s.mixed, stream.ID)
			s.mutex.Unlock()
		}
	}
}

// servedBuild reports whether two runners of a stream's build serve.
func (s *buildsSoak) servedBuild(stream *clientStream, at time.Time) bool {
	for build := range stream.builds {
		if s.twoServe(build, at) {
			return true
		}
	}
	return false
}

// count counts a try unless the soak ended meanwhile.
func (s *buildsSoak) count(ctx context.Context, tries *served, succeeded bool, refusal string) {
	if ctx.Err() != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	tries.all++
	if succeeded {
		tries.served++
	} else if refusal != "" {
		s.refusals[refusal]++
	}
}

// read sends a request and reads up to a number of events into the stream. goesOn is set if there was
// one, whole if the stream came to its end, refusal says why there was none.
func (s *buildsSoak) read(ctx context.Context, node *world.Node, stream *clientStream, request clientRequest, events int) (goesOn, whole bool, refusal string) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newRequest(request, node).WithContext(ctx))
	if err != nil {
		return false, false, "no answer"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get(protocol.HeaderSignature) == "" {
		content, _ := io.ReadAll(response.Body)
		return false, false, fmt.Sprint(response.StatusCode, " ", errorCode(clientAnswer{Body: string(content)}))
	}
	lines := bufio.NewScanner(response.Body)
	id := ""
	for events > 0 && lines.Scan() {
		if number, isID := strings.CutPrefix(lines.Text(), "id: "); isID {
			id = number
		}
		for build := range buildsIn(lines.Text()) {
			stream.builds[build], stream.lastEvent, goesOn = true, id, true
			events--
		}
	}
	return goesOn, stream.lastEvent == fmt.Sprint(rolloutEvents-1), "no event"
}
