package test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/table"
	"lilacvane/platform/protocol"
)

const (
	// keptCopyAge is the age of the copies in these tests.
	keptCopyAge = time.Second
	// keptRewrite is how long after the store's return operators and runners write again.
	keptRewrite = 1500 * time.Millisecond
)

// restoreLate makes the store return with a copy of keptCopyAge ago that is written again late.
func restoreLate(t *testing.T, w *world.World) {
	t.Helper()
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: int(keptCopyAge.Milliseconds()), AwayMs: 200, RewriteMs: int(keptRewrite.Milliseconds())}))
}

// assertAnswers checks that all nodes answer all requests with a key with one status, until the settling period
// of a restored store has ended.
func assertAnswers(t *testing.T, key string, want int, nodes []*world.Node) {
	t.Helper()
	for began := time.Now(); time.Since(began) < table.SettlingPeriod+newsBound; time.Sleep(20 * time.Millisecond) {
		for _, node := range nodes {
			got := send(t.Context(), node, clientRequest{Path: "/read/x", Key: key, Deadline: time.Second})
			assert.Equal(t, got.Status, want, "%s, %v after the return", node.Name, time.Since(began))
		}
	}
}

// TestRevokedKeyWasValidAgainByCopy: the copy of a restored store had a tenant that was removed after it.
func TestRevokedKeyWasValidAgainByCopy(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 2)
	nodes := startNodes(t, w, restoredNodes)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("first", 0, 0), newTenant("second", 0, 0)}))
	waitStatus(t, "first-key", http.StatusOK, nodes...)
	time.Sleep(keptCopyAge)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("second", 0, 0)}))
	waitStatus(t, "first-key", http.StatusUnauthorized, nodes...)
	restoreLate(t, w)
	assertAnswers(t, "first-key", http.StatusUnauthorized, nodes)
}

// TestRunnerMissingFromCopyGotNoRequests: the copy of a restored store lacked the only runners of a service.
func TestRunnerMissingFromCopyGotNoRequests(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, restoredNodes)
	time.Sleep(keptCopyAge)
	startMailers(t, w, 2)
	for _, node := range nodes {
		awaitServed(t, node, "/read/", waitTimeout)
	}
	restoreLate(t, w)
	assertAnswers(t, "", http.StatusOK, nodes)
}

// TestRunnerThatLeftWasUsedAgainByCopy: the copy of a restored store had the row of a runner that had left and
// served on, and the row was removed again only after the settling period.
func TestRunnerThatLeftWasUsedAgainByCopy(t *testing.T) {
	t.Parallel()
	const left, removed = "mailer-1", table.SettlingPeriod + 1500*time.Millisecond
	w, nodes := startRestoredWorld(t)
	assert.NilError(t, w.Unlist(left))
	time.Sleep(keptCopyAge)
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: int(2 * keptCopyAge.Milliseconds()), AwayMs: 200, RewriteMs: int(removed.Milliseconds())}))
	began := time.Now()
	var ids []string
	for time.Since(began) < removed {
		for _, node := range nodes {
			request := clientRequest{ID: newID(), Path: "/read/", Deadline: time.Second}
			ids = append(ids, request.ID)
			send(t.Context(), node, request)
		}
	}
	for _, record := range readHistory(t, w).records {
		ran := record.Event == journal.EventRun && record.Runner == left && slices.Contains(ids, record.Request)
		assert.Assert(t, !ran, "request %s ran at the runner %v after the return", record.Request, record.Time.Sub(began))
	}
}

// TestNodeOutOfTouchThroughRestoresStayedBehind: a node heard of no return of the store while it happened, and kept
// to what it had known.
func TestNodeOutOfTouchThroughRestoresStayedBehind(t *testing.T) {
	t.Parallel()
	for name, way := range map[string]struct{ leave, comeBack func(*world.Node) error }{
		"frozen": {(*world.Node).Freeze, (*world.Node).Thaw},
		"without the store": {
			func(node *world.Node) error { node.StoreProxy.Block(); return nil },
			func(node *world.Node) error { node.StoreProxy.Heal(); return nil },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, nodes := startRestoredWorld(t)
			for index, node := range nodes {
				assert.NilError(t, way.leave(node))
				restoreStore(t, w)
				restoreStore(t, w)
				added := world.DefaultRoutes()[3]
				added.Name, added.PathPrefix = fmt.Sprint("added-", index), fmt.Sprintf("/added-%d/", index)
				assert.NilError(t, w.Configure(append(world.DefaultRoutes(), added)))
				time.Sleep(table.SettlingPeriod)
				assert.NilError(t, way.comeBack(node))
				awaitServed(t, node, added.PathPrefix, newsBound)
			}
		})
	}
}
