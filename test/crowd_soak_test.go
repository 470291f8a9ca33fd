package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

var (
	crowdSeed     = flag.Uint64("crowd.seed", 1, "first seed of the soak of crowds")
	crowdSeeds    = flag.Int("crowd.seeds", 1, "number of seeds that it runs, one after the other")
	crowdDuration = flag.Duration("crowd.duration", 10*time.Second, "how long crowds, requests and changes of each seed last")
	crowdNodes    = flag.Int("crowd.nodes", 3, "nodes of its world")
	crowdClients  = flag.Int("crowd.clients", 3, "ordinary clients of each node")
)

const (
	// crowdBytes bounds what a crowd of the soak sends, and crowdMembers its members.
	crowdBytes   = 256 << 20
	crowdMembers = 1500
	// longestBody is the largest body that a member sends; it is over the limit.
	longestBody = 12 << 20
	// crowdStay is the longest time that a crowd stays.
	crowdStay = 4 * time.Second
	// crowdPause is longer than a client that does not send may keep its room where others need it; two of them are
	// shorter than the time-out of the route.
	crowdPause = 1200 * time.Millisecond
)

// crowdSoak is a world of small machines to which crowds come while changes overlap.
type crowdSoak struct {
	*persistentSoak
	// crowdsMutex guards crowds, which are those that came.
	crowdsMutex sync.Mutex
	crowds      []*crowd
}

// TestCrowdSoak: crowds of clients that misbehave come and stay at the nodes, several at once, while ordinary clients
// reuse their connections and stops, kills, pauses and changes overlap, as drawn by the seed. No node takes more
// memory than its machine has, none ends but by a signal, what is refused has not run, and all nodes serve
// ordinary requests afterwards. To run more seeds: go test ./test -run TestCrowdSoak -crowd.seed=100
// -crowd.seeds=50 -timeout 1h
func TestCrowdSoak(t *testing.T) {
	for seed := *crowdSeed; seed < *crowdSeed+uint64(*crowdSeeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runCrowdSoak(t, seed) })
	}
}

func runCrowdSoak(t *testing.T, seed uint64) {
	s := &crowdSoak{persistentSoak: startPersistentSoak(t, seed, *crowdNodes, 2, func(s *settings.Settings) {
		useShortIntervals(s)
		s.Capacity.MemoryMB = crowdMachineMB
	})}
	var watches []*memoryWatch
	for _, node := range s.nodes {
		watches = append(watches, watchMemory(node))
	}
	s.until = time.Now().Add(*crowdDuration)
	var running, clients sync.WaitGroup
	for index, node := range s.nodes {
		for number := range *crowdClients {
			clients.Go(func() { s.useConnection(node, rand.New(rand.NewPCG(seed, uint64(1000+100*index+number)))) })
		}
	}
	startChanges(&running, s.persistentSoak, s.persistentSoak, disturbances)
	startChanges(&running, s.persistentSoak, s, []soakChange[*crowdSoak]{
		{"let a crowd come", time.Second, (*crowdSoak).letCrowdCome},
		{"let another crowd come", 2 * time.Second, (*crowdSoak).letCrowdCome},
	})
	running.Wait()
	clients.Wait()
	for index, node := range s.nodes {
		peak := watches[index].stop()
		t.Logf("seed %d: %s: %d MB at most", seed, node.Name, peak/1_000_000)
		assert.Check(t, peak <= crowdMemory, "seed %d: %s: %d bytes", seed, node.Name, peak)
		assert.Check(t, !node.Current().Ended(), "seed %d: %s", seed, node.Name)
		awaitOrdinary(t, node)
	}
	for _, c := range s.crowds {
		checkRefusedNotRun(t, s.w, c)
		t.Logf("seed %d: crowd of %d members, length %d, %d pieces of %d bytes, whole %v, only heads %v; by status: %v", seed,
			c.kind.members, c.kind.length, c.kind.pieces, c.kind.piece, c.kind.whole, c.kind.headOnly, c.answers())
	}
	s.verify()
}

// letCrowdCome lets a crowd come to a node, and stay for a while.
func (s *crowdSoak) letCrowdCome(random *rand.Rand) {
	c := startCrowd(s.nodes[random.IntN(len(s.nodes))], drawCrowd(random))
	s.crowdsMutex.Lock()
	s.crowds = append(s.crowds, c)
	s.crowdsMutex.Unlock()
	time.Sleep(time.Duration(random.Int64N(int64(crowdStay))))
	c.close()
}

// drawCrowd draws what a crowd sends.
func drawCrowd(random *rand.Rand) crowdKind {
	entrances := []struct {
		address func(*world.Node) string
		head    func(string) string
	}{{clientEntrance, clientHead}, {clientEntrance, modelHead}, {clientEntrance, longHead(1 + random.IntN(60_000))}, {callerEntrance, callerHead}, {operatorEntrance, operatorHead}, {peerEntrance, peerHead}}
	entrance := entrances[random.IntN(len(entrances))]
	kind := crowdKind{address: entrance.address, head: entrance.head}
	// Sizes of all orders are drawn alike.
	size := longestBody >> random.IntN(14)
	kind.members = min(max(1+random.IntN(crowdBytes/size), 8), crowdMembers)
	kind.piece = max(size>>random.IntN(12), 16)
	kind.pieces = max(size/kind.piece, 1)
	size = kind.piece * kind.pieces
	switch random.IntN(4) {
	case 0:
		kind.length = size + 1
	case 1:
		kind.length, kind.whole = size, true
	case 2:
		kind.cut = 3
	case 3:
		kind.whole = true
	}
	switch random.IntN(8) {
	case 0:
		kind.headOnly, kind.head = true, longHead(1+random.IntN(60_000))
		kind.address = clientEntrance
	case 1:
		kind.pause = time.Duration(1+random.IntN(200)) * time.Millisecond
	case 2:
		kind.pieces = 0
	case 3:
		kind.length = 1 << 30
	}
	return kind
}

// TestCrowdOfOneIsServed: on a small machine, one request of the largest size is served, whole or in
// chunks, also if its client pauses for longer than one that does not send may keep its room from others.
func TestCrowdOfOneIsServed(t *testing.T) {
	for name, kind := range map[string]crowdKind{
		"announced":          {length: 8 << 20, piece: 8 << 20, pieces: 1},
		"chunks":             {piece: 64 << 10, pieces: 128},
		"small chunks":       {piece: 16, pieces: 64 << 10},
		"announced, slowly":  {length: 8 << 20, piece: 4 << 20, pieces: 2, pause: crowdPause},
		"chunks, slowly":     {piece: 4 << 20, pieces: 2, pause: crowdPause},
		"bit by bit, slowly": {length: 50, piece: 25, pieces: 2, pause: crowdPause},
	} {
		t.Run(name, func(t *testing.T) {
			_, node := startCrowdWorld(t, 0)
			kind.members, kind.address, kind.head, kind.whole = 1, clientEntrance, clientHead, true
			c := startCrowd(node, kind)
			waitUntil(t, "the request has its answer", func() error {
				if status, _ := c.members[0].answer(); status == 0 {
					return fmt.Errorf("none yet")
				}
				return nil
			})
			status, _ := c.members[0].answer()
			assert.Equal(t, status, http.StatusOK)
			c.close()
		})
	}
}
