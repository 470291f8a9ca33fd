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
	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
)

// sendInBackground sends a request and returns a channel that receives its outcome.
func sendInBackground(ctx context.Context, node *world.Node, c call, progress func(outcome)) <-chan outcome {
	result := make(chan outcome, 1)
	go func() { result <- ask(ctx, node, c, progress) }()
	return result
}

// awaitOutcome returns the outcome of a request in the background.
func awaitOutcome(t *testing.T, result <-chan outcome) outcome {
	t.Helper()
	select {
	case got := <-result:
		return got
	case <-time.After(waitTimeout):
		t.Fatal("a request did not reach its final outcome")
		return outcome{}
	}
}

// stuckModel creates a model that no runner finishes loading, so that requests wait.
// release lets the load proceed.
func stuckModel(t *testing.T, w *world.World, node *world.Node, name string) (release func()) {
	t.Helper()
	for id := range w.Runners {
		assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{OrderLostShare: 1, LateMs: int(time.Hour.Milliseconds())}))
	}
	apply(t, node, model(name, 1)...)
	return func() {
		for id := range w.Runners {
			assert.NilError(t, w.SetRunnerFaults(id, runnerstub.Faults{}))
		}
	}
}

// waitQueued waits until at least count requests wait at a node.
func waitQueued(t *testing.T, node *world.Node, count int) {
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

// TestWaitingRequestsEndWhenModelIsDeleted: requests that wait for a model are refused as
// not run once the model is deleted, long before their deadline.
func TestWaitingRequestsEndWhenModelIsDeleted(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 2)
	stuckModel(t, w, nodes[0], "alpha")
	waitKnown(t, "alpha", nodes...)
	var waiting []<-chan outcome
	for index := range 4 {
		c := call{Model: "alpha", Prompt: fmt.Sprintf("p%d", index), Tokens: 2, Deadline: time.Hour, Class: "patient"}
		waiting = append(waiting, sendInBackground(t.Context(), nodes[index%2], c, nil))
	}
	waitQueued(t, nodes[0], 2)
	waitQueued(t, nodes[1], 2)
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	_, err = nodes[0].Client().Submit(t.Context(), operator.Submission{Operation: "test-" + rand.Text(), Delete: []api.Object{object}})
	assert.NilError(t, err)
	h := readHistory(t, w)
	for _, result := range waiting {
		got := awaitOutcome(t, result)
		assert.Equal(t, got.Code, fault.CodeUnknownModel)
		assert.Equal(t, got.Ran, "no")
		h.assertTruthful(t, call{}, got)
	}
}

// TestWaitingRequestsAreRefusedInTime: a request whose deadline passes while it waits is
// refused with a time to retry. A patient one keeps waiting and is served when the load
// completes.
func TestWaitingRequestsAreRefusedInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 2)
	release := stuckModel(t, w, nodes[0], "alpha")
	waitKnown(t, "alpha", nodes...)
	patient := call{Model: "alpha", Prompt: "patient", Tokens: 2, Deadline: time.Hour, Class: "patient"}
	served := sendInBackground(t.Context(), nodes[1], patient, nil)
	waitQueued(t, nodes[1], 1)
	for _, class := range []string{"urgent", "interactive", "ordinary"} {
		got := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: class, Tokens: 2, Deadline: time.Second, Class: class}, nil)
		assert.Equal(t, got.Code, fault.CodeDeadline)
		assert.Equal(t, got.Ran, "no")
		assert.Assert(t, got.RetryAfter != "")
	}
	release()
	assertServed(t, patient, awaitOutcome(t, served))
}

// TestWaitingRequestsEndWhenNodeDies: the connection of a caller ends when its node is
// killed. Requests at other nodes are served.
func TestWaitingRequestsEndWhenNodeDies(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 3)
	release := stuckModel(t, w, nodes[0], "alpha")
	waitKnown(t, "alpha", nodes...)
	lost := call{Model: "alpha", Prompt: "lost", Tokens: 2, Deadline: time.Hour}
	kept := call{Model: "alpha", Prompt: "kept", Tokens: 2, Deadline: time.Hour}
	lostResult := sendInBackground(t.Context(), nodes[2], lost, nil)
	keptResult := sendInBackground(t.Context(), nodes[0], kept, nil)
	waitQueued(t, nodes[2], 1)
	waitQueued(t, nodes[0], 1)
	nodes[2].Kill()
	got := awaitOutcome(t, lostResult)
	assert.Assert(t, got.Broken, "%+v", got)
	release()
	assertServed(t, kept, awaitOutcome(t, keptResult))
	assert.Equal(t, readHistory(t, w).runsOfPrompt("lost"), 0)
}

// TestWholeAnswersThroughCuts: connections between nodes and runners are reset repeatedly
// while answers stream. Every caller gets the complete answer to its own request, resumed
// where it broke off, or a truthful error.
func TestWholeAnswersThroughCuts(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 2, 2, append(model("alpha", 2), readyPolicy("alpha", 2))...)
	load := startLoad(t, 8, func(who, number int) (*world.Node, call) {
		return nodes[who%2], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 60, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 4)
	for range 10 {
		for _, runner := range w.Runners {
			runner.Proxy.Reset()
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
	t.Logf("%d of %d requests served completely through 20 cuts", served, len(load.outcomes))
}

// TestNotRunIsTrueThroughFaults: runners are killed, cut off and frozen while requests
// arrive. No request that is refused as not run has run at any runner, and requests that
// must not be repeated run at most once.
func TestNotRunIsTrueThroughFaults(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 3, append(model("alpha", 3), readyPolicy("alpha", 3))...)
	load := startLoad(t, 9, func(who, number int) (*world.Node, call) {
		c := call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 30, Deadline: 2 * time.Second}
		if who%3 == 0 {
			c.Key = c.Prompt
		}
		return nodes[who%3], c
	})
	load.waitServed(t, 5)
	w.Runners["runner-1"].Proxy.Block()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, w.Runners["runner-2"].Freeze())
	time.Sleep(2 * time.Second)
	w.Runners["runner-1"].Proxy.Set(faultproxy.SilenceResponses)
	time.Sleep(time.Second)
	w.Runners["runner-1"].Proxy.Heal()
	assert.NilError(t, w.Runners["runner-2"].Thaw())
	load.waitServed(t, 10)
	killed := killRunner(t, w, "runner-3")
	load.waitServed(t, 10)
	load.finish()
	h := readHistory(t, w, killed)
	load.assertTruthful(t, h)
	refused := 0
	for index, got := range load.outcomes {
		if got.Ran == "no" {
			refused++
		}
		if load.calls[index].Key != "" {
			assert.Assert(t, h.runsOfPrompt(load.calls[index].Prompt) <= 1, "%s ran twice", load.calls[index].Prompt)
		}
	}
	t.Logf("%d requests, %d refused as not run", len(load.outcomes), refused)
}

// TestOnceUnderRaces: the same idempotency key arrives at all nodes at once, repeatedly,
// while one node is frozen and resumed, another one killed, and the store loses answers. No
// key runs twice.
func TestOnceUnderRaces(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 4, append(model("alpha", 3), readyPolicy("alpha", 3))...)
	first := call{Model: "alpha", Prompt: "first", Tokens: 2}
	assertServed(t, first, ask(t.Context(), nodes[0], first, nil))
	const keys = 40
	var mutex sync.Mutex
	served := make(map[string]int)
	count := func(key string, got outcome) {
		mutex.Lock()
		defer mutex.Unlock()
		if got.Served {
			served[key]++
		}
	}
	var group sync.WaitGroup
	for number := range keys {
		switch number {
		case keys / 4:
			assert.NilError(t, nodes[3].Freeze())
			assert.NilError(t, w.SetStoreFaults(storestub.Faults{LostShare: 0.3, LateShare: 0.2}))
		case keys / 2:
			assert.NilError(t, nodes[3].Thaw())
			assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
		case 3 * keys / 4:
			nodes[2].Kill()
		}
		key := fmt.Sprintf("key-%d", number)
		for _, node := range nodes {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				count(key, ask(ctx, node, call{Model: "alpha", Prompt: key, Tokens: 3, Key: key, Deadline: 10 * time.Second}, nil))
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	// Whatever the earlier outcome of each key, another request with it must not run it
	// twice.
	for number := range keys {
		key := fmt.Sprintf("key-%d", number)
		count(key, ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: key, Tokens: 3, Key: key, Deadline: 10 * time.Second}, nil))
	}
	h := readHistory(t, w)
	ran := 0
	for number := range keys {
		key := fmt.Sprintf("key-%d", number)
		assert.Assert(t, h.runsOfPrompt(key) <= 1, "%s ran %d times", key, h.runsOfPrompt(key))
		assert.Assert(t, served[key] <= 1, "%s was served %d times", key, served[key])
		ran += h.runsOfPrompt(key)
	}
	assert.Assert(t, ran > 0)
	t.Logf("%d of %d keys ran, none twice", ran, keys)
}

// TestClaimsNeedTheStore: while the store is down, requests that must not be repeated are
// refused as not run, and all others are served.
func TestClaimsNeedTheStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 1)
	apply(t, nodes[0], model("alpha", 1)...)
	warm := call{Model: "alpha", Prompt: "warm", Tokens: 2}
	assertServed(t, warm, ask(t.Context(), nodes[0], warm, nil))
	for _, down := range []storestub.Rejection{storestub.Busy, storestub.Reset, storestub.Silent} {
		assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: down}))
		got := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: "once-" + string(down), Tokens: 2, Key: "once-" + string(down)}, nil)
		assert.Equal(t, got.Code, fault.CodeClaimsUnavailable, "%s: %+v", down, got)
		assert.Equal(t, got.Ran, "no")
		plain := call{Model: "alpha", Prompt: "plain-" + string(down), Tokens: 2}
		assertServed(t, plain, ask(t.Context(), nodes[0], plain, nil))
		assert.Equal(t, readHistory(t, w).runsOfPrompt("once-"+string(down)), 0)
		assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	}
}
