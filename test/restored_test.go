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
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
	"lilacvane/internal/table"
	"lilacvane/platform/protocol"
)

const (
	// newsBound is the time within which a change must be in effect at every node.
	newsBound = 2 * time.Second
	// newsMargin is what must be left of it.
	newsMargin = newsBound / 2
	// restoredNodes is the number of nodes in these tests.
	restoredNodes = 3
	// writesBeforeRestore is how many writes the copy of a restored store lacks at least: more than
	// happen in the bound afterwards.
	writesBeforeRestore = 300
)

// startRestoredWorld starts nodes that serve the safe route by two runners, and makes the store's
// counter rise by writes that a copy taken before does not have.
func startRestoredWorld(t *testing.T) (*world.World, []*world.Node) {
	t.Helper()
	w := newWorld(t, func(o *world.Options) {
		adjust := o.Adjust
		o.Adjust = func(s *settings.Settings) {
			adjust(s)
			s.Configuration.Within = newsBound
		}
	})
	startMailers(t, w, 2)
	nodes := startNodes(t, w, restoredNodes)
	for _, node := range nodes {
		awaitServed(t, node, "/read/", waitTimeout)
	}
	time.Sleep(time.Second)
	for i := range writesBeforeRestore {
		assert.NilError(t, w.PutRows(protocol.Row{Table: protocol.OperatorTable, Key: "unrelated", Value: fmt.Append(nil, i)}))
	}
	time.Sleep(time.Second)
	return w, nodes
}

// awaitServed waits until a node serves a path.
func awaitServed(t *testing.T, node *world.Node, path string, bound time.Duration) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		answer := send(t.Context(), node, clientRequest{Path: path, Deadline: time.Second})
		if answer.Status == http.StatusOK {
			return
		}
		if time.Since(began) > bound {
			t.Fatalf("%s answers %d to %s after %v", node.Name, answer.Status, path, bound)
		}
	}
}

// restoreStore makes the store return, after a second, with a copy that lacks the writes of the last
// two seconds.
func restoreStore(t *testing.T, w *world.World) {
	t.Helper()
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: 2000, AwayMs: 1000, RewriteMs: 100}))
}

// TestConfigurationOfRestoredStoreWasNotInForce: nodes took a configuration for stale that was written
// after the store had returned with an older copy.
func TestConfigurationOfRestoredStoreWasNotInForce(t *testing.T) {
	t.Parallel()
	w, nodes := startRestoredWorld(t)
	restoreStore(t, w)
	added := world.DefaultRoutes()[3]
	added.Name, added.PathPrefix = "added", "/added/"
	assert.NilError(t, w.Configure(append(world.DefaultRoutes(), added)))
	for _, node := range nodes {
		awaitServed(t, node, "/added/", newsMargin)
	}
}

// TestRunnerThatLeftAfterRestoreGotRequests: nodes did not hear that a runner leaves which said so after
// the store had returned with an older copy.
func TestRunnerThatLeftAfterRestoreGotRequests(t *testing.T) {
	t.Parallel()
	w, nodes := startRestoredWorld(t)
	restoreStore(t, w)
	const leaving = "mailer-1"
	assert.NilError(t, w.DrainRunner(leaving))
	time.Sleep(newsMargin)
	var ids []string
	for range 20 {
		for _, node := range nodes {
			request := clientRequest{ID: newID(), Path: "/read/", Deadline: time.Second}
			ids = append(ids, request.ID)
			send(t.Context(), node, request)
		}
	}
	for _, record := range readHistory(t, w).records {
		ran := record.Event == journal.EventRun && record.Runner == leaving && slices.Contains(ids, record.Request)
		assert.Assert(t, !ran, "request %s ran at the leaving runner", record.Request)
	}
}

// TestNodesThatLostPowerAfterRestoreDoNotServe: all nodes lost their power while the store had yet to be
// written again.
func TestNodesThatLostPowerAfterRestoreDoNotServe(t *testing.T) {
	t.Parallel()
	w, nodes := startRestoredWorld(t)
	added := world.DefaultRoutes()[3]
	added.Name, added.PathPrefix = "added", "/added/"
	assert.NilError(t, w.Configure(append(world.DefaultRoutes(), added)))
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: 1000, AwayMs: 200, RewriteMs: 1000}))
	for _, node := range nodes {
		node.Kill()
	}
	for _, node := range nodes {
		<-node.Done()
		assert.NilError(t, w.RestartNode(node))
	}
	time.Sleep(newsBound)
	for _, node := range nodes {
		awaitServed(t, node, "/added/", newsBound)
	}
}

// TestAppliedObjectWasLostByRestore: an object whose change the store had acknowledged was gone after it
// returned with an older copy and all nodes had started again.
func TestAppliedObjectWasLostByRestore(t *testing.T) {
	t.Parallel()
	w, nodes := startRestoredWorld(t)
	apply(t, nodes[0], model("earlier", 1)...)
	waitKnown(t, "earlier", nodes...)
	time.Sleep(2 * time.Second)
	revision := apply(t, nodes[1], model("alpha", 1)...)
	waitKnown(t, "alpha", nodes...)
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: 1000, AwayMs: 500, RewriteMs: 100}))
	for _, node := range nodes {
		status, err := node.Client().Status(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, slices.ContainsFunc(status.Models, func(m operator.ModelStatus) bool { return m.Name == "alpha" }), "%s went back", node.Name)
	}
	assert.Assert(t, apply(t, nodes[2], model("later", 1)...) > revision)
	for _, node := range nodes {
		node.Kill()
		<-node.Done()
	}
	for _, node := range nodes {
		assert.NilError(t, w.RestartNode(node))
	}
	for _, node := range nodes {
		assert.NilError(t, node.WaitReady())
	}
	for _, name := range []string{"earlier", "alpha", "later"} {
		waitKnown(t, name, nodes...)
	}
}

// TestKeyRanAgainAfterItsNodeEnded: the copy of a restored store lacked the claim of a key, and the node that had
// claimed it ended before it could write it again. Another one ran the key a second time, and so did the node
// itself once it had started again.
func TestKeyRanAgainAfterItsNodeEnded(t *testing.T) {
	t.Parallel()
	const copyAge, key = 2 * time.Second, "claimed"
	w := newWorld(t, nil)
	startRunners(t, w, 2)
	nodes := startNodes(t, w, restoredNodes)
	apply(t, nodes[0], append(model("alpha", 2), readyPolicy("alpha", 2))...)
	waitKnown(t, "alpha", nodes...)
	waitUntil(t, "a key is served", func() error {
		if got := ask(t.Context(), nodes[1], call{Model: "alpha", Prompt: "earlier", Tokens: 2, Key: newID(), Deadline: time.Second}, nil); got.Status != http.StatusOK {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	time.Sleep(copyAge)
	attempt := call{Model: "alpha", Prompt: key, Tokens: 2, Key: key, Deadline: 2 * time.Second}
	assert.Equal(t, ask(t.Context(), nodes[0], attempt, nil).Status, http.StatusOK)
	nodes[0].Kill()
	<-nodes[0].Done()
	assert.NilError(t, w.RestoreStore(storestub.Restore{AgeMs: int(copyAge.Milliseconds()), AwayMs: 100, RewriteMs: 100}))
	assert.NilError(t, w.RestartNode(nodes[0]))
	statuses := make(map[int]int)
	for began := time.Now(); time.Since(began) < 2*table.SettlingPeriod; {
		for _, node := range nodes {
			statuses[ask(t.Context(), node, attempt, nil).Status]++
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("further attempts by status: %v", statuses)
	assert.Assert(t, statuses[http.StatusConflict] > 0, "no attempt was told that the key is claimed")
	assert.Equal(t, readHistory(t, w).runsOfPrompt(key), 1)
}
