package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
)

// startStreams starts long streams at the nodes and waits until each has begun.
func startStreams(t *testing.T, nodes []*world.Node, c call, count int) []<-chan outcome {
	t.Helper()
	var results []<-chan outcome
	begun := make(chan struct{}, count)
	for index := range count {
		first := true
		progress := func(outcome) {
			if first {
				first = false
				begun <- struct{}{}
			}
		}
		results = append(results, sendInBackground(t.Context(), nodes[index%len(nodes)], c, progress))
	}
	for range count {
		select {
		case <-begun:
		case <-time.After(waitTimeout):
			t.Fatal("a stream did not begin")
		}
	}
	return results
}

// longStream lasts for several seconds, longer than the notice time of any stop.
var longStream = call{Model: "alpha", Prompt: "long", Tokens: 400, Deadline: 30 * time.Second}

// TestStopOfNodeCutsOffNoRequest: a node is asked to stop while streams run and requests
// wait there. All of them end with their complete answer or a truthful refusal, the node
// ends, and claims that it made are remembered.
func TestStopOfNodeCutsOffNoRequest(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 2, 3, model("alpha", 2)...)
	early := call{Model: "alpha", Prompt: "early", Tokens: 4, Key: "early-key", Deadline: 30 * time.Second}
	assertServed(t, early, ask(t.Context(), nodes[1], early, nil))
	streams := startStreams(t, nodes[:1], longStream, 4)
	assert.NilError(t, nodes[0].Terminate())
	late := call{Model: "alpha", Prompt: "late", Tokens: 4, Key: "late-key", Deadline: 30 * time.Second}
	assertServed(t, late, ask(t.Context(), nodes[1], late, nil))
	for _, stream := range streams {
		assertServed(t, longStream, awaitOutcome(t, stream))
	}
	assert.NilError(t, nodes[0].Wait(waitTimeout))
	again := call{Model: "alpha", Prompt: "again", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, again, ask(t.Context(), nodes[2], again, nil))
	for _, c := range []call{early, late} {
		duplicate := ask(t.Context(), nodes[2], c, nil)
		assert.Assert(t, !duplicate.Served, "the claim of %s was forgotten", c.Key)
		assert.Equal(t, readHistory(t, w).runsOfPrompt(c.Prompt), 1)
	}
}

// TestStopAnswersWaitingRequests: a node whose grace period ends while a client's request
// still waits for a model refuses the request before it closes the connection. The client
// has less time left than the route allows, as one that retries, so it is not sent back at
// once.
func TestStopAnswersWaitingRequests(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) {
		adjust := o.Adjust
		o.Adjust = func(s *settingsType) {
			adjust(s)
			s.Stop.Grace = 2 * time.Second
		}
	})
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 2)
	stuckModel(t, w, nodes[0], "alpha")
	waitKnown(t, "alpha", nodes...)
	result := make(chan clientAnswer, 1)
	go func() {
		result <- send(t.Context(), nodes[0], clientRequest{Path: "/draft/x", Model: "alpha", Events: 3, Deadline: 8 * time.Second})
	}()
	waitQueued(t, nodes[0], 1)
	assert.NilError(t, nodes[0].Terminate())
	got := <-result
	assert.Assert(t, got.Complete, "%+v", got)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Assert(t, got.RetryAfter != "")
	assert.NilError(t, nodes[0].Wait(waitTimeout))
}

// TestStopAnswersOperators: a node is asked to stop while it commits an operator's change
// at a slow store and another operator watches changes. The author of the change receives
// its revision, and the watch does not delay the stop.
func TestStopAnswersOperators(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 2)
	watching, err := http.Get("http://" + nodes[1].Operators + "/v1/watch")
	assert.NilError(t, err)
	defer watching.Body.Close()
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{DelayMs: 1000}))
	result := make(chan error, 1)
	go func() {
		_, err := nodes[1].Client().Submit(t.Context(), operator.Submission{Operation: "slow", Author: "test", Apply: model("alpha", 1)})
		result <- err
	}()
	time.Sleep(200 * time.Millisecond) // the change is on its way to the store
	asked := time.Now()
	assert.NilError(t, nodes[1].Terminate())
	assert.NilError(t, <-result)
	assert.NilError(t, nodes[1].Wait(waitTimeout))
	assert.Assert(t, time.Since(asked) < stopGrace/2, "the stop took %s", time.Since(asked))
}

// TestStopOfRunnerCutsOffNoRequest: a runner is drained while long streams run on it. They
// complete, new requests go elsewhere, and nothing new runs on it once the drain is active
// at all nodes.
func TestStopOfRunnerCutsOffNoRequest(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 2, model("alpha", 1)...)
	streams := startStreams(t, nodes, longStream, 4)
	runner := runnersHolding(t, nodes[0], "alpha")[0]
	revision := apply(t, nodes[0], api.NewObject(api.KindDrain, "drain-1", api.Drain{Target: api.DrainRunner, Name: runner}))
	waitUntil(t, "the drain is active", func() error {
		for _, node := range nodes {
			status, err := node.Client().Status(t.Context())
			if err != nil {
				return err
			}
			if status.Revision < revision {
				return fmt.Errorf("not at %s", node.Name)
			}
		}
		return nil
	})
	activeSince := time.Now()
	// A request that arrives during the drain waits until the replica has moved.
	moved := call{Model: "alpha", Prompt: "moved", Tokens: 4, Deadline: 50 * time.Second}
	movedResult := sendInBackground(t.Context(), nodes[0], moved, nil)
	for _, stream := range streams {
		assertServed(t, longStream, awaitOutcome(t, stream))
	}
	waitUntil(t, "the drain is finished", func() error {
		progress, err := nodes[1].Client().DrainProgress(t.Context(), "drain-1")
		if err != nil {
			return err
		}
		if !progress.Finished {
			return fmt.Errorf("%+v", progress)
		}
		return nil
	})
	assertServed(t, moved, awaitOutcome(t, movedResult))
	h := readHistory(t, w)
	assert.Equal(t, h.maxReplicas("alpha"), 1)
	assertNoRunFrom(t, h, runner, activeSince)
}

// assertNoRunFrom checks that a runner ran nothing new after an instant.
func assertNoRunFrom(t *testing.T, h history, runner string, from time.Time) {
	t.Helper()
	for _, record := range h.records {
		late := record.Runner == runner && record.Event == journal.EventRun && record.Time.After(from)
		assert.Assert(t, !late, "%+v", record)
	}
}

// TestLeavingRunnerGetsNoNewWork: a runner that the platform lists as leaving gets no new
// work once the nodes know, although requests continue and the lease holder is killed at
// the same moment.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 3, model("alpha", 2)...)
	first := call{Model: "alpha", Prompt: "first", Tokens: 4}
	assertServed(t, first, ask(t.Context(), nodes[0], first, nil))
	runner := runnersHolding(t, nodes[0], "alpha")[0]
	holder := leaseHolder(t, w, nodes[0])
	caller := anyNodeExcept(nodes, holder)
	load := startLoad(t, 4, func(who, number int) (*world.Node, call) {
		return caller, call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 5)
	assert.NilError(t, w.DrainRunner(runner))
	holder.Kill()
	waitUntil(t, "the node knows that the runner leaves", func() error {
		content := readLog(t, w, caller)
		if !hasLineWith(content, "runners leaving", runner) {
			return fmt.Errorf("not logged yet")
		}
		return nil
	})
	learned := time.Now()
	load.waitServed(t, 10)
	load.finish()
	h := readHistory(t, w)
	assertNoRunFrom(t, h, runner, learned)
	assert.Assert(t, h.maxLoaded("alpha") <= 2)
	load.assertTruthful(t, h)
}
