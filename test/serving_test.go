package test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// TestColdRequestIsServed: a request for a model that is not loaded is served, streamed and
// unstreamed, by any node.
func TestColdRequestIsServed(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 2, 2, model("alpha", 1)...)
	streamed := call{Model: "alpha", Prompt: "first words", Tokens: 8}
	assertServed(t, streamed, ask(t.Context(), nodes[1], streamed, nil))
	unstreamed := call{Model: "alpha", Prompt: "second words", Tokens: 8, Unstreamed: true}
	assertServed(t, unstreamed, ask(t.Context(), nodes[0], unstreamed, nil))
	readHistory(t, w).assertMemoryNeverExceeded(t)
}

// TestRefusalsAreTyped: a request that cannot be served is refused at once, with an error
// code and marked as not run.
func TestRefusalsAreTyped(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 1)
	unknown := ask(t.Context(), nodes[0], call{Model: "nobody", Prompt: "x", Tokens: 1}, nil)
	assert.Equal(t, unknown.Status, http.StatusNotFound)
	assert.Equal(t, unknown.Code, fault.CodeUnknownModel)
	assert.Equal(t, unknown.Ran, "no")
	apply(t, nodes[0], model("none", 0)...)
	none := ask(t.Context(), nodes[0], call{Model: "none", Prompt: "x", Tokens: 1}, nil)
	assert.Equal(t, none.Code, fault.CodeNoReplica)
	assert.Equal(t, none.Ran, "no")
	assert.Assert(t, none.RetryAfter != "")
}

// TestPolicyKeepsReplicaReady: a policy loads a model that nobody has requested.
func TestPolicyKeepsReplicaReady(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 1)
	apply(t, nodes[0], append(model("alpha", 2), readyPolicy("alpha", 2))...)
	waitUntil(t, "two replicas are loaded", func() error {
		if len(runnersHolding(t, nodes[0], "alpha")) != 2 {
			return fault.New(fault.CodeNotLoaded, "test", "not yet")
		}
		return nil
	})
}

// TestRoutesServe: clients' requests are matched by host and longest prefix, reach the
// service, and return complete with the runner's signature.
func TestRoutesServe(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 2)
	startMailers(t, w, 2)
	nodes := startNodes(t, w, 2)
	apply(t, nodes[0], model("alpha", 1)...)
	waitKnown(t, "alpha", nodes...)
	for _, path := range []string{"/draft/x", "/reply/x", "/send/x?y=1", "/read/x"} {
		got := send(t.Context(), nodes[1], clientRequest{Path: path, Model: "alpha", Events: 5})
		assert.Equal(t, got.Status, http.StatusOK, "%s: %+v", path, got)
		assert.Assert(t, got.Complete && got.Signature != "", "%s: %+v", path, got)
	}
	missing := send(t.Context(), nodes[0], clientRequest{Path: "/nowhere/x"})
	assert.Equal(t, missing.Status, http.StatusNotFound)
}

// TestSplitRouteFollowsWeights: a split route sends each service exactly its share.
func TestSplitRouteFollowsWeights(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	_, err := w.StartRunner(world.RunnerOptions{Name: "other-1", Service: world.EngineService, Zone: zones[0], MemoryMB: 1, Slots: 8, TokenTime: time.Millisecond})
	assert.NilError(t, err)
	nodes := startNodes(t, w, 1)
	routes := append(world.DefaultRoutes(), protocol.Route{
		Name: "split", Host: world.RouteHost, PathPrefix: "/split/", Type: "safe", TimeoutMs: 3000, TargetMs: 500, Attempts: 1,
		Split: []protocol.Split{{Service: world.MailService, Weight: 3}, {Service: world.EngineService, Weight: 1}},
	})
	assert.NilError(t, w.Configure(routes))
	waitUntil(t, "the route is active", func() error {
		if got := send(t.Context(), nodes[0], clientRequest{Path: "/split/probe"}); got.Status == http.StatusNotFound {
			return fault.New(fault.CodeNotFound, "test", "not yet")
		}
		return nil
	})
	mail := 0
	const requests = 40
	for range requests {
		got := send(t.Context(), nodes[0], clientRequest{Path: "/split/x"})
		if got.Signature == "stamp-mailer-1" {
			mail++
		}
	}
	assert.Equal(t, mail, requests*3/4)
}
