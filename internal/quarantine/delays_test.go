package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/crash"
	"lilacvane/internal/poison"
)

const (
	// maxReportDelay is how long a report takes to arrive at most.
	maxReportDelay = 20 * time.Millisecond
	// agreementBound is how long after the first node refuses a request all must.
	agreementBound = 500 * time.Millisecond
)

// delayed makes the reports of a group arrive late, by different times.
func (g *group) delayed(seed uint64) {
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	g.delay = func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		return time.Duration(random.Int64N(int64(maxReportDelay)))
	}
}

// endedAfter reports the end of a runner at a node under a request that was sent some time before.
func (g *group) endedAfter(node int, runner string, request poison.Identity, after time.Duration) {
	now := time.Now()
	run := poison.Run{Request: request, Sent: now.Add(-after), Ended: now}
	g.nodes[g.order[node]].Crashed(crash.Crash{Runner: runner, Requests: []poison.Identity{request}, Contents: []poison.Run{run}})
}

// refusing returns how many nodes refuse a request.
func (g *group) refusing(request poison.Identity) (count int) {
	for _, address := range g.order {
		if g.nodes[address].Check(request, nil).Verdict == poison.Refused {
			count++
		}
	}
	return count
}

// TestNodesDisagreedByDelaysOfReports: runners ended a little further apart than ends that count once, and nodes
// to which the reports took longer than to others counted fewer ends: they held the request, which others
// refused, and sent it on.
func TestNodesDisagreedByDelaysOfReports(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 12)
				g.delayed(seed)
				for node := range 3 {
					g.endedAfter(4+node, fmt.Sprint("r", node), request, 30*time.Millisecond)
					time.Sleep(55 * time.Millisecond)
				}
				time.Sleep(agreementBound)
				refusing := g.refusing(request)
				assert.Assert(t, refusing == 0 || refusing == len(g.order), "%d of %d nodes refuse it", refusing, len(g.order))
			})
		})
	}
}
