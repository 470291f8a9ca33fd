package test

import (
	"crypto/rand"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
)

// TestAdaptersUnderPressure: adapters of two models compete for the memory of two
// runners while a node is killed and answers of a runner are cut; adapters and
// bases stay within their grants and the memory, and all are served.
func TestAdaptersUnderPressure(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 3)
	const adapters = 6
	for base := range 2 {
		apply(t, nodes[0], model(fmt.Sprintf("base%d", base), 2, 400)...)
	}
	for index := range adapters {
		name := fmt.Sprintf("adapter%d", index)
		apply(t, nodes[0], api.NewObject(api.KindAdapter, name, api.Adapter{Model: fmt.Sprintf("base%d", index%2), Checkpoint: name, MemoryMiB: 150, Replicas: 1}))
	}
	load := startBackground(t, adapters, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: fmt.Sprintf("adapter%d", who), Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 3, Deadline: 30 * time.Second}
	})
	load.waitServed(t, adapters)
	nodes[2].Kill()
	load.waitServed(t, adapters)
	for _, engine := range w.Engines {
		engine.Proxy.Block()
		engine.Proxy.Heal()
	}
	load.waitServed(t, 3*adapters)
	load.finish()
	h := readHistory(t, w)
	h.assertMemory(t)
	for index := range adapters {
		assert.Assert(t, h.most(fmt.Sprintf("adapter%d", index)) <= 1)
	}
	for base := range 2 {
		assert.Assert(t, h.most(fmt.Sprintf("base%d", base)) <= 2)
	}
	load.assertTruthful(t, h)
}

// TestVersionChangesUnderLoad: the active version changes while requests come
// and a node is frozen; once the change is in force at a node its requests run
// under the new version only, and versions together stay within the replicas.
func TestVersionChangesUnderLoad(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 2, 300)...)
	load := startBackground(t, 6, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 30 * time.Second}
	})
	load.waitServed(t, 10)
	assert.NilError(t, nodes[2].Freeze())
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	changed := api.NewObject(api.KindModel, "alpha", api.Model{ActiveVersion: "alpha-v2", Replicas: 2})
	changed.Generation = object.Generation
	apply(t, nodes[0], changed, api.NewObject(api.KindVersion, "alpha-v2", api.Version{Model: "alpha", Checkpoint: "alpha-v2", MemoryMiB: 300}))
	waitUntil(t, "the version is in force", func() error {
		for _, node := range nodes[:2] {
			current, err := node.Client().Get(t.Context(), api.KindModel, "alpha")
			if err != nil {
				return err
			}
			if current.Generation == object.Generation {
				return fmt.Errorf("%s has the old one", node.Name)
			}
		}
		return nil
	})
	load.waitServed(t, 6) // requests that were on their way
	inForce := time.Now()
	assert.NilError(t, nodes[2].Thaw())
	late := call{Model: "alpha", Prompt: "late", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, late, ask(t.Context(), nodes[2], late, nil))
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	for _, record := range h.records {
		old := record.Event == journal.EventRun && record.Version == "alpha-v1"
		assert.Assert(t, !old || record.Time.Before(inForce), "%+v", record)
	}
	assert.Assert(t, h.most("alpha") <= 2)
	h.assertMemory(t)
	load.assertTruthful(t, h)
}

// TestLostClaimGroupRefuses: when two of the three nodes that keep the claims are
// killed at once, requests that may not be repeated are refused as not run, the
// others are served; after an operator's reset all are.
func TestLostClaimGroupRefuses(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 1, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	waitClaims(t, nodes)
	once := call{Model: "alpha", Prompt: "once", Tokens: 2, Key: "once", Deadline: 30 * time.Second}
	assertServed(t, once, ask(t.Context(), nodes[0], once, nil))
	nodes[1].Kill()
	nodes[2].Kill()
	plain := call{Model: "alpha", Prompt: "plain", Tokens: 2, Deadline: 30 * time.Second}
	assertServed(t, plain, ask(t.Context(), nodes[0], plain, nil))
	again := ask(t.Context(), nodes[0], once, nil)
	assert.Equal(t, again.Code, fault.CodeClaimsUnavailable)
	assert.Equal(t, again.Ran, "no")
	waitUntil(t, "the loss shows", func() error {
		status, err := nodes[0].Client().Status(t.Context())
		if err != nil {
			return err
		}
		if status.LostClaims == 0 {
			return fmt.Errorf("no lost shard")
		}
		return nil
	})
	result, err := nodes[0].Client().ResetClaims(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, result.Shards > 0)
	fresh := call{Model: "alpha", Prompt: "fresh", Tokens: 2, Key: "fresh", Deadline: 30 * time.Second}
	assertServed(t, fresh, ask(t.Context(), nodes[0], fresh, nil))
	assert.Equal(t, readHistory(t, w).runs("once"), 1)
}

// TestRegionsLoseEachOther: two regions are cut from each other, one of them from
// the platform too; both go on serving within the grants, and afterwards agree on
// the configuration.
func TestRegionsLoseEachOther(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	regions := [][]*world.Node{}
	for index := range 2 {
		w.Region = fmt.Sprintf("region-%d", index+1)
		zone := fmt.Sprintf("zone-%d", index+1)
		_, err := w.StartEngine(world.EngineOptions{Name: "runner-" + zone, Zone: zone, MemoryMiB: 1000, Slots: 8, TokenTime: 10 * time.Millisecond})
		assert.NilError(t, err)
		var nodes []*world.Node
		for number := range 2 {
			node, err := w.StartNode(fmt.Sprintf("node-%d-%d", index+1, number), zone)
			assert.NilError(t, err)
			nodes = append(nodes, node)
		}
		regions = append(regions, nodes)
	}
	near, far := regions[0], regions[1]
	apply(t, near[0], model("alpha", 2, 300)...)
	waitGranted(t, "alpha", 2, near[0], near[1], far[0], far[1])
	load := startBackground(t, 4, func(who, number int) (*world.Node, call) {
		return regions[who%2][who/2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 10)
	for index, nodes := range regions {
		for _, node := range nodes {
			for _, other := range regions[1-index] {
				node.Proxy.Block(other.IP)
			}
			w.Engines[fmt.Sprintf("runner-zone-%d", 2-index)].Proxy.Block(node.IP)
		}
	}
	w.TableProxy.Block(far[0].IP, far[1].IP)
	w.MachinesProxy.Block(far[0].IP, far[1].IP)
	time.Sleep(4 * time.Second) // until each region takes the other for dead
	for _, nodes := range regions {
		c := call{Model: "alpha", Prompt: "alone", Tokens: 4, Deadline: 20 * time.Second}
		assertServed(t, c, ask(t.Context(), nodes[0], c, nil))
	}
	result, err := near[0].Client().Submit(t.Context(), operator.Submission{Operation: "cut-" + rand.Text(), Apply: []api.Object{
		api.NewObject(api.KindPolicy, "during-cut", api.Policy{Models: []string{"none"}, Ready: "0"}),
	}})
	assert.NilError(t, err)
	load.waitServed(t, 20)
	heal(w, append(append([]*world.Node(nil), near...), far...))
	for _, engine := range w.Engines {
		engine.Proxy.Heal()
	}
	waitInForce(t, result.Revision, "during-cut", near[0], near[1], far[0], far[1])
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	assert.Assert(t, h.most("alpha") <= 2)
	h.assertMemory(t)
	load.assertTruthful(t, h)
}
