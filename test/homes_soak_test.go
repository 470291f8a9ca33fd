package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/place"
	"lilacvane/platform/protocol"
)

var (
	homesSeed     = flag.Uint64("homes.seed", 1, "first seed of the soak of requests with homes")
	homesSeeds    = flag.Int("homes.seeds", 1, "number of seeds that it runs, one after the other")
	homesDuration = flag.Duration("homes.duration", 10*time.Second, "how long requests and changes of each seed last")
	homesNodes    = flag.Int("homes.nodes", 4, "nodes of its world")
	homesRunners  = flag.Int("homes.runners", 4, "runners of its world that hold the model, and of the other service")
	homesClients  = flag.Int("homes.clients", 6, "clients of each node")
)

// homesSoak is a persistentSoak in two regions whose tenants have homes.
type homesSoak struct {
	*persistentSoak
	tenants []protocol.Tenant
	// pathMutexes guard the paths of each node, by name.
	pathMutexes map[string]*sync.Mutex

	// sent are the requests of each tenant, by its name; guarded by mutex.
	sent map[string][]string
}

// homesChanges are the kinds of changes that overlap, each with its own pauses.
var homesChanges = []soakChange[*homesSoak]{
	{"change paths", 300 * time.Millisecond, (*homesSoak).changePaths},
	{"change other paths", 500 * time.Millisecond, (*homesSoak).changePaths},
	{"change paths of a third node", 900 * time.Millisecond, (*homesSoak).changePaths},
	{"stop and start a node", 2 * time.Second, func(s *homesSoak, random *rand.Rand) { s.stopNode(random) }},
	{"kill and start a node", 4 * time.Second, func(s *homesSoak, random *rand.Rand) { s.killNode(random) }},
	{"freeze a node", 3 * time.Second, func(s *homesSoak, random *rand.Rand) { s.pauseNode(random) }},
	{"change the configuration", 700 * time.Millisecond, func(s *homesSoak, random *rand.Rand) { s.changeConfiguration(random) }},
	{"change settings", 700 * time.Millisecond, func(s *homesSoak, random *rand.Rand) { s.changeSettings(random) }},
	{"let runners pause, refuse and slow down", 700 * time.Millisecond, func(s *homesSoak, random *rand.Rand) { s.changeRunner(random) }},
	{"let runners break off", 900 * time.Millisecond, (*homesSoak).breakRunner},
	{"replace a runner", 5 * time.Second, func(s *homesSoak, random *rand.Rand) { s.replaceRunner(random) }},
}

// TestHomesSoak: clients of tenants with homes send requests of all kinds on connections that they reuse, while paths to
// runners break and heal, runners pause, slow down, refuse and break off, so that requests are hedged and
// streams resumed, and nodes are stopped, killed and frozen, as drawn by the seed. No request runs at a runner outside its
// homes or is carried by a node outside them; each ends with its own answer or a truthful refusal. Then all nodes serve
// all tenants. To run more seeds: go test ./test -run TestHomesSoak -homes.seed=100 -homes.seeds=50 -timeout 1h
func TestHomesSoak(t *testing.T) {
	t.Parallel()
	for seed := *homesSeed; seed < *homesSeed+uint64(*homesSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runHomesSoak(t, seed) })
	}
}

func runHomesSoak(t *testing.T, seed uint64) {
	s := startHomesSoak(t, seed)
	s.until = time.Now().Add(*homesDuration)
	var running sync.WaitGroup
	for index, node := range s.nodes {
		for number := range *homesClients {
			tenant := s.tenants[number%len(s.tenants)]
			random := rand.New(rand.NewPCG(seed, uint64(1000+100*index+number)))
			running.Go(func() { s.useConnectionAs(node, tenant, random) })
		}
	}
	startChanges(&running, s.persistentSoak, s, homesChanges)
	running.Wait()
	for _, node := range s.nodes {
		assert.NilError(t, s.w.SetLinks(node, linkfault.Fault{}))
	}
	h := readHistory(t, s.w)
	s.verifyHomes(h, h.countRuns())
	s.verifyAnswers(h.countRuns())
	for _, tenant := range s.tenants {
		waitStatus(t, tenant.APIKeys[0], http.StatusOK, s.nodes...)
	}
}

func startHomesSoak(t *testing.T, seed uint64) *homesSoak {
	s := &homesSoak{
		tenants:     []protocol.Tenant{tenantWithHome("northern", "north"), tenantWithHome("southern", "south"), newTenant("any", 0, 0)},
		pathMutexes: make(map[string]*sync.Mutex), sent: make(map[string][]string),
	}
	s.persistentSoak = startPersistentSoakIn(t, seed, *homesNodes, *homesRunners, func(o *world.Options) { o.Zones, o.FaultyLinks = regions, true }, useShortIntervals)
	for number := 2; number < *homesRunners; number++ {
		startMailer(t, s.w, fmt.Sprint("mailer-", number+1), zones[number%len(zones)])
	}
	for _, node := range s.nodes {
		s.pathMutexes[node.Name] = new(sync.Mutex)
	}
	assert.NilError(t, s.w.ConfigureTenants(s.tenants))
	for _, tenant := range s.tenants {
		waitStatus(t, tenant.APIKeys[0], http.StatusOK, s.nodes...)
	}
	return s
}

// useConnectionAs sends requests of all kinds of a tenant to a node, one after the other.
func (s *homesSoak) useConnectionAs(node *world.Node, tenant protocol.Tenant, random *rand.Rand) {
	k := &persistentClient{node: node}
	defer k.close()
	for time.Now().Before(s.until) {
		c := mixedRequest(random.IntN(4))
		c.Deadline, c.Key = 15*time.Second, tenant.APIKeys[0]
		if c.Method == "" {
			c.Method = http.MethodGet
		}
		result, sent := k.do(c)
		if sent {
			s.mutex.Lock()
			s.results, s.sent[tenant.Name] = append(s.results, result), append(s.sent[tenant.Name], c.ID)
			s.mutex.Unlock()
		}
		time.Sleep(time.Duration(10+random.IntN(30)) * time.Millisecond)
	}
}

// changePaths breaks the paths from a node to all or some of the runners for a while.
func (s *homesSoak) changePaths(random *rand.Rand) {
	node := s.nodes[random.IntN(len(s.nodes))]
	fault := linkfault.Fault{Mode: []linkfault.Mode{linkfault.Hang, linkfault.HangNew, linkfault.RefuseNew, linkfault.Reset}[random.IntN(4)]}
	lasts := time.Duration(100+random.IntN(2400)) * time.Millisecond
	if random.IntN(2) == 0 {
		fault.Addresses = s.drawAddresses(random)
	}
	paths := s.pathMutexes[node.Name]
	paths.Lock()
	defer paths.Unlock()
	// A node that is being restarted has no paths to break; it starts with sound ones.
	_ = s.w.SetLinks(node, fault)
	time.Sleep(lasts)
	_ = s.w.SetLinks(node, linkfault.Fault{})
}

// drawAddresses returns the addresses of some of the runners, of both services.
func (s *homesSoak) drawAddresses(random *rand.Rand) []string {
	s.worldMutex.Lock()
	defer s.worldMutex.Unlock()
	names := append([]string(nil), s.runners...)
	for number := range *homesRunners {
		names = append(names, fmt.Sprint("mailer-", number+1))
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var addresses []string
	for _, name := range names[:1+random.IntN(len(names))] {
		addresses = append(addresses, s.w.Runners[name].Proxy.Address())
	}
	return addresses
}

// breakRunner lets a runner break off half of its streams, and not answer some requests, for a while.
func (s *homesSoak) breakRunner(random *rand.Rand) {
	s.worldMutex.Lock()
	runner := s.runners[random.IntN(len(s.runners))]
	assert.Check(s.t, s.w.SetRunnerFaults(runner, runnerstub.Faults{BreakShare: 0.5, MuteShare: 0.1}))
	s.worldMutex.Unlock()
	time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
	s.worldMutex.Lock()
	defer s.worldMutex.Unlock()
	assert.Check(s.t, s.w.SetRunnerFaults(runner, runnerstub.Faults{}))
}

// verifyHomes checks where the requests of tenants with homes ran, and which nodes carried them.
func (s *homesSoak) verifyHomes(h history, runs map[string]int) {
	for _, tenant := range s.tenants {
		repeated := 0
		for _, id := range s.sent[tenant.Name] {
			if runs[id] > 1 {
				repeated++
			}
		}
		for _, home := range tenant.Homes {
			ran := h.assertRunsInRegion(s.t, s.w, tenant.Name, home)
			carried := assertCarriedInRegion(s.t, s.w, s.sent[tenant.Name], place.Region(home))
			s.t.Logf("seed %d: %s: %d requests, %d runs, %d ran again, %d carried", s.seed, tenant.Name, len(s.sent[tenant.Name]), ran, repeated, carried)
			assert.Check(s.t, carried > 0, "no request of %s was carried", tenant.Name)
		}
	}
}

// verifyAnswers checks the answers as verify does, except that a runner which breaks off or doesn't answer may fail a
// request, see failedTruthfully.
func (s *homesSoak) verifyAnswers(runs map[string]int) {
	counts := make(map[string]int)
	for _, result := range s.results {
		kind, problem := s.classify(result, runs[result.request.ID])
		counts[kind]++
		assert.Check(s.t, problem == "" || failedTruthfully(result), "seed %d: %s: %s %s at %s, sent %s, took %s, runs %d, stops %s, pauses %s: %v, status %d %.300s", s.seed, problem,
			result.request.ID, result.request.Path, result.node.Name, result.sent.Format(time.RFC3339Nano), result.end.Sub(result.sent).Round(time.Millisecond), runs[result.request.ID],
			describeNear(result, s.stops), describeNear(result, s.pauses), result.problem, result.answer.Status, result.answer.Body)
		if result.request.Method == http.MethodPost {
			assert.Check(s.t, runs[result.request.ID] <= 1, "seed %d: %s ran %d times", s.seed, result.request.ID, runs[result.request.ID])
		}
	}
	s.t.Logf("seed %d: %d requests %v, changes %v", s.seed, len(s.results), counts, s.changeCounts)
}

// failedTruthfully reports whether a client was told that its request failed: by a status of the gateway, or as its
// stream ended out of order after the first of its events.
func failedTruthfully(result requestResult) bool {
	got := result.answer
	if got.Complete {
		return got.Status == http.StatusBadGateway || got.Status == http.StatusGatewayTimeout
	}
	return got.Status == http.StatusOK && result.request.Events > 0 && strings.HasPrefix(expectedEvents(got.ID, result.request.Events), got.Body)
}
