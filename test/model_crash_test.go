package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// TestModelThatEndsItsRunnersDoesNotEndAll: a model crashed each runner that was ordered to
// load it, and was ordered to the next one as long as requests asked for it. Its loads must
// be paused for longer and longer; its requests get a time to retry, and others are
// served.
func TestModelThatEndsItsRunnersDoesNotEndAll(t *testing.T) {
	t.Parallel()
	runCrashingModel(t, 2, nil)
}

// TestModelThatEndsItsRunnersIsCountedThroughFaults: crashes were not counted for runners
// whose orders got no answer, and those before the lease holder's own end or pause were
// forgotten.
func TestModelThatEndsItsRunnersIsCountedThroughFaults(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(*endsSeed, 0))
	pause := 200*time.Millisecond + time.Duration(random.Int64N(int64(800*time.Millisecond)))
	waitCrashes := func(t *testing.T, w *world.World, count int) {
		t.Helper()
		waitUntil(t, "runners crashed", func() error {
			if ended := len(eventTimes(readHistory(t, w), journal.EventCrash)); ended < count {
				return fmt.Errorf("%d runners crashed", ended)
			}
			return nil
		})
	}
	for name, disturb := range map[string]func(t *testing.T, w *world.World, holder *world.Node){
		"orders without answers": func(t *testing.T, w *world.World, _ *world.Node) {
			for index := range crashingModelRunners {
				assert.NilError(t, w.SetRunnerFaults(fmt.Sprintf("runner-%d", index+1), runnerstub.Faults{OrderLostShare: 1}))
			}
		},
		"holder stands still": func(t *testing.T, w *world.World, holder *world.Node) {
			waitCrashes(t, w, 1)
			assert.NilError(t, holder.Freeze())
			time.Sleep(pause)
			assert.NilError(t, holder.Thaw())
		},
		"holder ends": func(t *testing.T, w *world.World, holder *world.Node) {
			waitCrashes(t, w, 3)
			waitUntil(t, "the holder counted the crashes", func() error {
				return loggedBy(t, w, "runner ended as it loaded a model", `"pausedMs":1`, holder)
			})
			// Other nodes report to the holder, and receive its counts, several times a
			// second.
			time.Sleep(500 * time.Millisecond)
			holder.Kill()
		},
	} {
		t.Run(name, func(t *testing.T) { runCrashingModel(t, 3, disturb) })
	}
}

// endsSeed determines how long the holder is frozen.
var endsSeed = flag.Uint64("ends.seed", 1, "seed of the pause of the holder while a model crashes its runners")

// crashingModelRunners is the number of runners that a model may crash.
const crashingModelRunners = 6

// runCrashingModel requests a model that crashes its runners from the nodes, while disturb
// affects the holder of the control lease, which then gets no requests.
func runCrashingModel(t *testing.T, count int, disturb func(t *testing.T, w *world.World, holder *world.Node)) {
	t.Helper()
	const (
		runners, crashesBeforePause = crashingModelRunners, 3
		// requestTime is how long requests continue after the third crash: less than loads are
		// paused then.
		requestTime = 7 * time.Second
		// concurrentLoads is how many more runners may be loading the model at the third crash.
		concurrentLoads = 1
	)
	w := newWorld(t, func(o *world.Options) { o.Proxied = false })
	for index := range runners {
		_, err := w.StartRunner(world.RunnerOptions{
			Name: fmt.Sprintf("runner-%d", index+1), Zone: zones[index%len(zones)], MemoryMB: w.Engine.SizeMB, ModelMB: modelMiB * megabytesPerMiB,
			Slots: w.Engine.Slots, TokenTime: 10 * time.Millisecond, LoadTime: 150 * time.Millisecond,
			CrashBy: poisonText, Restart: world.RestartPolicy{After: 500 * time.Millisecond, Renamed: true},
		})
		assert.NilError(t, err)
	}
	nodes := startNodes(t, w, count)
	apply(t, nodes[0], append(model("alpha", 2), readyPolicy("alpha", 2))...)
	apply(t, nodes[0], model(poisonText, 2)...)
	waitKnown(t, "alpha", nodes...)
	waitKnown(t, poisonText, nodes...)
	var holder *world.Node
	if disturb != nil {
		holder = leaseHolder(t, w, nodes[0])
		nodes = slices.DeleteFunc(nodes, func(node *world.Node) bool { return node == holder })
	}
	request := func(model string) call {
		return call{Model: model, Prompt: "words", Tokens: 3, Deadline: 5 * time.Second}
	}
	ctx, end := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	senders.Go(func() {
		for ctx.Err() == nil {
			senders.Go(func() { ask(ctx, nodes[0], request(poisonText), nil) })
			time.Sleep(poisonPause)
		}
	})
	if disturb != nil {
		disturb(t, w, holder)
	}
	var third time.Time
	waitUntil(t, "runners crashed", func() error {
		crashes := eventTimes(readHistory(t, w), journal.EventCrash)
		if len(crashes) < crashesBeforePause {
			return fmt.Errorf("%d runners crashed", len(crashes))
		}
		third = crashes[crashesBeforePause-1]
		return nil
	})
	time.Sleep(time.Until(third.Add(requestTime)))
	end()
	senders.Wait()
	crashes := eventTimes(readHistory(t, w), journal.EventCrash)
	assert.Assert(t, len(crashes) <= crashesBeforePause+concurrentLoads, "%d runners crashed", len(crashes))
	// Another request waits there first, so that the node learns of the pause.
	waiting := sendInBackground(t.Context(), nodes[1], request(poisonText), nil)
	awaitOutcome(t, waiting)
	start := time.Now()
	got := ask(t.Context(), nodes[1], request(poisonText), nil)
	t.Logf("%s after its first request: %+v", time.Since(start), got)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable, "%+v", got)
	back, err := strconv.ParseFloat(got.RetryAfter, 64)
	assert.NilError(t, err)
	assert.Assert(t, back >= 1, "Retry-After is %g s", back)
	assertServed(t, request("alpha"), ask(t.Context(), nodes[1], request("alpha"), nil))
}
