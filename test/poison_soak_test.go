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
	poisonSeed  = flag.Uint64("poison.seed", 1, "first seed of the soak of requests that end their runners")
	poisonSeeds = flag.Int("poison.seeds", 1, "how many seeds it plays, one after the other")
)

// TestPoisonSoak: two requests that end their runners come again and again beside innocent ones,
// while runners end for other reasons, nodes are killed and started or stand still, and the
// store is away, as the seed draws them. Neither reaches runners more often than is borne
// once all nodes may have heard of its third end, and no innocent request is taken for one.
// By hand: go test ./test -run TestPoisonSoak -poison.seed=100 -poison.seeds=50 -timeout 1h
func TestPoisonSoak(t *testing.T) {
	t.Parallel()
	for seed := *poisonSeed; seed < *poisonSeed+uint64(*poisonSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runPoisonSoak(t, seed) })
	}
}

// poisonSoak is a world with requests that end runners under faults.
type poisonSoak struct {
	*poisonWorld
	random *rand.Rand

	// mutex guards all below. sent is the content of each request, by identifier.
	mutex sync.Mutex
	sent  map[string]string
	// calm is until when the store was away last; disturbed is when nodes were started
	// or went on after they stood still.
	storeBackAt time.Time
	disturbed   []time.Time
}

// soakDuration is how long requests and faults come in a soak.
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

// repeat sends a request that ends runners to nodes in turn, without waiting for answers.
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

// disturb brings faults one after the other until ctx ends.
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

// check checks the bound for each request, and the answers to innocent ones.
func (s *poisonSoak) check(t *testing.T) {
	t.Helper()
	h := readHistory(t, s.world)
	for _, word := range []string{"first", "second"} {
		var ends, reached []time.Time
		for _, record := range h.records {
			switch {
			case s.sent[record.Request] != word:
			case record.Event == journal.EventCrash:
				ends = append(ends, record.Time)
			case record.Event == journal.EventPoison:
				reached = append(reached, record.Time)
			}
		}
		if len(ends) < maxCrashes {
			t.Logf("%s: %d ends", word, len(ends))
			continue
		}
		third := ends[maxCrashes-1]
		// A node that was started or stood still is as if it were new: it may send once more.
		allowed, late := maxSendsAfterCrashes+countAfter(s.disturbed, third), countAfter(reached, laterTime(third, s.storeBackAt).Add(propagationBound))
		t.Logf("%s: %d ends, %d sends after the bound of at most %d; innocent: %v", word, len(ends), late, allowed, s.harmlessAnswers)
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

// after counts the times after an instant.
func countAfter(times []time.Time, instant time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(instant) {
			count++
		}
	}
	return count
}
