package test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// cutAndWait cuts a node off from all runners and waits until it serves requests of a tenant.
func cutAndWait(t *testing.T, w *world.World, node *world.Node, key string) {
	t.Helper()
	assert.NilError(t, w.SetLinks(node, linkfault.Fault{Mode: linkfault.Hang}))
	waitStatus(t, key, http.StatusOK, node)
}

// carriedRequests returns how many requests other nodes carried.
func carriedRequests(t *testing.T, w *world.World) int {
	t.Helper()
	count := 0
	for _, node := range w.Nodes {
		count += strings.Count(readFile(t, w.LogPath(node)), `"msg":"request carried"`)
	}
	return count
}

// TestCarriedRequestsAreChargedOnce: a tenant gets its limit, and no more, at a node that reaches the
// runners through others. If the carrying nodes charged it as well, it would get about half.
func TestCarriedRequestsAreChargedOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Adjust, o.FaultyLinks = useShortLimitWindows, true })
	startMailers(t, w, 3)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 3)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("hot", hotRate, hotBurst)}))
	waitStatus(t, "hot-key", http.StatusOK, nodes...)
	cutAndWait(t, w, nodes[0], "hot-key")
	before := carriedRequests(t, w)
	const seconds = 5
	ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts := make(map[int]int)
	sendAtRate(ctx, &group, nodes[0], "hot-key", 2*hotRate, func(status int) {
		mutex.Lock()
		defer mutex.Unlock()
		counts[status]++
	})
	<-ctx.Done()
	group.Wait()
	readHistory(t, w).assertWithinLimit(t, "hot")
	assert.Assert(t, float64(counts[http.StatusOK]) > 0.7*hotRate*seconds, "%v", counts)
	assert.Assert(t, carriedRequests(t, w)-before >= counts[http.StatusOK], "%d carried", carriedRequests(t, w)-before)
}

// TestCarriedRequestsKeepLimitsOfRunners: runners that state a limit receive no more than that from
// all nodes together, two of which reach them through others.
func TestCarriedRequestsKeepLimitsOfRunners(t *testing.T) {
	t.Parallel()
	w := startCutWorldWith(t, statementTest{all: true, limit: "4.5"}, world.RestartPolicy{})
	w.cutOff(t, linkfault.Hang, w.nodes[0], w.nodes[1])
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { w.send(ctx) })
	time.Sleep(contactTime)
	for _, name := range w.statingRunners() {
		assert.NilError(t, w.world.SetRunnerFaults(name, runnerstub.Faults{Limit: w.limit}))
	}
	time.Sleep(limitDuration)
	end()
	senders.Wait()
	w.checkLimitWindows(t)
	assert.Assert(t, carriedRequests(t, w.world) > 0)
}

// TestCarriedRequestsStayHome: a tenant's requests are served in its home region, from nodes that
// reach the runners through peers of either region.
func TestCarriedRequestsStayHome(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Zones, o.FaultyLinks = regions, true })
	startMailer(t, w, "north-1", "zone-a")
	startMailer(t, w, "south-1", "zone-b")
	startMailer(t, w, "south-2", "zone-c")
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 4)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{tenantWithHome("northern", "north"), tenantWithHome("southern", "south")}))
	waitStatus(t, "northern-key", http.StatusOK, nodes...)
	for _, node := range nodes[:2] {
		cutAndWait(t, w, node, "northern-key")
		cutAndWait(t, w, node, "southern-key")
		for range 20 {
			for _, key := range []string{"northern-key", "southern-key"} {
				got := send(t.Context(), node, clientRequest{Path: "/read/x", Key: key})
				assert.Equal(t, got.Status, http.StatusOK, "%s at %s", key, node.Name)
			}
		}
	}
	h := readHistory(t, w)
	for tenant, region := range map[string]string{"northern": "north", "southern": "south"} {
		assert.Assert(t, h.assertRunsInRegion(t, w, tenant, region) >= 40)
	}
	assert.Assert(t, carriedRequests(t, w) > 0)
}

// TestCarriedRequestsEndAtTheirDeadline: runners do not answer; a request through a peer ends at its
// client's deadline as any other, and the runner is left.
func TestCarriedRequestsEndAtTheirDeadline(t *testing.T) {
	t.Parallel()
	const deadline, margin = time.Second, 500 * time.Millisecond
	w := startCarriedWorld(t)
	for _, name := range allRunners() {
		assert.NilError(t, w.world.SetRunnerFaults(name, runnerstub.Faults{MuteShare: 1}))
	}
	for number := range 4 {
		request := mixedRequest(number)
		request.Deadline = deadline
		start := time.Now()
		got := send(t.Context(), w.cutNode, request)
		took := time.Since(start)
		assert.Check(t, got.Status >= http.StatusInternalServerError, "%s: %d", request.Path, got.Status)
		assert.Check(t, took < deadline+margin, "%s: %s", request.Path, took)
	}
}

// allRunners returns the names of the runners of a cutWorld.
func allRunners() []string {
	return (&statementWorld{statementTest: statementTest{all: true}}).statingRunners()
}

// TestRequestsThatNoNodeCanServeAreRefusedAtOnce: all nodes are cut off, so none can serve for
// another. Requests go in no circle, do not run, and are refused long before their deadline.
func TestRequestsThatNoNodeCanServeAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for _, mode := range []linkfault.Mode{linkfault.Hang, linkfault.Reset} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			w := startCutWorld(t)
			w.cutOff(t, mode, w.nodes...)
			ctx, end := context.WithCancel(t.Context())
			defer end()
			var senders sync.WaitGroup
			senders.Go(func() { w.send(ctx) })
			time.Sleep(contactTime)
			from := time.Now()
			time.Sleep(2 * time.Second)
			end()
			senders.Wait()
			w.checkRuns(t)
			count, held, longest := 0, time.Duration(0), time.Duration(0)
			for _, exchange := range w.exchanges {
				if exchange.sent.Before(from) {
					continue
				}
				took := exchange.end.Sub(exchange.sent)
				count, held, longest = count+1, held+took, max(longest, took)
				assert.Check(t, exchange.answer.Status == http.StatusServiceUnavailable, "%s: %d", exchange.request.Path, exchange.answer.Status)
				assert.Check(t, exchange.answer.RetryAfter != "")
			}
			mean := held / time.Duration(max(count, 1))
			t.Logf("%d refused, after %s in the mean, %s at most", count, mean, longest)
			assert.Check(t, mean < refusedWithin, "refused after %s in the mean", mean)
			assert.Equal(t, carriedRequests(t, w.world), 0)
		})
	}
}

// refusedWithin is an eighth of the shortest deadline of these requests: nothing is lost to a client
// that is refused by then.
const refusedWithin = mixedDeadline / 8
