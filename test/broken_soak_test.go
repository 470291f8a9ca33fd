package test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

var (
	brokenSeed     = flag.Uint64("broken.seed", 1, "first seed of the soak of broken answers")
	brokenSeeds    = flag.Int("broken.seeds", 3, "number of seeds that it runs, one after the other")
	brokenDuration = flag.Duration("broken.duration", 10*time.Second, "how long requests and changes of each seed last")
	brokenNodes    = flag.Int("broken.nodes", 4, "nodes of its world")
	brokenRunners  = flag.Int("broken.runners", 4, "runners of its world that hold the model")
	brokenClients  = flag.Int("broken.clients", 4, "clients of each node that keep their connections")
)

const (
	// brokenPause is the longest time that a runner keeps a fault.
	brokenPause = time.Second
	// brokenSound is the share of the changes that make a runner sound.
	brokenSound = 0.4
)

// brokenSoak is a world whose runners send broken answers while changes overlap.
type brokenSoak struct{ *persistentSoak }

// brokenChanges are the kinds of changes that overlap, each with its own pauses.
var brokenChanges = []soakChange[*brokenSoak]{
	{"let a runner send broken answers", 60 * time.Millisecond, (*brokenSoak).breakAnswers},
	{"let another runner send broken answers", 90 * time.Millisecond, (*brokenSoak).breakAnswers},
	{"stop and start a node", 900 * time.Millisecond, func(s *brokenSoak, random *rand.Rand) { s.stopNode(random) }},
	{"stop and start another node", 1300 * time.Millisecond, func(s *brokenSoak, random *rand.Rand) { s.stopNode(random) }},
	{"kill and start a node", 2500 * time.Millisecond, func(s *brokenSoak, random *rand.Rand) { s.killNode(random) }},
	{"change the configuration", 400 * time.Millisecond, func(s *brokenSoak, random *rand.Rand) { s.changeConfiguration(random) }},
	{"change settings", 400 * time.Millisecond, func(s *brokenSoak, random *rand.Rand) { s.changeSettings(random) }},
	{"replace a runner", 3 * time.Second, func(s *brokenSoak, random *rand.Rand) { s.replaceRunner(random) }},
	{"freeze a node", 1500 * time.Millisecond, func(s *brokenSoak, random *rand.Rand) { s.pauseNode(random) }},
}

// TestBrokenAnswersSoak: runners reset connections during uploads and send answers that are none, or that stop or have no
// end, while clients keep their connections, with bodies of up to 1 MiB, and stops, kills, pauses and changes overlap, as
// drawn by the seed. No client gets such an answer, or a part, as a whole one, what may not be repeated runs
// once at most and is not said to have been refused if it ran. To run more seeds: go test ./test -run
// TestBrokenAnswersSoak -broken.seed=100 -broken.seeds=50 -timeout 1h
func TestBrokenAnswersSoak(t *testing.T) {
	t.Parallel()
	for seed := *brokenSeed; seed < *brokenSeed+uint64(*brokenSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runBrokenSoak(t, seed) })
	}
}

func runBrokenSoak(t *testing.T, seed uint64) {
	// A proxy in front of a runner would turn its resets into ends.
	direct := func(o *world.Options) { o.DirectRunners = true }
	s := &brokenSoak{startPersistentSoakIn(t, seed, *brokenNodes, *brokenRunners, direct, useShortIntervals)}
	s.until = time.Now().Add(*brokenDuration)
	var running sync.WaitGroup
	for index, node := range s.nodes {
		for number := range *brokenClients {
			running.Go(func() {
				client := &persistentClient{node: node}
				defer client.close()
				s.use(client, rand.New(rand.NewPCG(seed, uint64(1000+100*index+number))))
			})
		}
	}
	startChanges(&running, s.persistentSoak, s, brokenChanges)
	running.Wait()
	s.verifyBroken()
}

// use sends requests of all kinds, most with a body, one after the other.
func (s *brokenSoak) use(client *persistentClient, random *rand.Rand) {
	for time.Now().Before(s.until) {
		c := mixedRequest(random.IntN(4))
		// No two requests are alike, so none is refused for what happened to another.
		c.Path = strings.TrimSuffix(c.Path, "x") + c.ID
		c.Method, c.Deadline = http.MethodPost, 3*time.Second
		c.Body = bytes.Repeat([]byte("x"), []int{0, 1 << 10, 64 << 10, 256 << 10, 1 << 20}[random.IntN(5)])
		if result, sent := client.do(c); sent {
			s.mutex.Lock()
			s.results = append(s.results, result)
			s.mutex.Unlock()
		}
		time.Sleep(time.Duration(5+random.IntN(30)) * time.Millisecond)
	}
}

// breakAnswers makes a runner send broken answers for a while, or sound ones.
func (s *brokenSoak) breakAnswers(random *rand.Rand) {
	s.worldMutex.Lock()
	runners := append(slices.Clone(s.runners), "mailer-1", "mailer-2")
	runner := runners[random.IntN(len(runners))]
	s.setBroken(runner, drawBroken(random))
	s.worldMutex.Unlock()
	time.Sleep(time.Duration(random.Int64N(int64(brokenPause))))
}

// setBroken sets the faults of a runner, which may have been replaced. worldMutex must be held.
func (s *brokenSoak) setBroken(runner string, faults runnerstub.Faults) {
	if err := s.w.SetRunnerFaults(runner, faults); err != nil {
		s.t.Logf("faults of %s: %v", runner, err)
	}
}

// drawBroken draws the faults of a runner.
func drawBroken(random *rand.Rand) runnerstub.Faults {
	if random.Float64() < brokenSound {
		return runnerstub.Faults{Unframed: random.IntN(2) == 0}
	}
	raw := oddStatuses()
	maps.Copy(raw, oddLines())
	names := slices.Sorted(maps.Keys(raw))
	parts := runnerstub.StopParts()
	switch random.IntN(5) {
	case 0, 1:
		return runnerstub.Faults{ResetUpload: true, ResetMs: random.IntN(40), Unframed: true}
	case 2, 3:
		return runnerstub.Faults{Raw: raw[names[random.IntN(len(names))]]}
	default:
		return runnerstub.Faults{StopIn: parts[random.IntN(len(parts))], Reset: random.IntN(2) == 0}
	}
}

// verifyBroken checks each answer against what runners did.
func (s *brokenSoak) verifyBroken() {
	runs := readHistory(s.t, s.w).countRuns()
	counts := make(map[string]int)
	for _, result := range s.results {
		kind, problem := classifyBroken(result, runs[result.request.ID])
		counts[kind]++
		if !assert.Check(s.t, problem == "", "seed %d: %s: %s %s, %d bytes: %+v", s.seed, problem, result.request.ID, result.request.Path, len(result.request.Body), result.answer) {
			s.t.Logf("log of %s: %s", result.node.Name, strings.Join(linesContaining(readFile(s.t, s.w.LogPath(result.node)), result.request.ID), ""))
		}
	}
	s.t.Logf("seed %d: %d requests %v, changes %v", s.seed, len(s.results), counts, s.changeCounts)
	assert.Check(s.t, counts[endServed] > 0)
}

// classifyBroken names the end of a request, and what is wrong with it.
func classifyBroken(result requestResult, runs int) (kind, problem string) {
	got, request := result.answer, result.request
	switch {
	case !request.repeatable() && runs > 1:
		return endUnexpected, "a request that may not be repeated ran again"
	case !got.Complete:
		return "broken off", ""
	}
	switch got.Status {
	case http.StatusOK:
		if got.Signature == "" || !got.wholeBody(request) || request.Model == "" && !strings.Contains(got.Body, request.ID) {
			return endUnexpected, "the answer is not that of the runner"
		}
		return endServed, ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if runs > 0 && !request.repeatable() {
			return endUnexpected, "refused as not run, but ran"
		}
		return endRefused, ""
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "failed", ""
	default:
		return endUnexpected, "a status that no sound runner and no node gave"
	}
}
