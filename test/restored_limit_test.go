package test

import (
	"context"
	"fmt"
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
	served := make([]int, int(waitTimeout/time.Second))
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
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
	time.Sleep(limit.LostRecordLifetime + hotWindow)
	waitUntil(t, "the tenant is served after the lifetime of lost parts", func() error {
		if status := send(t.Context(), others[1], clientRequest{Path: "/read/x", Key: "hot-key"}).Status; status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	cancel()
	group.Wait()
	t.Logf("served by second: %v", served[:min(int(time.Since(began)/time.Second)+1, len(served))])
	readHistory(t, w).assertWithinLimit(t, "hot")
}
