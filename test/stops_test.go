package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/machines"
)

// startStreams starts long streams at nodes and waits until each has begun.
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
		results = append(results, inBackground(t.Context(), nodes[index%len(nodes)], c, progress))
	}
	for range count {
		select {
		case <-begun:
		case <-time.After(patience):
			t.Fatal("a stream did not begin")
		}
	}
	return results
}

// longStream lasts for several seconds, longer than the grace time of any stop.
var longStream = call{Model: "alpha", Prompt: "long", Tokens: 600, Deadline: 30 * time.Second}

// TestStopOfNodeCutsOffNoRequest: a node is asked to stop while streams run and
// requests wait at it; all of them end with their whole answer, the node ends,
// its runners and claims have moved.
func TestStopOfNodeCutsOffNoRequest(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 2, 300)...)
	waitClaims(t, nodes)
	early := call{Model: "alpha", Prompt: "early", Tokens: 4, Key: "early-key", Deadline: 30 * time.Second}
	assertServed(t, early, ask(t.Context(), nodes[1], early, nil))
	streams := startStreams(t, nodes[:1], longStream, 4)
	assert.NilError(t, nodes[0].Terminate())
	late := call{Model: "alpha", Prompt: "late", Tokens: 4, Key: "late-key", Deadline: 30 * time.Second}
	assertServed(t, late, ask(t.Context(), nodes[1], late, nil))
	for _, stream := range streams {
		assertServed(t, longStream, await(t, stream))
	}
	assert.NilError(t, nodes[0].Wait(patience))
	again := call{Model: "alpha", Prompt: "again", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, again, ask(t.Context(), nodes[2], again, nil))
	for _, c := range []call{early, late} {
		duplicate := ask(t.Context(), nodes[2], c, nil)
		assert.Assert(t, !duplicate.Served, "the moved claim of %s was forgotten", c.Key)
		assert.Equal(t, readHistory(t, w).runs(c.Prompt), 1)
	}
}

// TestStopOfRunnerCutsOffNoRequest: a runner is drained while long streams run
// on it; they end whole, new requests go elsewhere, and nothing new was run on
// it a few seconds after the stop began.
func TestStopOfRunnerCutsOffNoRequest(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 2)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	streams := startStreams(t, nodes, longStream, 4)
	grant, err := grantOf(t.Context(), nodes[0], "alpha")
	assert.NilError(t, err)
	runner := grant.Items[0].Runner
	drain := api.NewObject(api.KindDrain, "drain-1", api.Drain{Target: api.DrainRunner, Name: runner})
	apply(t, nodes[0], drain)
	waitUntil(t, "the runner drains", func() error {
		runners, err := nodes[0].Client().Runners(t.Context(), runner)
		if err != nil {
			return err
		}
		if len(runners) == 0 || runners[0].State != "draining" {
			return fmt.Errorf("%+v", runners)
		}
		return nil
	})
	// A request that comes during the stop waits until the replica has moved.
	moved := call{Model: "alpha", Prompt: "moved", Tokens: 4, Deadline: 50 * time.Second}
	movedResult := inBackground(t.Context(), nodes[0], moved, nil)
	for _, stream := range streams {
		assertServed(t, longStream, await(t, stream))
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
	assertServed(t, moved, await(t, movedResult))
	h := readHistory(t, w)
	assert.Equal(t, h.most("alpha"), 1)
	assertNoRunAfterDrain(t, h, runner)
}

// assertNoRunAfterDrain checks that an engine ran nothing new after it had been
// given the draining role.
func assertNoRunAfterDrain(t *testing.T, h history, runner string) {
	t.Helper()
	draining := false
	for _, record := range h.records {
		if record.Runner != runner {
			continue
		}
		if record.Event == journal.EventRole {
			draining = record.Detail == "draining"
		}
		assert.Assert(t, !draining || record.Event != journal.EventRun, "%+v", record)
	}
	assert.Assert(t, draining, "the runner was never told that it drains")
}

// TestLeavingRunnerGetsNoNewWork: a machine that the platform lists as leaving
// gets no new work once its owner learned of it, though requests go on and its
// owner is killed at the same moment.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	first := call{Model: "alpha", Prompt: "first", Tokens: 4}
	assertServed(t, first, ask(t.Context(), nodes[0], first, nil))
	grant, err := grantOf(t.Context(), nodes[0], "alpha")
	assert.NilError(t, err)
	runner := grant.Items[0].Runner
	owner := ownerOf(t, w, nodes[0], runner)
	caller := other(nodes, owner)
	load := startBackground(t, 4, func(who, number int) (*world.Node, call) {
		return caller, call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 5)
	leaving := w.Engines[runner].Machine
	leaving.State = machines.StateLeaving
	assert.NilError(t, w.PutMachine(leaving))
	owner.Kill()
	waitUntil(t, "the grant has moved", func() error {
		grant, err := grantOf(t.Context(), caller, "alpha")
		if err != nil {
			return err
		}
		if len(grant.Items) != 1 || grant.Items[0].Runner == runner {
			return fmt.Errorf("%+v", grant)
		}
		return nil
	})
	load.waitServed(t, 10)
	load.finish()
	h := readHistory(t, w)
	assertNoRunAfterDrain(t, h, runner)
	assert.Equal(t, h.most("alpha"), 1)
	load.assertTruthful(t, h)
}
