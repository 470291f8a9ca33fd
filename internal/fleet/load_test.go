package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// TestSlowRunnerIsAvoided checks that of two runners with equal queues the one that works at
// its usual speed is chosen, but only while the slowness that the other reported is fresh.
func TestSlowRunnerIsAvoided(t *testing.T) {
	for name, query := range map[string]Query{
		"plain":  {Service: "s"},
		"engine": {Service: "s", Unit: backend.Unit{Model: "m"}, Prompt: []Part{{ID: "own", Tokens: 4000}}},
	} {
		f, clock := testFleet()
		f.Replace([]backend.Runner{listed("usual", "m"), listed("slow", "m")}, false)
		choose := func() string {
			choice, ok := f.Choose(query)
			assert.Assert(t, ok)
			f.Done(choice, query, Served, 100*time.Millisecond, false)
			return choice.Runner.ID
		}
		for range 40 {
			f.recordResult(f.runners["usual"], query, Served, 100*time.Millisecond)
			f.recordResult(f.runners["slow"], query, Served, 100*time.Millisecond)
		}
		for range 20 {
			f.ObserveWorkload("usual", backend.Workload{Running: 1, Slowness: 1})
			f.ObserveWorkload("slow", backend.Workload{Running: 1, Slowness: 4})
			assert.Equal(t, choose(), "usual", name)
		}
		f.ObserveWorkload("slow", backend.Workload{Running: 1, Slowness: 4})
		clock.now = clock.now.Add(slownessLifetime)
		assert.Equal(t, f.runners["slow"].load.factor(clock.now), 1.0, name)
	}
}
