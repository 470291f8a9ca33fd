package test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/limit"
	"lilacvane/platform/protocol"
)

// TestTenantGotMoreThanItsLimitAfterRestore: the copy of a restored store lacked the newest division of a limit,
// and the node that had written it ended. The next one gave parts that were in force to other nodes as well.
func TestTenantGotMoreThanItsLimitAfterRestore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Adjust = useShortLimitWindows })
	startMailers(t, w, 2)
	nodes := startNodes(t, w, restoredNodes)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("hot", hotRate, hotBurst)}))
	waitStatus(t, "hot-key", http.StatusOK, nodes...)
	holder := leaseHolder(t, w, nodes[0])
	var others []*world.Node
	for _, node := range nodes {
		if node != holder {
			others = append(others, node)
		}
	}
	served := make([]int, int((limit.LostRecordLifetime+10*time.Second)/time.Second))
	began := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), began.Add(time.Duration(len(served))*time.Second))
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	count := func(status int) {
		mutex.Lock()
		defer mutex.Unlock()
		if second := int(time.Since(began) / time.Second); status == http.StatusOK && second < len(served) {
			served[second]++
		}
	}
	// The traffic moves, so that parts do.
	first, endFirst := context.WithTimeout(ctx, 3*time.Second)
	defer endFirst()
	sendAtRate(first, &group, others[0], "hot-key", 2*hotRate, count)
	<-first.Done()
	sendAtRate(ctx, &group, others[1], "hot-key", 2*hotRate, count)
	time.Sleep(time.Second)
	holder.Kill()
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: 2500, AwayMs: 500, RewriteMs: 100}))
	assert.NilError(t, w.RestartNode(holder))
	<-ctx.Done()
	group.Wait()
	t.Logf("served by second: %v", served)
	readHistory(t, w).assertWithinLimit(t, "hot")
	assert.Assert(t, served[len(served)-1] > 0, "nothing is served after the lifetime of lost parts")
}
