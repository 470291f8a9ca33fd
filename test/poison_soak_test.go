package test

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/body"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/poison"
)

var (
	poisonSeed  = flag.Uint64("poison.seed", 1, "first seed of the soak of requests that crash their runners")
	poisonSeeds = flag.Int("poison.seeds", 2, "number of seeds that it runs, one after the other")
	poisonNodes = flag.Int("poison.nodes", 0, "nodes of its world; 0 lets the seed draw them")
)

// TestPoisonSoak: two requests that crash their runners are sent again and again together
// with harmless ones and, in a part of the seeds, with ones that share a part of their prompts by which
// they crash them, no two alike, while runners crash for other reasons, nodes are killed and restarted,
// several at once, or frozen, and the store is down, silent or lost for some, all overlapping as
// drawn by the seed. Once all nodes may know of the third crash under a request, or the fifth under the
// part, it reaches runners no more often than allowed, undisturbed nodes do not send it spreadBound after one of
// them refuses it, and no harmless request is refused as one that crashes runners. To run more
// seeds: go test
// ./test -run TestPoisonSoak -poison.seed=100 -poison.seeds=50 -timeout 1h
func TestPoisonSoak(t *testing.T) {
	t.Parallel()
	for seed := *poisonSeed; seed < *poisonSeed+uint64(*poisonSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runPoisonSoak(t, seed) })
	}
}

// poisonSoak is a world with requests that crash runners, under faults.
type poisonSoak struct {
	*poisonWorld
	faults *nodeFaults
	random *rand.Rand

	// mutex guards all fields below. sent is the content of each request, sentTo the node that got
	// it, both by identifier.
	mutex  sync.Mutex
	sent   map[string]string
	sentTo map[string]*world.Node
}

// soakDuration is how long the soak sends requests and injects faults.
const soakDuration = 9 * time.Second

func runPoisonSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	request := clientRequest{Path: "/reply/x", Model: "alpha", Events: 30}
	if random.IntN(3) == 0 {
		request = clientRequest{Path: "/read/x"}
	}
	s := &poisonSoak{
		poisonWorld: startPoisonWorld(t, poisonTest{
			request: request, renamed: random.IntN(2) == 0, proxiedNodes: true, downtime: time.Duration(500+random.IntN(2500)) * time.Millisecond,
			nodes: cmp.Or(*poisonNodes, 4+random.IntN(9)),
		}),
		random: random, sent: make(map[string]string), sentTo: make(map[string]*world.Node),
	}
	s.faults = newNodeFaults(s.world)
	ctx, end := context.WithTimeout(t.Context(), soakDuration)
	defer end()
	var running sync.WaitGroup
	for _, word := range []string{"first", "second"} {
		running.Go(func() { s.sendRepeatedly(ctx, word, func() clientRequest { return s.poison(word) }) })
	}
	if s.request.Model != "" && seed%2 == 0 {
		running.Go(func() { s.sendRepeatedly(ctx, partGuilty, s.withPart) })
	}
	running.Go(func() { s.sendHarmless(ctx) })
	s.injectFaults(ctx, t)
	running.Wait()
	s.check(t)
}

// withPart returns a request like no other that holds a part by which it crashes runners.
func (s *poisonSoak) withPart() clientRequest {
	request := s.request
	request.ID, request.Method, request.Deadline = newID(), http.MethodPost, 4*time.Second
	request.Body, request.Parts = []byte(request.ID), []string{"aa", partGuilty}
	return request
}

// sendRepeatedly sends requests that crash runners to the nodes in turn, without waiting for answers.
func (s *poisonSoak) sendRepeatedly(ctx context.Context, word string, next func() clientRequest) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		request := next()
		node := s.nodes[number%len(s.nodes)]
		s.mutex.Lock()
		s.sent[request.ID], s.sentTo[request.ID] = word, node
		s.mutex.Unlock()
		tries.Go(func() { send(ctx, node, request) })
		time.Sleep(2 * poisonPause)
	}
}

// injectFaults injects faults that overlap until ctx ends, and waits for their end.
func (s *poisonSoak) injectFaults(ctx context.Context, t *testing.T) {
	t.Helper()
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
		first := s.random.IntN(len(s.nodes))
		pause := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		switch s.random.IntN(6) {
		case 0:
			for range 2 {
				s.world.CrashRunner(fmt.Sprintf("runner-%d", 1+s.random.IntN(5)))
				s.world.CrashRunner(fmt.Sprintf("mailer-%d", 1+s.random.IntN(5)))
			}
		case 1, 2:
			for number := range 1 + s.random.IntN(len(s.nodes)/2) {
				running.Go(func() { s.faults.kill(t, s.nodes[(first+number)%len(s.nodes)]) })
			}
		case 3:
			running.Go(func() { s.faults.freeze(t, s.nodes[first], pause) })
		case 4:
			faults := []storestub.Faults{{Down: storestub.Busy}, {Down: storestub.Silent}, {Down: storestub.Reset, Only: s.someHosts(first)}}[s.random.IntN(3)]
			running.Go(func() { s.faults.failStore(t, faults, pause) })
		case 5:
			for _, node := range s.nodes {
				node.StoreProxy.SilenceOpen()
			}
		}
	}
}

// someHosts returns the addresses of half of the nodes.
func (s *poisonSoak) someHosts(first int) []string {
	var hosts []string
	for number := range len(s.nodes) / 2 {
		hosts = append(hosts, s.nodes[(first+number)%len(s.nodes)].StoreHost())
	}
	return hosts
}

// knownSince returns when an undisturbed node first refused a content, by the message and a text of its
// log line; false if none did.
func (s *poisonSoak) knownSince(t *testing.T, message, text string) (since time.Time, known bool) {
	t.Helper()
	for _, node := range s.nodes {
		for _, line := range linesContaining(readFile(t, s.world.LogPath(node)), message, text) {
			var entry struct{ Time time.Time }
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			if (!known || entry.Time.Before(since)) && s.faults.undisturbed(node, entry.Time.Add(-contactTime), entry.Time.Add(spreadBound)) {
				since, known = entry.Time, true
			}
		}
	}
	return since, known
}

// refusalOf returns by which message and text in logs one of the two contents, or the part, is known to be
// refused. A mark of a part alone does not mean that.
func (s *poisonSoak) refusalOf(word string) (message, text string) {
	if word == partGuilty {
		return `"request ended"`, "with part " + partGuilty
	}
	request := s.poison(word)
	content := poison.Content{Method: request.Method, Host: world.RouteHost, Path: request.Path, Caller: "key ", Body: body.New(request.Body)}
	return "request refused as runners end under it", content.Identity().Short()
}

// checkSpread checks that undisturbed nodes did not send a request later than spreadBound after one
// of them refused it.
func (s *poisonSoak) checkSpread(t *testing.T, word string, records []journal.Record) {
	t.Helper()
	message, text := s.refusalOf(word)
	since, known := s.knownSince(t, message, text)
	if !known {
		return
	}
	for _, record := range records {
		node := s.sentTo[record.Request]
		if record.Event != journal.EventPoison || s.sent[record.Request] != word || !record.Time.After(since.Add(spreadBound)) {
			continue
		}
		assert.Check(t, !s.faults.undisturbed(node, record.Time.Add(-contactTime), record.Time), "%s: %s sent it %s after an undisturbed node refused it", word, node.Name, record.Time.Sub(since))
	}
}

// check checks the bound for each request, and the answers to harmless ones.
func (s *poisonSoak) check(t *testing.T) {
	t.Helper()
	h := readHistory(t, s.world)
	for word, counting := range map[string]int{"first": maxCrashes, "second": maxCrashes, partGuilty: maxPartCrashes} {
		var crashes, reached []time.Time
		for _, record := range h.records {
			switch {
			case s.sent[record.Request] != word:
			case record.Event == journal.EventCrash:
				crashes = append(crashes, record.Time)
			case record.Event == journal.EventPoison:
				reached = append(reached, record.Time)
			}
		}
		if len(crashes) < counting {
			t.Logf("%s: %d crashes", word, len(crashes))
			continue
		}
		last := crashes[counting-1]
		// A node that was restarted or frozen may not know of the crashes: it may send once
		// more.
		allowed, late := maxSendsAfterCrashes+s.faults.countEndedAfter(last), countAfter(reached, laterTime(last, s.faults.storeBackAt).Add(propagationBound))
		t.Logf("%s: %d crashes, %d sends after the bound of at most %d; harmless: %v", word, len(crashes), late, allowed, s.harmlessAnswers)
		assert.Check(t, late <= allowed)
		s.checkSpread(t, word, h.records)
	}
	assert.Check(t, s.harmlessAnswers[string(codePoison)] == 0 && s.harmlessAnswers[string(fault.CodeCrashSuspected)] == 0, "%v", s.harmlessAnswers)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countAfter counts the times after an instant.
func countAfter(times []time.Time, instant time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(instant) {
			count++
		}
	}
	return count
}
