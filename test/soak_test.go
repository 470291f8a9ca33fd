package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/platformstub"
	"lilacvane/internal/lab/world"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of the schedule of faults")
	soakRounds = flag.Int("soak.rounds", 4, "rounds of one or two faults at once")
)

const (
	soakModels   = 4
	soakReplicas = 2
)

// soak is a world under load in which faults come by a seeded schedule.
type soak struct {
	t      *testing.T
	w      *world.World
	random *rand.Rand
	// nodes are those that run, callers those that requests go to.
	nodes  []*world.Node
	deaths []death
	// started counts the nodes started in place of others.
	started int
}

// injected is one fault. Begin returns how to end it.
type injected struct {
	name  string
	begin func(s *soak) (end func())
}

func (s *soak) pickNode() *world.Node { return s.nodes[s.random.IntN(len(s.nodes))] }

func (s *soak) pickEngine() *world.Engine {
	names := []string{"runner-1", "runner-2", "runner-3", "runner-4"}
	return s.w.Engines[names[s.random.IntN(len(names))]]
}

// replaceNode starts a new node and takes it into the set in place of one that
// is gone.
func (s *soak) replaceNode(gone *world.Node) {
	s.started++
	fresh, err := s.w.LaunchNode(fmt.Sprintf("fresh-%d", s.started), gone.Zone)
	assert.NilError(s.t, err)
	for index, node := range s.nodes {
		if node == gone {
			s.nodes[index] = fresh
		}
	}
}

// killNode kills a node that no caller of the load uses, so that every caller
// still has a final outcome.
func (s *soak) killNode() func() {
	node := s.nodes[len(s.nodes)-1]
	node.Kill()
	return func() { s.replaceNode(node) }
}

func (s *soak) freezeNode() func() {
	node := s.pickNode()
	assert.NilError(s.t, node.Freeze())
	return func() { assert.NilError(s.t, node.Thaw()) }
}

func (s *soak) stopNode() func() {
	node := s.nodes[len(s.nodes)-1]
	assert.NilError(s.t, node.Terminate())
	return func() {
		<-node.Done()
		s.replaceNode(node)
	}
}

func (s *soak) cutNode() func() {
	cutOff(s.w, s.nodes, s.pickNode())
	return func() { heal(s.w, s.nodes) }
}

func (s *soak) cutOneWay() func() {
	node := s.pickNode()
	for _, from := range s.nodes {
		if from != node {
			node.Proxy.Block(from.IP)
		}
	}
	return func() { heal(s.w, s.nodes) }
}

func (s *soak) tableFault(faults platformstub.Faults) func() {
	assert.NilError(s.t, s.w.SetTableFaults(faults))
	return func() { assert.NilError(s.t, s.w.SetTableFaults(platformstub.Faults{})) }
}

func (s *soak) slowWeights() func() {
	assert.NilError(s.t, s.w.SlowWeights(10))
	return func() { assert.NilError(s.t, s.w.SlowWeights(1)) }
}

func (s *soak) killEngine() func() {
	name := s.pickEngine().Machine.Name
	s.deaths = append(s.deaths, killEngine(s.t, s.w, name))
	return func() {
		_, err := s.w.ReplaceEngine(name)
		assert.NilError(s.t, err)
	}
}

func (s *soak) cutEngine() func() {
	engine := s.pickEngine()
	engine.Proxy.Block()
	return engine.Proxy.Heal
}

func (s *soak) freezeEngine() func() {
	engine := s.pickEngine()
	assert.NilError(s.t, engine.Freeze())
	return func() { assert.NilError(s.t, engine.Thaw()) }
}

func (s *soak) drainRunner() func() {
	name := s.pickEngine().Machine.Name
	drain := api.NewObject(api.KindDrain, "soak-"+fmt.Sprint(s.random.Uint64()), api.Drain{Target: api.DrainRunner, Name: name})
	submitEventually(s.t, s.nodes[0], drain, false)
	return func() { submitEventually(s.t, s.nodes[0], drain, true) }
}

var faults = []injected{
	{"kill a node", (*soak).killNode},
	{"freeze a node", (*soak).freezeNode},
	{"stop a node", (*soak).stopNode},
	{"cut a node off", (*soak).cutNode},
	{"cut one way", (*soak).cutOneWay},
	{"table down", func(s *soak) func() { return s.tableFault(platformstub.Faults{Down: true}) }},
	{"table slow", func(s *soak) func() { return s.tableFault(platformstub.Faults{DelayMilliseconds: 300}) }},
	{"answers lost", func(s *soak) func() { return s.tableFault(platformstub.Faults{LoseAnswers: 8, HoldMilliseconds: 300}) }},
	{"weight store slow", (*soak).slowWeights},
	{"kill a runner", (*soak).killEngine},
	{"cut a runner off", (*soak).cutEngine},
	{"freeze a runner", (*soak).freezeEngine},
	{"drain a runner", (*soak).drainRunner},
}

// TestSoak lets faults come singly and in pairs, by a schedule that the seed
// fixes, while requests, some of which may not be repeated, go to two nodes and
// replicas sleep and wake. At the end the whole history is checked. A longer run:
// go test ./test -run TestSoak -soak.rounds=100 -soak.seed=7 -timeout 1h
func TestSoak(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, %d rounds", *soakSeed, *soakRounds)
	w := newWorld(t, nil)
	startEngines(t, w, 4, 1000)
	s := &soak{t: t, w: w, nodes: startNodes(t, w, 4), random: rand.New(rand.NewPCG(*soakSeed, 0))}
	for index := range soakModels {
		apply(t, s.nodes[0], model(fmt.Sprintf("m%d", index), soakReplicas, 350)...)
		waitGranted(t, fmt.Sprintf("m%d", index), soakReplicas, s.nodes...)
	}
	waitClaims(t, s.nodes)
	callers := append([]*world.Node(nil), s.nodes[:2]...)
	load := startBackground(t, 8, func(who, number int) (*world.Node, call) {
		c := call{Model: fmt.Sprintf("m%d", (who+number/20)%soakModels), Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 8, Deadline: 15 * time.Second}
		if who%2 == 0 {
			c.Key = c.Prompt
		}
		return callers[who%2], c
	})
	load.waitServed(t, 10)
	for range *soakRounds {
		s.round()
		load.waitServed(t, 10)
	}
	load.finish()
	s.verify(load)
}

// round begins one or two faults, lets them last and ends them.
func (s *soak) round() {
	first, second := s.random.IntN(len(faults)), s.random.IntN(len(faults))
	names := []string{faults[first].name}
	ends := []func(){faults[first].begin(s)}
	if second != first && s.compatible(first, second) {
		names = append(names, faults[second].name)
		ends = append(ends, faults[second].begin(s))
	}
	s.t.Logf("%s", strings.Join(names, " and "))
	time.Sleep(time.Duration(1500+s.random.IntN(2500)) * time.Millisecond)
	for _, end := range ends {
		end()
	}
}

// compatible keeps apart faults that would undo each other's effect or end: two
// that take the last node away, two of the table, or an operator's change while
// changes cannot be accepted.
func (s *soak) compatible(first, second int) bool {
	kinds := func(index int) string {
		switch name := faults[index].name; {
		case name == "kill a node" || name == "stop a node":
			return "last node"
		case strings.HasPrefix(name, "table") || name == "answers lost" || name == "drain a runner":
			return "table"
		case strings.Contains(name, "runner"):
			return "runner"
		case strings.HasPrefix(name, "cut"):
			return "cut"
		default:
			return name
		}
	}
	return kinds(first) != kinds(second)
}

func (s *soak) verify(load *background) {
	h := readHistory(s.t, s.w, s.deaths...)
	h.assertMemory(s.t)
	for index := range soakModels {
		name := fmt.Sprintf("m%d", index)
		assert.Assert(s.t, h.most(name) <= soakReplicas, "%d replicas of %s", h.most(name), name)
	}
	load.assertTruthful(s.t, h)
	counts := make(map[string]int)
	for index, got := range load.outcomes {
		c := load.calls[index]
		assert.Assert(s.t, !got.Broken, "a request ended without a final outcome: %+v %+v", c, got)
		if c.Key != "" {
			assert.Assert(s.t, h.runs(c.Prompt) <= 1, "%s ran %d times", c.Prompt, h.runs(c.Prompt))
		}
		if got.Served {
			counts["served"]++
		} else {
			counts[string(got.Code)+" ran "+got.Ran]++
		}
	}
	s.t.Logf("%d requests: %v", len(load.outcomes), counts)
}
