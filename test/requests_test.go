package test

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
)

// inBackground sends a request and returns a channel with its outcome.
func inBackground(ctx context.Context, node *world.Node, c call, progress func(outcome)) <-chan outcome {
	result := make(chan outcome, 1)
	go func() { result <- ask(ctx, node, c, progress) }()
	return result
}

// await returns the outcome of a request in the background.
func await(t *testing.T, result <-chan outcome) outcome {
	t.Helper()
	select {
	case got := <-result:
		return got
	case <-time.After(patience):
		t.Fatal("a request did not reach its final outcome")
		return outcome{}
	}
}

// stuckModel declares a model whose only runner cannot finish loading it, so
// that requests wait.
func stuckModel(t *testing.T, w *world.World, node *world.Node, name string) {
	t.Helper()
	assert.NilError(t, w.SlowWeights(10000))
	apply(t, node, model(name, 1, 300)...)
	waitGranted(t, name, 1, node)
}

// waitWaiting waits until requests wait at a node.
func waitWaiting(t *testing.T, node *world.Node, count int) {
	t.Helper()
	waitUntil(t, "requests wait", func() error {
		status, err := node.Client().Status(t.Context())
		if err != nil {
			return err
		}
		total := 0
		for _, waiting := range status.Waiting {
			total += waiting
		}
		if total < count {
			return fmt.Errorf("%d wait", total)
		}
		return nil
	})
}

// TestWaitingRequestsEndWhenModelIsDeleted: requests that wait for a model are
// refused as not run once the model is deleted, long before their deadline.
func TestWaitingRequestsEndWhenModelIsDeleted(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 1, 1000)
	nodes := startNodes(t, w, 2)
	stuckModel(t, w, nodes[0], "alpha")
	var waiting []<-chan outcome
	for index := range 4 {
		c := call{Model: "alpha", Prompt: fmt.Sprintf("p%d", index), Tokens: 2, Deadline: time.Hour, Class: "patient"}
		waiting = append(waiting, inBackground(t.Context(), nodes[index%2], c, nil))
	}
	waitWaiting(t, nodes[0], 2)
	waitWaiting(t, nodes[1], 2)
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	_, err = nodes[0].Client().Submit(t.Context(), operator.Submission{Operation: "test-" + rand.Text(), Delete: []api.Object{object}})
	assert.NilError(t, err)
	h := readHistory(t, w)
	for _, result := range waiting {
		got := await(t, result)
		assert.Equal(t, got.Code, fault.CodeUnknownModel)
		assert.Equal(t, got.Ran, "no")
		h.assertTruthful(t, call{}, got)
	}
}

// TestWaitingRequestsAreRefusedInTime: a request whose deadline cannot be met is
// refused with the time to come back, and a waiting one at its deadline at the
// latest; a patient one goes on waiting and is served when the store recovers.
func TestWaitingRequestsAreRefusedInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 1, 1000)
	nodes := startNodes(t, w, 2)
	stuckModel(t, w, nodes[0], "alpha")
	patient := call{Model: "alpha", Prompt: "patient", Tokens: 2, Deadline: time.Hour, Class: "patient"}
	served := inBackground(t.Context(), nodes[1], patient, nil)
	waitWaiting(t, nodes[1], 1)
	for _, class := range []string{"urgent", "interactive", "ordinary"} {
		got := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: class, Tokens: 2, Deadline: time.Second, Class: class}, nil)
		assert.Equal(t, got.Code, fault.CodeDeadline)
		assert.Equal(t, got.Ran, "no")
		assert.Assert(t, got.Retry != "")
	}
	assert.NilError(t, w.SlowWeights(1))
	assertServed(t, patient, await(t, served))
}

// TestWaitingRequestsEndWhenNodeDies: a caller whose node is killed sees its
// connection end; requests at other nodes are served.
func TestWaitingRequestsEndWhenNodeDies(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 3)
	stuckModel(t, w, nodes[0], "alpha")
	lost := call{Model: "alpha", Prompt: "lost", Tokens: 2, Deadline: time.Hour}
	kept := call{Model: "alpha", Prompt: "kept", Tokens: 2, Deadline: time.Hour}
	lostResult := inBackground(t.Context(), nodes[2], lost, nil)
	keptResult := inBackground(t.Context(), nodes[0], kept, nil)
	waitWaiting(t, nodes[2], 1)
	waitWaiting(t, nodes[0], 1)
	nodes[2].Kill()
	got := await(t, lostResult)
	assert.Assert(t, got.Broken, "%+v", got)
	assert.NilError(t, w.SlowWeights(1))
	assertServed(t, kept, await(t, keptResult))
	h := readHistory(t, w)
	assert.Equal(t, h.runs("lost"), 0)
}

// TestWholeAnswersThroughCuts: connections between nodes and runners are cut
// again and again while answers stream; every caller gets the whole answer to
// its own request, resumed where it broke, or a truthful error.
func TestWholeAnswersThroughCuts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 2)
	apply(t, nodes[0], model("alpha", 2, 300)...)
	load := startBackground(t, 8, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 60, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 4)
	for range 10 {
		for _, engine := range w.Engines {
			engine.Proxy.Block()
			engine.Proxy.Heal()
		}
		time.Sleep(250 * time.Millisecond)
	}
	load.waitServed(t, 8)
	load.finish()
	h := readHistory(t, w)
	load.assertTruthful(t, h)
	served := 0
	for _, got := range load.outcomes {
		assert.Assert(t, !got.Broken, "%+v", got)
		if got.Served {
			served++
		}
	}
	t.Logf("%d of %d requests served whole through 20 cuts", served, len(load.outcomes))
}

// TestNotRunIsTrueThroughFaults: runners are killed, cut off and frozen while
// requests come; whatever is refused as not run was not run by any engine.
func TestNotRunIsTrueThroughFaults(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 2, 300)...)
	load := startBackground(t, 9, func(who, number int) (*world.Node, call) {
		c := call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 30, Deadline: 2 * time.Second}
		if who%3 == 0 {
			c.Key = c.Prompt
		}
		return nodes[who%3], c
	})
	load.waitServed(t, 5)
	grant, err := grantOf(t.Context(), nodes[0], "alpha")
	assert.NilError(t, err)
	cut, frozen := w.Engines[grant.Items[0].Runner], w.Engines[grant.Items[1].Runner]
	cut.Proxy.Block()
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, frozen.Freeze())
	time.Sleep(3 * time.Second)
	cut.Proxy.Heal()
	assert.NilError(t, frozen.Thaw())
	load.waitServed(t, 10)
	death := killEngine(t, w, grant.Items[0].Runner)
	load.waitServed(t, 10)
	load.finish()
	h := readHistory(t, w, death)
	load.assertTruthful(t, h)
	refused := 0
	for index, got := range load.outcomes {
		if got.Ran == "no" {
			refused++
		}
		if load.calls[index].Key != "" {
			assert.Assert(t, h.runs(load.calls[index].Prompt) <= 1, "%s ran twice", load.calls[index].Prompt)
		}
	}
	t.Logf("%d requests, %d refused as not run", len(load.outcomes), refused)
}

// TestOnceUnderRaces: the same key arrives at all nodes at once, again and
// again, while one node is frozen and thawed and another one killed; no key runs
// twice, and a key that was refused everywhere as not run may run later.
func TestOnceUnderRaces(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 4)
	apply(t, nodes[0], model("alpha", 3, 300)...)
	waitClaims(t, nodes)
	const keys = 40
	var mutex sync.Mutex
	served := make(map[string]int)
	var group sync.WaitGroup
	for number := range keys {
		switch number {
		case keys / 4:
			assert.NilError(t, nodes[3].Freeze())
		case keys / 2:
			assert.NilError(t, nodes[3].Thaw())
		case 3 * keys / 4:
			nodes[2].Kill()
		}
		key := fmt.Sprintf("key-%d", number)
		for _, node := range nodes {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				got := ask(ctx, node, call{Model: "alpha", Prompt: key, Tokens: 3, Key: key, Deadline: 10 * time.Second}, nil)
				mutex.Lock()
				defer mutex.Unlock()
				if got.Served {
					served[key]++
				}
			})
		}
		time.Sleep(150 * time.Millisecond)
	}
	group.Wait()
	// Whatever became of each key before, asking once more runs none twice.
	for number := range keys {
		key := fmt.Sprintf("key-%d", number)
		got := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: key, Tokens: 3, Key: key, Deadline: 10 * time.Second}, nil)
		if got.Served {
			served[key]++
		}
	}
	h := readHistory(t, w)
	ran := 0
	for number := range keys {
		key := fmt.Sprintf("key-%d", number)
		assert.Assert(t, h.runs(key) <= 1, "%s ran %d times", key, h.runs(key))
		assert.Assert(t, served[key] <= 1, "%s was served %d times", key, served[key])
		ran += h.runs(key)
	}
	assert.Assert(t, ran > 0)
	t.Logf("%d of %d keys ran, none twice", ran, keys)
}

// waitClaims waits until the claim groups are committed and known to all nodes,
// with three members each.
func waitClaims(t *testing.T, nodes []*world.Node) {
	t.Helper()
	waitUntil(t, "claim groups are complete", func() error {
		for _, node := range nodes {
			objects, err := node.Client().List(t.Context(), api.KindClaimGroup)
			if err != nil {
				return err
			}
			if len(objects) == 0 {
				return fmt.Errorf("no groups at %s", node.Name)
			}
			for _, object := range objects {
				group, err := api.Decode[api.ClaimGroup](object)
				if err != nil {
					return err
				}
				if len(group.Members) < min(3, len(nodes)) {
					return fmt.Errorf("%s has %d members", object.Name, len(group.Members))
				}
			}
		}
		return nil
	})
}
