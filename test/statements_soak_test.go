package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
)

var (
	statedSeed  = flag.Uint64("stated.seed", 1, "first seed of the soak of runners that leave or ask for rest")
	statedSeeds = flag.Int("stated.seeds", 1, "number of seeds that it runs, one after the other")
)

// TestStatementSoak: runners announce that they leave, or reject requests and ask for rests
// of all lengths, alone and many at once, end and are restarted under their names, while
// requests arrive on persistent and new connections and in bursts, nodes are killed and
// restarted or frozen, and the store is down for all or for some nodes. No node sends a
// runner requests that it announced not to accept. To run more seeds: go test ./test -run
// TestStatementSoak -stated.seed=100 -stated.seeds=50 -timeout 1h
func TestStatementSoak(t *testing.T) {
	t.Parallel()
	for seed := *statedSeed; seed < *statedSeed+uint64(*statedSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runStatementSoak(t, seed) })
	}
}

// statementSoak is a world whose runners leave or ask for rest, under faults.
type statementSoak struct {
	*statementWorld
	t      *testing.T
	random *rand.Rand
	// states counts the injected faults by name.
	states map[string]int
}

const (
	// statementSoakDuration is how long the soak sends requests and injects faults.
	statementSoakDuration = 12 * time.Second
	// persistentClientsPerNode is the number of clients of each node that reuse a
	// connection.
	persistentClientsPerNode = 2
)

func runStatementSoak(t *testing.T, seed uint64) {
	s := &statementSoak{statementWorld: startRestartingWorld(t), t: t, random: rand.New(rand.NewPCG(seed, 1)), states: make(map[string]int)}
	ctx, end := context.WithTimeout(t.Context(), statementSoakDuration)
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { s.send(ctx) })
	for _, node := range s.nodes {
		for number := range persistentClientsPerNode {
			senders.Go(func() { s.sendOnOneConnection(ctx, node, number) })
		}
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
		s.injectFault(ctx, &senders)
	}
	assert.NilError(t, s.world.SetStoreFaults(storestub.Faults{}))
	senders.Wait()
	t.Logf("seed %d: %v", seed, s.states)
	s.checkRunners(t)
}

// startRestartingWorld starts a world whose runners are restarted under their names after
// they have ended.
func startRestartingWorld(t *testing.T) *statementWorld {
	t.Helper()
	return startStatementWorldWith(t, statementTest{}, world.RestartPolicy{After: 700 * time.Millisecond}, nil)
}

// sendOnOneConnection sends requests of all kinds to a node on a connection that it reuses,
// one after the other.
func (s *statementSoak) sendOnOneConnection(ctx context.Context, node *world.Node, number int) {
	client := &persistentClient{node: node}
	defer client.close()
	for ; ctx.Err() == nil; number++ {
		request := mixedRequest(number)
		s.record(clientExchange{request: request, node: node, sent: time.Now()})
		ended, sent := client.do(request)
		if !sent {
			time.Sleep(requestPause)
			continue
		}
		s.record(clientExchange{request: request, node: node, sent: ended.sent, answer: ended.answer, end: ended.end})
	}
}

// injectFault injects one fault. Faults that last continue alongside those that follow.
func (s *statementSoak) injectFault(ctx context.Context, running *sync.WaitGroup) {
	pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
	node := s.nodes[s.random.IntN(len(s.nodes))]
	switch kind := s.random.IntN(10); {
	case kind < 3:
		s.startRests(pause, running)
	case kind < 5:
		s.startLeaving(pause, running)
	case kind == 5:
		s.states["crowd"]++
		s.crowd = 20 + s.random.IntN(40)
		s.sendCrowds(ctx, running)
	case kind == 6:
		s.states["kill"]++
		node.Kill()
		s.recordDisturbance(node)
		assert.NilError(s.t, s.world.RestartNode(node))
		s.recordDisturbance(node)
	case kind == 7:
		s.states["freeze"]++
		assert.NilError(s.t, node.Freeze())
		s.recordDisturbance(node)
		time.Sleep(pause / 2)
		assert.NilError(s.t, node.Thaw())
		s.recordDisturbance(node)
	default:
		s.states["store"]++
		faults := storestub.Faults{Down: storestub.Busy}
		if kind == 8 {
			faults = storestub.Faults{Down: storestub.Reset, Only: []string{node.StoreHost()}}
		}
		assert.NilError(s.t, s.world.SetStoreFaults(faults))
		time.Sleep(pause / 2)
		assert.NilError(s.t, s.world.SetStoreFaults(storestub.Faults{}))
	}
}

// pickRunners returns one random runner or all runners of a random service.
func (s *statementSoak) pickRunners() []string {
	service := []string{"runner", "mailer"}[s.random.IntN(2)]
	if s.random.IntN(4) > 0 {
		return []string{fmt.Sprintf("%s-%d", service, 1+s.random.IntN(runnersPerService))}
	}
	var all []string
	for index := range runnersPerService {
		all = append(all, fmt.Sprintf("%s-%d", service, index+1))
	}
	return all
}

// startRests makes runners reject some or all requests, or those for which they have no
// free slot, and ask for rest.
func (s *statementSoak) startRests(lasts time.Duration, running *sync.WaitGroup) {
	faults := runnerstub.Faults{ShedShare: []float64{0, 0.5, 1}[s.random.IntN(3)], Rest: strconv.FormatFloat(float64(s.random.IntN(40))/10, 'f', -1, 64)}
	s.states["rest"]++
	s.applyFaults(s.pickRunners(), faults, lasts, running)
}

// startLeaving makes runners announce in their answers that they leave, and end later.
func (s *statementSoak) startLeaving(lasts time.Duration, running *sync.WaitGroup) {
	names := s.pickRunners()
	s.states["leaving"]++
	s.applyFaults(names, runnerstub.Faults{Leaving: true}, leavingAppliedWithin+lasts, running)
}

// applyFaults applies faults to runners for a while. Runners that leave end afterwards.
func (s *statementSoak) applyFaults(names []string, faults runnerstub.Faults, lasts time.Duration, running *sync.WaitGroup) {
	for _, name := range names {
		// A runner that has just ended cannot be configured.
		if s.world.SetRunnerFaults(name, faults) != nil {
			continue
		}
		running.Go(func() {
			time.Sleep(lasts)
			if faults.Leaving {
				s.world.CrashRunner(name)
				return
			}
			if err := s.world.SetRunnerFaults(name, runnerstub.Faults{}); err != nil {
				s.t.Logf("%s: %v", name, err)
			}
		})
	}
}

// recordDisturbance records that a node was killed, started or frozen.
func (s *statementSoak) recordDisturbance(node *world.Node) {
	s.disturbed[node] = append(s.disturbed[node], time.Now())
}
