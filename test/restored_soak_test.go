package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
)

var (
	restoreSeed     = flag.Uint64("restore.seed", 1, "first seed of the soak of a store that returns with older copies")
	restoreSeeds    = flag.Int("restore.seeds", 1, "number of seeds that it runs, one after the other")
	restoreDuration = flag.Duration("restore.duration", 14*time.Second, "how long disturbances of each seed overlap")
	restoreNodes    = flag.Int("restore.nodes", 4, "nodes of its world")
)

const (
	// unreadTime is how long before a return a change may have been acknowledged without nodes having read it.
	unreadTime = time.Second
	// keptRoutes is how many of the newest probe routes a configuration has.
	keptRoutes = 30
	// keyAttempts is how many attempts are made under each key, keyUsers how many clients make them per node.
	keyAttempts = 3
	keyUsers    = 4
	// calmObjects is how many objects are accepted before a return in a calm time.
	calmObjects = 3
)

// TestRestoreSoak: the store goes away and returns with copies of different ages, in series and within the
// recovery from the one before, while the operator changes routes and objects, runners leave, nodes are
// stopped, killed and frozen, the store loses and delays answers and its history, and clients keep their
// connections. At the end all nodes lose their power right after a return. At undisturbed nodes a change is in
// effect within its bound and never goes back, also for a runner that leaves; a key runs once, acknowledged
// changes stay, tokens are of one node each and nodes' orders are the turn gap apart. To run more seeds:
// go test ./test -run TestRestoreSoak -restore.seed=100 -restore.seeds=50 -timeout 1h
func TestRestoreSoak(t *testing.T) {
	t.Parallel()
	for seed := *restoreSeed; seed < *restoreSeed+uint64(*restoreSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runRestoreSoak(t, seed) })
	}
}

// restoreInterval is a return of the store: when it went away, when it was back, and when all that
// operators and runners had written was written again. Changes after since may be missing in the copy.
type restoreInterval struct {
	since, began, returned, rewritten time.Time
}

// change is an acknowledged change: a version of the configuration, or a runner that leaves.
type acknowledgedChange struct {
	version int
	runner  string
	at      time.Time
}

// probe is a request for the route of a version, or any other one.
type probe struct {
	node    *world.Node
	version int
	id      string
	sent    time.Time
	status  int
	// serving is set if the node served another route right after.
	serving bool
}

// restoreSoak is a world whose store returns with older copies.
type restoreSoak struct {
	t      *testing.T
	w      *world.World
	seed   uint64
	nodes  []*world.Node
	until  time.Time
	counts map[string]int

	// worldMutex guards changes of the world.
	worldMutex sync.Mutex
	mailers    []string
	versions   int

	mutex     sync.Mutex
	restores  []restoreInterval
	versionAt []acknowledgedChange
	leavingAt []acknowledgedChange
	probes    []probe
	// disturbed are the times in which a node was not in touch, by name, and those of the store.
	disturbed map[string][]interval
	unstable  []interval
	applied   []acknowledgedObject
	// keys are the prompts of keyed requests, with the time of their attempts.
	keys map[string]interval
}

// acknowledgedObject is an object that an operator was told is accepted.
type acknowledgedObject struct {
	name string
	at   time.Time
}

func runRestoreSoak(t *testing.T, seed uint64) {
	w := newWorld(t, func(o *world.Options) {
		o.Seed = seed
		adjust := o.Adjust
		o.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Configuration.Within = newsBound
			s.Log.Level = "info"
		}
	})
	startRunners(t, w, 3)
	startMailers(t, w, 3)
	s := &restoreSoak{t: t, w: w, seed: seed, nodes: startNodes(t, w, *restoreNodes), counts: make(map[string]int), mailers: []string{"mailer-1", "mailer-2", "mailer-3"},
		disturbed: make(map[string][]interval), keys: make(map[string]interval)}
	apply(t, s.nodes[0], append(model("alpha", 2), readyPolicy("alpha", 2))...)
	waitKnown(t, "alpha", s.nodes...)
	s.until = time.Now().Add(*restoreDuration)
	var running sync.WaitGroup
	for index, one := range restoreDisturbances {
		running.Go(func() { s.repeat(rand.New(rand.NewPCG(seed, uint64(index))), one.pause, one.name, one.run) })
	}
	for index, node := range s.nodes {
		running.Go(func() { s.probeNode(node) })
		for user := range keyUsers {
			running.Go(func() { s.useKeys(rand.New(rand.NewPCG(seed, uint64(1000+100*user+index)))) })
		}
	}
	running.Wait()
	s.loseAcknowledged(rand.New(rand.NewPCG(seed, 3000)))
	s.verifyObjects()
	s.losePower(rand.New(rand.NewPCG(seed, 2000)))
	s.verify()
}

// restoreDisturbances run concurrently, each with its own pauses.
var restoreDisturbances = []struct {
	name  string
	pause time.Duration
	run   func(s *restoreSoak, random *rand.Rand)
}{
	{"return of the store", 2500 * time.Millisecond, (*restoreSoak).restore},
	{"configuration", 300 * time.Millisecond, (*restoreSoak).configure},
	{"runner that leaves", 2500 * time.Millisecond, (*restoreSoak).replaceMailer},
	{"object", 900 * time.Millisecond, (*restoreSoak).applyObject},
	{"stop, kill or freeze", 3500 * time.Millisecond, (*restoreSoak).disturbNode},
	{"store's faults", 5 * time.Second, (*restoreSoak).disturbStore},
}

// repeat runs a disturbance again and again until the end.
func (s *restoreSoak) repeat(random *rand.Rand, pause time.Duration, name string, run func(*restoreSoak, *rand.Rand)) {
	for {
		time.Sleep(pause/2 + time.Duration(random.Int64N(int64(pause))))
		if time.Now().After(s.until) {
			return
		}
		run(s, random)
		s.mutex.Lock()
		s.counts[name]++
		s.mutex.Unlock()
	}
}

// restore makes the store return with a copy, sometimes twice in a row.
func (s *restoreSoak) restore(random *rand.Rand) {
	s.restoreOnce(random)
	if random.IntN(3) == 0 {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		s.restoreOnce(random)
	}
}

func (s *restoreSoak) restoreOnce(random *rand.Rand) restoreInterval {
	drill := storestub.Restore{
		AgeMs: []int{200, 1000, 5000, 15000}[random.IntN(4)], AwayMs: []int{0, 200, 1000, 2500}[random.IntN(4)], Abrupt: random.IntN(2) == 0, RewriteMs: random.IntN(1500),
	}
	one := restoreInterval{began: time.Now()}
	one.since = one.began.Add(-time.Duration(drill.AgeMs) * time.Millisecond)
	one.rewritten = one.began.Add(waitTimeout)
	s.mutex.Lock()
	index := len(s.restores)
	s.restores = append(s.restores, one)
	s.mutex.Unlock()
	assert.Check(s.t, s.w.RestoreStore(drill) == nil)
	one.returned = time.Now()
	one.rewritten = one.returned.Add(time.Duration(drill.RewriteMs)*time.Millisecond + 20*time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restores[index] = one
	return one
}

// probePath is the path of the route that a version of the configuration adds.
func probePath(version int) string { return fmt.Sprintf("/probe-%d/", version) }

// configure adds a route and removes the oldest added one.
func (s *restoreSoak) configure(*rand.Rand) {
	s.worldMutex.Lock()
	defer s.worldMutex.Unlock()
	s.versions++
	routes := world.DefaultRoutes()
	for version := max(1, s.versions-keptRoutes); version <= s.versions; version++ {
		added := world.DefaultRoutes()[3]
		added.Name, added.PathPrefix = fmt.Sprint("probe-", version), probePath(version)
		routes = append(routes, added)
	}
	assert.Check(s.t, s.w.Configure(routes) == nil)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.versionAt = append(s.versionAt, acknowledgedChange{version: s.versions, at: time.Now()})
}

// replaceMailer starts a runner and lets another one leave.
func (s *restoreSoak) replaceMailer(random *rand.Rand) {
	s.worldMutex.Lock()
	defer s.worldMutex.Unlock()
	name := fmt.Sprintf("mailer-%d", len(s.leavingAt)+4)
	_, err := s.w.StartRunner(mailerOptions(name, zones[random.IntN(len(zones))]))
	assert.Check(s.t, err == nil, "%v", err)
	index := random.IntN(len(s.mailers))
	leaving := s.mailers[index]
	s.mailers[index] = name
	assert.Check(s.t, s.w.DrainRunner(leaving) == nil)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leavingAt = append(s.leavingAt, acknowledgedChange{runner: leaving, at: time.Now()})
}

// applyObject applies an object through some node.
func (s *restoreSoak) applyObject(random *rand.Rand) {
	node := s.nodes[random.IntN(len(s.nodes))]
	s.mutex.Lock()
	name := fmt.Sprintf("object-%d", s.counts["object"])
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	_, err := node.Client().Submit(ctx, operator.Submission{Operation: "soak-" + name, Author: "soak", Apply: []api.Object{
		api.NewObject(api.KindPolicy, name, api.Policy{Models: []string{"alpha"}, Ready: "1"}),
	}})
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applied = append(s.applied, acknowledgedObject{name: name, at: time.Now()})
}

// disturbNode stops, kills or freezes a node.
func (s *restoreSoak) disturbNode(random *rand.Rand) {
	node := s.nodes[random.IntN(len(s.nodes))]
	one := interval{from: time.Now()}
	switch random.IntN(3) {
	case 0:
		node.Kill()
		one.killed, one.gone = true, time.Now()
		assert.Check(s.t, s.w.RestartNode(node) == nil)
	case 1:
		assert.Check(s.t, node.Terminate() == nil)
		assert.Check(s.t, node.Wait(stopGrace+answerMargin) == nil, "%s did not stop", node.Name)
		one.gone = time.Now()
		assert.Check(s.t, s.w.RestartNode(node) == nil)
	default:
		assert.Check(s.t, node.Freeze() == nil)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		assert.Check(s.t, node.Thaw() == nil)
	}
	one.to = time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disturbed[node.Name] = append(s.disturbed[node.Name], one)
}

// disturbStore lets the store lose or delay answers, drop its history or answer stale reads.
func (s *restoreSoak) disturbStore(random *rand.Rand) {
	one := interval{from: time.Now()}
	faults := []storestub.Faults{{LostShare: 0.3}, {LateShare: 0.3}, {StaleMs: 1500}, {DelayMs: 150}, {Down: storestub.Reset, Only: []string{s.nodes[random.IntN(len(s.nodes))].StoreHost()}}}[random.IntN(5)]
	assert.Check(s.t, s.w.SetStoreFaults(faults) == nil)
	if random.IntN(2) == 0 {
		assert.Check(s.t, s.w.ForgetHistory() == nil)
	}
	time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
	assert.Check(s.t, s.w.SetStoreFaults(storestub.Faults{}) == nil)
	one.to = time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unstable = append(s.unstable, one)
}

// newestVersion returns the newest acknowledged version that must be in effect at a time, by newsBound alone.
func (s *restoreSoak) newestVersion(at time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := 0
	for _, one := range s.versionAt {
		if s.effective(one.at).Add(newsBound).Before(at) {
			newest = one.version
		}
	}
	return newest
}

// effective returns when an acknowledged change was to be had from the store for good: a return within
// unreadTime of it may have taken it away before nodes had read it. mutex is held.
func (s *restoreSoak) effective(at time.Time) time.Time {
	for _, one := range s.restores {
		if at.After(one.began.Add(-unreadTime)) && at.Before(one.rewritten) {
			at = one.rewritten
		}
	}
	return at
}

// probeNode sends requests to a node on one connection: for the newest route that must be in effect, and
// others.
func (s *restoreSoak) probeNode(node *world.Node) {
	client := &persistentClient{node: node}
	defer client.close()
	for ; time.Now().Before(s.until); time.Sleep(30 * time.Millisecond) {
		version := s.newestVersion(time.Now())
		if version == 0 {
			continue
		}
		result, sent := client.do(clientRequest{ID: newID(), Path: probePath(version), Method: http.MethodGet, Deadline: 2 * time.Second})
		if !sent {
			continue
		}
		one := probe{node: node, version: version, id: result.answer.ID, sent: result.sent, status: result.answer.Status}
		if one.status != http.StatusOK {
			other, _ := client.do(clientRequest{ID: newID(), Path: "/read/", Method: http.MethodGet, Deadline: 2 * time.Second})
			one.serving = other.answer.Status == http.StatusOK
		}
		s.mutex.Lock()
		s.probes = append(s.probes, one)
		s.mutex.Unlock()
	}
}

// useKeys makes attempts under the same key at several nodes, one after the other.
func (s *restoreSoak) useKeys(random *rand.Rand) {
	for time.Now().Before(s.until) {
		key, attempts := "key-"+newID(), interval{from: time.Now()}
		for range keyAttempts {
			node := s.nodes[random.IntN(len(s.nodes))]
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			ask(ctx, node, call{Model: "alpha", Prompt: key, Tokens: 2, Key: key, Deadline: 2 * time.Second}, nil)
			cancel()
			attempts.to = time.Now()
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		}
		s.mutex.Lock()
		s.keys[key] = attempts
		s.mutex.Unlock()
	}
}

// loseAcknowledged lets the store return with a copy after objects were accepted in a calm time.
func (s *restoreSoak) loseAcknowledged(random *rand.Rand) {
	for until, accepted := time.Now().Add(waitTimeout), len(s.applied)+calmObjects; len(s.applied) < accepted; s.counts["object"]++ {
		if time.Now().After(until) {
			s.t.Error("no object was accepted in a calm time")
			return
		}
		s.applyObject(random)
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	s.restoreOnce(random)
	time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
}

// losePower kills all nodes at once right after a return of the store, starts them again and checks that they
// serve.
func (s *restoreSoak) losePower(random *rand.Rand) {
	last := s.restoreOnce(random)
	time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	for _, node := range s.nodes {
		node.Kill()
	}
	lost := time.Now()
	for _, node := range s.nodes {
		<-node.Done()
		assert.NilError(s.t, s.w.RestartNode(node))
	}
	for _, node := range s.nodes {
		assert.NilError(s.t, node.WaitReady())
		awaitServed(s.t, node, probePath(s.versions), waitTimeout)
	}
	s.applied = slices.DeleteFunc(s.applied, func(one acknowledgedObject) bool {
		// Nodes that knew it lost their power before they could commit it again.
		return s.committedAt(one.at).After(last.since.Add(-unreadTime)) && lost.Before(last.rewritten.Add(newsBound))
	})
}

// committedAt returns when an acknowledged object was last committed at the latest: nodes have committed it
// again if an earlier return lost it.
func (s *restoreSoak) committedAt(at time.Time) time.Time {
	for _, one := range s.restores[:len(s.restores)-1] {
		if at.After(one.since.Add(-unreadTime)) && at.Before(one.returned) {
			at = one.returned.Add(newsBound)
		}
	}
	return at
}
