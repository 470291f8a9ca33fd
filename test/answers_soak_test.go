package test

import (
	"context"
	"flag"
	"fmt"
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
)

var (
	answersSeed  = flag.Uint64("answers.seed", 140, "first seed of the soak of answers without framing")
	answersSeeds = flag.Int("answers.seeds", 1, "number of seeds that it runs, one after the other")
	answersNodes = flag.Int("answers.nodes", 0, "nodes of its world; 0 lets the seed draw them")
)

// answersSoak is a world whose runners answer without a length or chunks, under faults.
type answersSoak struct {
	*answerWorld
	faults *nodeFaults
	random *rand.Rand
	// cuts is set if runners end answers early and go on, otherwise they crash.
	cuts bool

	mutex   sync.Mutex
	results []requestResult
	// target is the node that all new connections go to; nil if each client keeps to its own.
	target *world.Node
}

// nodeOf returns the node to which a client of a node connects now.
func (s *answersSoak) nodeOf(own *world.Node) *world.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target != nil {
		return s.target
	}
	return own
}

// concentrate makes all new connections go to one node for a while.
func (s *answersSoak) concentrate(node *world.Node, d time.Duration) {
	set := func(target *world.Node) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.target = target
	}
	set(node)
	time.Sleep(d)
	set(nil)
}

// answersDuration is how long the soak sends requests and injects faults.
const answersDuration = 9 * time.Second

// TestUnframedAnswersSoak: runners answer without a length or chunks, and end answers early, either all
// by crashes or all by going on, while others fail, refuse, are mute or slow; nodes are stopped, killed
// and frozen, the store fails, and all new connections go to one node, all overlapping as drawn by the seed. Clients keep their connections until
// the node ends them. No part of an answer gets a length, none that ends inside an event or that a crash
// cut off looks complete, and requests that may not be repeated run once at most and are not said to have been
// refused if they ran. To run more seeds: go test ./test -run
// TestUnframedAnswersSoak -answers.seed=100 -answers.seeds=50 -timeout 1h
func TestUnframedAnswersSoak(t *testing.T) {
	t.Parallel()
	for seed := *answersSeed; seed < *answersSeed+uint64(*answersSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runAnswersSoak(t, seed) })
	}
}

func runAnswersSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &answersSoak{cuts: random.IntN(2) == 0, random: random}
	nodes := *answersNodes
	if nodes == 0 {
		nodes = 3 + random.IntN(6)
	}
	s.answerWorld = startAnswerWorldOf(t, nodes, runnerstub.Faults{Unframed: true})
	s.faults = newNodeFaults(s.world)
	ctx, end := context.WithTimeout(t.Context(), answersDuration)
	defer end()
	var running sync.WaitGroup
	for index, node := range s.nodes {
		for number := range 4 {
			clients := rand.New(rand.NewPCG(seed, uint64(1000+100*index+number)))
			running.Go(func() { s.use(ctx, node, clients) })
		}
	}
	changes := rand.New(rand.NewPCG(random.Uint64(), 2))
	running.Go(func() { s.changeRunners(ctx, changes) })
	s.injectFaults(ctx, t)
	running.Wait()
	s.check(t, seed)
}

// use sends requests of all kinds to a node, one after the other.
func (s *answersSoak) use(ctx context.Context, node *world.Node, random *rand.Rand) {
	client := &persistentClient{node: node}
	defer client.close()
	for ctx.Err() == nil {
		request := mixedRequest(random.IntN(4))
		// No two requests are alike, so none is refused for what happened to another.
		request.Path = strings.TrimSuffix(request.Path, "x") + request.ID
		if request.Method == "" {
			request.Method = http.MethodGet
		}
		if client.conn == nil {
			client.node = s.nodeOf(node)
		}
		if result, sent := client.do(request); sent {
			s.mutex.Lock()
			s.results = append(s.results, result)
			s.mutex.Unlock()
		}
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
	}
}

// changeRunners draws new faults of runners until ctx ends.
func (s *answersSoak) changeRunners(ctx context.Context, random *rand.Rand) {
	ids := make([]string, 0, len(s.world.Runners))
	for number := range answerRunners {
		ids = append(ids, fmt.Sprintf("runner-%d", number+1), fmt.Sprintf("mailer-%d", number+1))
	}
	for ctx.Err() == nil {
		share := 0.1 + 0.4*random.Float64()
		faults := runnerstub.Faults{Unframed: random.IntN(5) > 0, InEvent: random.IntN(2) == 0}
		switch {
		case !s.cuts:
			faults.CrashShare = share / 4
		case faults.Unframed || faults.InEvent:
			// What ends between two events with a last chunk is complete by its runner's word.
			faults.CutShare = share
		}
		switch random.IntN(8) {
		case 0:
			faults.ErrorShare = 0.3
		case 1:
			faults.MuteShare = 0.2
		case 2:
			faults.SlowFactor = 5
		case 3:
			faults.BreakShare = 0.3
		case 4:
			faults.ShedShare = 0.3
		}
		// A runner that has just crashed gets the faults with its next start.
		_ = s.world.SetRunnerFaults(ids[random.IntN(len(ids))], faults)
		time.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
	}
}

// injectFaults injects faults of nodes and the store that overlap until ctx ends, and waits for their
// end.
func (s *answersSoak) injectFaults(ctx context.Context, t *testing.T) {
	t.Helper()
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(300+s.random.IntN(900)) * time.Millisecond)
		node := s.nodes[s.random.IntN(len(s.nodes))]
		pause := time.Duration(200+s.random.IntN(2000)) * time.Millisecond
		switch s.random.IntN(7) {
		case 6:
			running.Go(func() { s.concentrate(node, pause) })
		case 0:
			running.Go(func() { s.faults.kill(t, node) })
		case 1, 2:
			running.Go(func() { s.faults.stop(t, node) })
		case 3, 4:
			running.Go(func() { s.faults.freeze(t, node, pause) })
		case 5:
			down := []storestub.Rejection{storestub.Busy, storestub.Silent}[s.random.IntN(2)]
			running.Go(func() { s.faults.failStore(t, storestub.Faults{Down: down}, pause) })
		}
	}
}

// check checks every answer against what runners did.
func (s *answersSoak) check(t *testing.T, seed uint64) {
	t.Helper()
	runs := readHistory(t, s.world).countRuns()
	counts := make(map[string]int)
	for _, result := range s.results {
		kind, problem := s.classify(result, runs[result.request.ID])
		counts[kind]++
		if !assert.Check(t, problem == "", "seed %d: %s: %s %s: %+v", seed, problem, result.request.ID, result.request.Path, result.answer) {
			t.Logf("log of %s: %s", result.node.Name, strings.Join(linesContaining(readFile(t, s.world.LogPath(result.node)), result.request.ID), ""))
		}
	}
	t.Logf("seed %d, %d nodes, cuts %t: %d requests %v", seed, len(s.nodes), s.cuts, len(s.results), counts)
	assert.Check(t, counts["whole"] > 0)
}

// classify names the result of a request, and what is wrong with it.
func (s *answersSoak) classify(result requestResult, runs int) (kind, problem string) {
	got, stream := result.answer, result.request.Events > 0
	switch {
	case strings.HasPrefix(result.request.Path, "/send/") && runs > 1:
		return "repeated", "a request that may not be repeated ran again"
	case !got.Complete:
		return "broken off", ""
	case got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests:
		if runs > 0 && !result.request.repeatable() {
			return "refused", "refused as not run, but ran"
		}
		return "refused", ""
	case got.Status != http.StatusOK:
		return fmt.Sprint(got.Status), ""
	case got.wholeBody(result.request):
		return "whole", ""
	case !s.cuts:
		return "part", "a part of the answer of a crashed runner looks complete"
	case !stream && !got.CloseDelimited:
		return "part", "a part of an answer is framed as complete"
	case stream && !strings.HasSuffix(got.Body, "\n\n"):
		return "part", "a stream that ends inside an event looks complete"
	default:
		return "part, as its runner gave it", ""
	}
}

// repeatable reports whether a request may run more than once.
func (c clientRequest) repeatable() bool {
	return strings.HasPrefix(c.Path, "/read/") || strings.HasPrefix(c.Path, "/draft/")
}
