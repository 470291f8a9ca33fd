package test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/platform/protocol"
)

// setReplicas changes the maximum number of a model's replicas.
func setReplicas(ctx context.Context, node *world.Node, name string, replicas int) error {
	object, err := node.Client().Get(ctx, api.KindModel, name)
	if err != nil {
		return err
	}
	changed := api.NewObject(api.KindModel, name, api.Model{ActiveVersion: name + "-v1", Replicas: replicas})
	changed.Generation = object.Generation
	_, err = node.Client().Submit(ctx, operator.Submission{Operation: "replicas-" + newID(), Apply: []api.Object{changed}})
	return err
}

// TestReplicasWhenHolderFreezes: the lease holder is frozen and another node takes over.
// After the old holder resumes it gives no orders, no more replicas than decided are ever
// loaded, and the orders of the two holders are separated by the turn gap.
func TestReplicasWhenHolderFreezes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Engine.SizeMB = memoryForModels(1) })
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 3)
	for index := range 4 {
		apply(t, nodes[0], model(fmt.Sprintf("m%d", index), 1)...)
	}
	holder := leaseHolder(t, w, nodes[0])
	caller := anyNodeExcept(nodes, holder)
	waitKnown(t, "m3", caller)
	load := startLoad(t, 4, func(who, number int) (*world.Node, call) {
		return caller, call{Model: fmt.Sprintf("m%d", who), Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 6)
	assert.NilError(t, holder.Freeze())
	waitUntil(t, "another node holds the lease", func() error {
		status, err := caller.Client().Status(t.Context())
		if err != nil {
			return err
		}
		for _, member := range status.Members {
			if len(member.Holds) > 0 && member.Node != holder.Name {
				return nil
			}
		}
		return fmt.Errorf("%+v", status.Members)
	})
	load.waitServed(t, 6)
	assert.NilError(t, holder.Thaw())
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	for index := range 4 {
		assert.Assert(t, h.maxReplicas(fmt.Sprintf("m%d", index)) <= 1)
	}
	h.assertMemoryNeverExceeded(t)
	h.assertOrderGap(t, turnGap)
	load.assertTruthful(t, h)
}

// TestReplicaOnItsWayCountsForNextHolder: the lease holder is killed while a runner loads a
// model, which the platform's list does not show yet. The next holder counts that replica
// and does not load another.
func TestReplicaOnItsWayCountsForNextHolder(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	for index := range 4 {
		_, err := w.StartRunner(world.RunnerOptions{
			Name: fmt.Sprintf("runner-%d", index+1), Zone: zones[index%len(zones)], MemoryMB: w.Engine.SizeMB, ModelMB: modelMiB * megabytesPerMiB,
			Slots: w.Engine.Slots, AdapterSlots: w.Engine.LoRASlots, TokenTime: 10 * time.Millisecond, LoadTime: 10 * time.Second,
		})
		assert.NilError(t, err)
	}
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 1)...)
	waitKnown(t, "alpha", nodes...)
	holder := leaseHolder(t, w, nodes[0])
	caller := anyNodeExcept(nodes, holder)
	var waiting sync.WaitGroup
	request := call{Model: "alpha", Prompt: "one", Tokens: 4, Deadline: 25 * time.Second}
	var got outcome
	waiting.Go(func() { got = ask(t.Context(), caller, request, nil) })
	waitUntil(t, "the load is running", func() error {
		if h := readHistory(t, w); h.maxReplicas("alpha") == 0 {
			return errors.New("nothing is loaded")
		}
		return nil
	})
	holder.Kill()
	waiting.Wait()
	assertServed(t, request, got)
	assert.Equal(t, readHistory(t, w).maxReplicas("alpha"), 1)
}

// TestControlWhenHolderIsLost: the lease holder is killed, the next one is cut off from the
// store, and the next one is stopped. Each time another node takes over, and the orders of
// two nodes are separated by the turn gap.
func TestControlWhenHolderIsLost(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Engine.SizeMB = memoryForModels(1) })
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 4)
	const models = 4
	for index := range models {
		apply(t, nodes[0], model(fmt.Sprintf("m%d", index), 1)...)
	}
	gone := []*world.Node{}
	for step, lose := range []func(*world.Node){
		func(node *world.Node) { node.Kill() },
		func(node *world.Node) { node.StoreProxy.Block() },
		func(node *world.Node) { assert.NilError(t, node.Terminate()) },
	} {
		caller := anyNodeExcept(nodes, gone...)
		holder := leaseHolder(t, w, caller)
		if caller == holder {
			caller = anyNodeExcept(nodes, append(gone, holder)...)
		}
		waitKnown(t, fmt.Sprintf("m%d", models-1), caller)
		lose(holder)
		gone = append(gone, holder)
		for index := range models {
			c := call{Model: fmt.Sprintf("m%d", index), Prompt: fmt.Sprintf("s%d-%d", step, index), Tokens: 2, Deadline: 30 * time.Second}
			assertServed(t, c, ask(t.Context(), caller, c, nil))
		}
	}
	h := readHistory(t, w)
	h.assertMemoryNeverExceeded(t)
	h.assertOrderGap(t, turnGap)
	for index := range models {
		assert.Assert(t, h.maxReplicas(fmt.Sprintf("m%d", index)) <= 1)
	}
}

// TestReplicasWhileOperatorsChangeThem: the maximum is raised and lowered while requests
// arrive and a node is killed. The number in memory never exceeds what was allowed at some
// time, and after the last reduction is active no replica beyond it appears.
func TestReplicasWhileOperatorsChangeThem(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 4, 3, append(model("alpha", 1), readyPolicy("alpha", 4))...)
	load := startLoad(t, 8, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 20, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 5)
	for _, replicas := range []int{3, 1, 4, 1} {
		assert.NilError(t, setReplicas(t.Context(), nodes[1], "alpha", replicas))
		waitUntil(t, "the number of replicas matches", func() error {
			if loaded := len(runnersHolding(t, nodes[0], "alpha")); loaded != replicas {
				return fmt.Errorf("%d loaded, %d decided", loaded, replicas)
			}
			return nil
		})
		load.waitServed(t, 10)
		if replicas == 4 {
			nodes[2].Kill()
		}
	}
	lowered := time.Now()
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	assert.Assert(t, h.maxReplicas("alpha") <= 4, "%d replicas", h.maxReplicas("alpha"))
	assert.Equal(t, h.maxLoadedAfter(lowered, "alpha"), 1)
	h.assertMemoryNeverExceeded(t)
	load.assertTruthful(t, h)
}

// TestReplicaAtUnreachableRunnerCounts: a runner that cannot be reached keeps its replica
// until the platform removes the runner from its list. Only then does another runner load
// the model.
func TestReplicaAtUnreachableRunnerCounts(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 2, 2, model("alpha", 1)...)
	first := call{Model: "alpha", Prompt: "one", Tokens: 4}
	assertServed(t, first, ask(t.Context(), nodes[0], first, nil))
	runner := runnersHolding(t, nodes[0], "alpha")[0]
	w.Runners[runner].Proxy.Block()
	refused := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: "two", Tokens: 4, Deadline: 3 * time.Second}, nil)
	assert.Assert(t, !refused.Served, "served by a second replica, which is not allowed: %+v", refused)
	assert.Equal(t, readHistory(t, w).maxReplicas("alpha"), 1)
	gone := killRunner(t, w, runner)
	moved := call{Model: "alpha", Prompt: "three", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, moved, ask(t.Context(), nodes[1], moved, nil))
	h := readHistory(t, w, gone)
	assert.Equal(t, h.maxReplicas("alpha"), 1)
	h.assertTruthful(t, call{}, refused)
}

// TestMemoryUnderPressure: more models than fit compete for few runners while orders remain
// unanswered or are carried out late, a node is killed and another one frozen. No order
// ever overcommits a runner, and all models are served in turn.
func TestMemoryUnderPressure(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Engine.SizeMB = memoryForModels(2) })
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 3)
	const models = 6
	for index := range models {
		apply(t, nodes[0], model(fmt.Sprintf("m%d", index), 1)...)
	}
	waitKnown(t, "m5", nodes...)
	load := startLoad(t, models, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: fmt.Sprintf("m%d", who), Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 3, Deadline: 30 * time.Second}
	})
	load.waitServed(t, models)
	for id := range w.Runners {
		assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{OrderLostShare: 0.4, LateMs: 700}))
	}
	load.waitServed(t, models)
	nodes[2].Kill()
	load.waitServed(t, models)
	assert.NilError(t, nodes[1].Freeze())
	time.Sleep(3 * time.Second) // longer than the lease
	assert.NilError(t, nodes[1].Thaw())
	load.waitServed(t, 2*models)
	load.finish()
	h := readHistory(t, w)
	h.assertMemoryNeverExceeded(t)
	h.assertOrderGap(t, turnGap)
	for index := range models {
		assert.Assert(t, h.maxReplicas(fmt.Sprintf("m%d", index)) <= 1)
	}
	load.assertTruthful(t, h)
}

// TestAdaptersUnderPressure: adapters of two models compete for few slots while a node is
// killed and connections are reset. Slots and memory are never overcommitted, and all
// adapters are served.
func TestAdaptersUnderPressure(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Engine.LoRASlots = 2 })
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 3)
	const adapters = 6
	for base := range 2 {
		apply(t, nodes[0], model(fmt.Sprintf("base%d", base), 2)...)
	}
	for index := range adapters {
		name := fmt.Sprintf("adapter%d", index)
		apply(t, nodes[0], api.NewObject(api.KindAdapter, name, api.Adapter{Model: fmt.Sprintf("base%d", index%2), Checkpoint: name, MemoryMiB: 10, Replicas: 1}))
	}
	waitKnown(t, "adapter5", nodes...)
	load := startLoad(t, adapters, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: fmt.Sprintf("adapter%d", who), Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 3, Deadline: 30 * time.Second}
	})
	load.waitServed(t, adapters)
	nodes[2].Kill()
	load.waitServed(t, adapters)
	for _, runner := range w.Runners {
		runner.Proxy.Reset()
	}
	load.waitServed(t, 3*adapters)
	load.finish()
	h := readHistory(t, w)
	h.assertMemoryNeverExceeded(t)
	for base := range 2 {
		assert.Assert(t, h.maxReplicas(fmt.Sprintf("base%d", base)) <= 2)
	}
	load.assertTruthful(t, h)
}

// TestVersionChangesUnderLoad: the active version changes while requests arrive and a node
// is frozen. Once the change is active at a node, its requests run only with the new
// version, and both versions together stay within the replicas.
func TestVersionChangesUnderLoad(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 3, model("alpha", 2)...)
	load := startLoad(t, 6, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 30 * time.Second}
	})
	load.waitServed(t, 10)
	assert.NilError(t, nodes[2].Freeze())
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	changed := api.NewObject(api.KindModel, "alpha", api.Model{ActiveVersion: "alpha-v2", Replicas: 2})
	changed.Generation = object.Generation
	version := api.NewObject(api.KindVersion, "alpha-v2", api.Version{Model: "alpha", Checkpoint: "alpha-2", MemoryMiB: modelMiB, LoadSeconds: 0.15})
	revision := apply(t, nodes[0], changed, version)
	waitUntil(t, "the version is active", func() error {
		for _, node := range nodes[:2] {
			status, err := node.Client().Status(t.Context())
			if err != nil {
				return err
			}
			if status.Revision < revision {
				return fmt.Errorf("%s has the old version", node.Name)
			}
		}
		return nil
	})
	load.waitServed(t, 12) // requests that were already in progress
	activeSince := time.Now()
	assert.NilError(t, nodes[2].Thaw())
	late := call{Model: "alpha", Prompt: "late", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, late, ask(t.Context(), nodes[2], late, nil))
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	for _, record := range h.records {
		old := record.Event == journal.EventRun && record.Unit == "alpha"
		assert.Assert(t, !old || record.Time.Before(activeSince), "%+v", record)
	}
	assert.Assert(t, h.maxLoaded("alpha", "alpha-2") <= 2)
	h.assertMemoryNeverExceeded(t)
	load.assertTruthful(t, h)
}

// TestModelsOfThePlatformAreServed: models listed in the platform's configuration are
// loaded on request, by route and by completion call.
func TestModelsOfThePlatformAreServed(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) {
		size := modelMiB * megabytesPerMiB
		o.Engine.Models = []protocol.Model{{Name: "listed", SizeMB: size, LoadS: 0.15, DiskLoadS: 0.05, Adapters: 2, AdapterSizeMB: 1}}
	})
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 1)
	for _, model := range []string{"listed", "listed/a1", "listed/a2"} {
		id := newID()
		got := send(t.Context(), nodes[0], clientRequest{ID: id, Path: "/draft/x", Model: model, Events: 4, Deadline: 15 * time.Second})
		assert.Assert(t, got.Complete, "%+v", got)
		assert.Equal(t, got.Body, expectedEvents(id, 4))
	}
	c := call{Model: "listed", Prompt: "chat", Tokens: 3}
	assertServed(t, c, ask(t.Context(), nodes[0], c, nil))
}

// TestSilentRunnerIsReplaced: the only runner that holds a model goes silent while the
// platform still lists it. The model is loaded at another runner, within its maximum, and
// the first runner serves again once it answers. This failed when the silent replica
// counted as serving, so that no other was loaded.
func TestSilentRunnerIsReplaced(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 3, model("alpha", 2)...)
	number := 0
	next := func() (call, outcome) {
		number++
		c := call{Model: "alpha", Prompt: fmt.Sprintf("p%d", number), Tokens: 2, Deadline: 5 * time.Second}
		return c, ask(t.Context(), nodes[number%len(nodes)], c, nil)
	}
	c, got := next()
	assertServed(t, c, got)
	holders := runnersHolding(t, nodes[0], "alpha")
	assert.Equal(t, len(holders), 1)
	silent := w.Runners[holders[0]]
	silent.Proxy.Set(faultproxy.Silence)
	waitUntil(t, "another runner serves", func() error {
		if _, got := next(); !got.Served {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	silent.Proxy.Heal()
	waitUntil(t, "two runners hold the model", func() error {
		if holders := runnersHolding(t, nodes[0], "alpha"); len(holders) != 2 {
			return fmt.Errorf("%v", holders)
		}
		return nil
	})
	assert.Assert(t, readHistory(t, w).maxReplicas("alpha") <= 2)
}
