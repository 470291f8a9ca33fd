package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/world"
)

// background sends requests to a model from several callers until stopped, and
// keeps every outcome.
type background struct {
	stop     context.CancelFunc
	group    sync.WaitGroup
	mutex    sync.Mutex
	calls    []call
	outcomes []outcome
}

func startBackground(t *testing.T, callers int, pick func(caller, number int) (*world.Node, call)) *background {
	ctx, stop := context.WithCancel(t.Context())
	b := &background{stop: stop}
	for caller := range callers {
		b.group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				node, c := pick(caller, number)
				b.add(c, ask(context.Background(), node, c, nil))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	t.Cleanup(func() { b.finish() })
	return b
}

func (b *background) add(c call, got outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.calls = append(b.calls, c)
	b.outcomes = append(b.outcomes, got)
}

// finish stops the callers and waits for their last outcomes.
func (b *background) finish() {
	b.stop()
	b.group.Wait()
}

func (b *background) served() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, got := range b.outcomes {
		if got.Served {
			count++
		}
	}
	return count
}

// waitServed waits until more requests were served than before.
func (b *background) waitServed(t *testing.T, more int) {
	t.Helper()
	before := b.served()
	waitUntil(t, "requests are served", func() error {
		if b.served() < before+more {
			return fmt.Errorf("%d of %d served", b.served()-before, more)
		}
		return nil
	})
}

// assertTruthful checks all outcomes against the history.
func (b *background) assertTruthful(t *testing.T, h history) {
	t.Helper()
	for index, got := range b.outcomes {
		h.assertTruthful(t, b.calls[index], got)
	}
}

// ownerOf returns the node that owns a runner, as another node sees it.
func ownerOf(t *testing.T, w *world.World, node *world.Node, runner string) *world.Node {
	t.Helper()
	var owner *world.Node
	waitUntil(t, "runner has an owner", func() error {
		runners, err := node.Client().Runners(t.Context(), runner)
		if err != nil {
			return err
		}
		if len(runners) == 0 || w.Nodes[runners[0].Owner] == nil {
			return fmt.Errorf("no owner: %+v", runners)
		}
		owner = w.Nodes[runners[0].Owner]
		return nil
	})
	return owner
}

// other returns a node that is not the one given.
func other(nodes []*world.Node, not *world.Node) *world.Node {
	for _, node := range nodes {
		if node != not {
			return node
		}
	}
	return nil
}

// TestReplicasWhenOwnerFreezes: the owner of a runner is frozen while it loads
// and another takes over; after the thaw the old owner's orders are refused and
// never more replicas are loaded than decided.
func TestReplicasWhenOwnerFreezes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 1, 400)...)
	waitGranted(t, "alpha", 1, nodes...)
	grant, err := grantOf(t.Context(), nodes[0], "alpha")
	assert.NilError(t, err)
	owner := ownerOf(t, w, nodes[0], grant.Items[0].Runner)
	caller := other(nodes, owner)
	load := startBackground(t, 3, func(who, number int) (*world.Node, call) {
		return caller, call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 3)
	assert.NilError(t, owner.Freeze())
	waitUntil(t, "another node owns the runner", func() error {
		if ownerOf(t, w, caller, grant.Items[0].Runner) == owner {
			return fmt.Errorf("still %s", owner.Name)
		}
		return nil
	})
	load.waitServed(t, 5)
	assert.NilError(t, owner.Thaw())
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	assert.Equal(t, h.most("alpha"), 1)
	h.assertMemory(t)
	load.assertTruthful(t, h)
}

// TestReplicasWhileOperatorsChangeThem: replicas go up and down while requests
// come at all nodes and a node is killed; the number in memory never exceeds
// what had been decided, and after the number was lowered and the grants were
// taken back no further replica appears.
func TestReplicasWhileOperatorsChangeThem(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 4, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	load := startBackground(t, 12, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 20, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 5)
	for _, replicas := range []int{3, 1, 4, 1} {
		assert.NilError(t, setReplicas(t.Context(), nodes[1], "alpha", replicas))
		waitGranted(t, "alpha", replicas, nodes[0], nodes[1])
		load.waitServed(t, 10)
		if replicas == 4 {
			nodes[2].Kill()
		}
	}
	lowered := time.Now()
	load.waitServed(t, 20)
	load.finish()
	h := readHistory(t, w)
	assert.Assert(t, h.most("alpha") <= 4, "%d replicas", h.most("alpha"))
	assert.Equal(t, h.mostAfter("alpha", lowered), 1)
	h.assertMemory(t)
	load.assertTruthful(t, h)
}

// TestReplicasWhenGrantMovesFromLostRunner: a runner that cannot be reached
// keeps counting until the platform confirms that it is gone; only then another
// one is granted the model.
func TestReplicasWhenGrantMovesFromLostRunner(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 2)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	first := call{Model: "alpha", Prompt: "one", Tokens: 4}
	assertServed(t, first, ask(t.Context(), nodes[0], first, nil))
	grant, err := grantOf(t.Context(), nodes[0], "alpha")
	assert.NilError(t, err)
	runner := grant.Items[0].Runner
	w.Engines[runner].Proxy.Block()
	waitUntil(t, "the runner is known to be unreachable", func() error {
		runners, err := nodes[0].Client().Runners(t.Context(), runner)
		if err != nil {
			return err
		}
		if len(runners) == 0 || runners[0].State != "unreachable" {
			return fmt.Errorf("%+v", runners)
		}
		return nil
	})
	refused := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: "two", Tokens: 4, Deadline: 8 * time.Second}, nil)
	assert.Assert(t, !refused.Served, "served by a runner that was not granted: %+v", refused)
	gone := killEngine(t, w, runner)
	moved := call{Model: "alpha", Prompt: "three", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, moved, ask(t.Context(), nodes[1], moved, nil))
	h := readHistory(t, w, gone)
	assert.Equal(t, h.most("alpha"), 1)
	h.assertTruthful(t, call{}, refused)
}

// TestMemoryUnderPressure: more models than fit compete for few runners while a
// node is killed and another one frozen; no order ever overcommits a runner, and
// all models are served in turn.
func TestMemoryUnderPressure(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 3)
	const models = 6
	for index := range models {
		apply(t, nodes[0], model(fmt.Sprintf("m%d", index), 1, 400)...)
	}
	load := startBackground(t, models, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: fmt.Sprintf("m%d", who), Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 3, Deadline: 30 * time.Second}
	})
	load.waitServed(t, models)
	nodes[2].Kill()
	load.waitServed(t, models)
	assert.NilError(t, nodes[1].Freeze())
	time.Sleep(3 * time.Second) // longer than a member may be suspect
	assert.NilError(t, nodes[1].Thaw())
	load.waitServed(t, 2*models)
	load.finish()
	h := readHistory(t, w)
	h.assertMemory(t)
	for index := range models {
		assert.Assert(t, h.most(fmt.Sprintf("m%d", index)) <= 1)
	}
	load.assertTruthful(t, h)
}
