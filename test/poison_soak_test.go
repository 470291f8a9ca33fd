package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
)

var (
	poisonSeed  = flag.Uint64("poison.seed", 1, "first seed of the soak of requests that crash their runners")
	poisonSeeds = flag.Int("poison.seeds", 1, "number of seeds that it runs, one after the other")
)

// TestPoisonSoak: two requests that crash their runners are sent again and again together
// with harmless ones, while runners crash for other reasons, nodes are killed and restarted
// or frozen, and the store is down, as drawn by the seed. Once all nodes may know of the
// third crash under a request, it reaches runners no more often than allowed, and no
// harmless request is refused as one that crashes runners. To run more seeds: go test
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
	random *rand.Rand

	// mutex guards all fields below. sent is the content of each request, by identifier.
	mutex sync.Mutex
	sent  map[string]string
	// storeBackAt is when the store last became available again; disturbed is when nodes
	// were restarted or resumed after a freeze.
	storeBackAt time.Time
	disturbed   []time.Time
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
		poisonWorld: startPoisonWorld(t, poisonTest{request: request, renamed: random.IntN(2) == 0, downtime: time.Duration(500+random.IntN(2500)) * time.Millisecond}),
		random:      random, sent: make(map[string]string),
	}
	ctx, end := context.WithTimeout(t.Context(), soakDuration)
	defer end()
	var running sync.WaitGroup
	for _, word := range []string{"first", "second"} {
		running.Go(func() { s.sendRepeatedly(ctx, word) })
	}
	running.Go(func() { s.sendHarmless(ctx) })
	s.injectFaults(ctx, t)
	running.Wait()
	s.check(t)
}

// sendRepeatedly sends a request that crashes runners to the nodes in turn, without waiting
// for answers.
func (s *poisonSoak) sendRepeatedly(ctx context.Context, word string) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		request := s.poison(word)
		s.mutex.Lock()
		s.sent[request.ID] = word
		s.mutex.Unlock()
		tries.Go(func() { send(ctx, s.nodes[number%len(s.nodes)], request) })
		time.Sleep(2 * poisonPause)
	}
}

// injectFaults injects faults one after the other until ctx ends.
func (s *poisonSoak) injectFaults(ctx context.Context, t *testing.T) {
	t.Helper()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+s.random.IntN(800)) * time.Millisecond)
		node := s.nodes[s.random.IntN(len(s.nodes))]
		pause := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		switch s.random.IntN(4) {
		case 0:
			for range 2 {
				s.world.CrashRunner(fmt.Sprintf("runner-%d", 1+s.random.IntN(5)))
				s.world.CrashRunner(fmt.Sprintf("mailer-%d", 1+s.random.IntN(5)))
			}
		case 1:
			node.Kill()
			assert.NilError(t, s.world.RestartNode(node))
			s.recordNow(&s.disturbed)
		case 2:
			assert.NilError(t, node.Freeze())
			time.Sleep(pause)
			assert.NilError(t, node.Thaw())
			s.recordNow(&s.disturbed)
		case 3:
			assert.NilError(t, s.world.SetStoreFaults(storestub.Faults{Down: storestub.Busy}))
			time.Sleep(pause / 2)
			assert.NilError(t, s.world.SetStoreFaults(storestub.Faults{}))
			s.mutex.Lock()
			s.storeBackAt = time.Now()
			s.mutex.Unlock()
		}
	}
}

func (s *poisonSoak) recordNow(times *[]time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	*times = append(*times, time.Now())
}

// check checks the bound for each request, and the answers to harmless ones.
func (s *poisonSoak) check(t *testing.T) {
	t.Helper()
	h := readHistory(t, s.world)
	for _, word := range []string{"first", "second"} {
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
		if len(crashes) < maxCrashes {
			t.Logf("%s: %d crashes", word, len(crashes))
			continue
		}
		third := crashes[maxCrashes-1]
		// A node that was restarted or frozen may not know of the crashes: it may send once
		// more.
		allowed, late := maxSendsAfterCrashes+countAfter(s.disturbed, third), countAfter(reached, laterTime(third, s.storeBackAt).Add(propagationBound))
		t.Logf("%s: %d crashes, %d sends after the bound of at most %d; harmless: %v", word, len(crashes), late, allowed, s.harmlessAnswers)
		assert.Check(t, late <= allowed)
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
