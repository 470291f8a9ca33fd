package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fleet"
)

// probingJob is a job whose model is held by two runners that report the given load.
func probingJob(report func(id string) (backend.Report, error), probes *atomic.Int64) *job {
	unit := backend.Unit{Model: "alpha"}
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	holding := []backend.Holding{{Model: unit.Model}}
	runnerFleet.Replace([]backend.Runner{
		{ID: "r1", Service: "s", Slots: 64, Models: holding}, {ID: "r2", Service: "s", Slots: 64, Models: holding}, {ID: "r3", Service: "s", Slots: 64},
	}, false)
	return &job{
		dispatcher: &Dispatcher{Fleet: runnerFleet, Report: func(_ context.Context, runner backend.Runner) (backend.Report, error) {
			probes.Add(1)
			return report(runner.ID)
		}},
		log:    logr.Discard(),
		engine: true,
		query:  fleet.Query{Service: "s", Unit: unit, Prompt: []fleet.Part{{ID: "a", Tokens: 9000}}},
	}
}

// TestShorterQueueIsChosen checks that a request goes to the runner with the shorter queue,
// whatever this node sent before.
func TestShorterQueueIsChosen(t *testing.T) {
	for _, busy := range []string{"r1", "r2"} {
		var probes atomic.Int64
		j := probingJob(func(id string) (backend.Report, error) {
			if id == busy {
				return backend.Report{Queued: 5, Active: 9}, nil
			}
			return backend.Report{Active: 9}, nil
		}, &probes)
		// The queue is measured in requests of the mean size, which is learned from the first one.
		first, _ := j.dispatcher.Fleet.Choose(j.query)
		j.dispatcher.Fleet.Done(first, j.query, fleet.Served, time.Millisecond, true)
		for range 20 {
			choice, ok := j.choose(t.Context())
			assert.Assert(t, ok)
			assert.Assert(t, choice.Runner.ID != busy)
			j.dispatcher.Fleet.Started(choice)
			j.dispatcher.Fleet.Done(choice, j.query, fleet.Served, time.Millisecond, true)
		}
		assert.Equal(t, probes.Load(), int64(40))
	}
}

// TestUnresponsiveRunnerIsSkipped checks that a runner that does not report its load in time gets
// the request only if no other one does.
func TestUnresponsiveRunnerIsSkipped(t *testing.T) {
	var probes atomic.Int64
	j := probingJob(func(id string) (backend.Report, error) {
		if id == "r1" {
			return backend.Report{}, errors.New("silent")
		}
		return backend.Report{Queued: 50}, nil
	}, &probes)
	choice, ok := j.choose(t.Context())
	assert.Assert(t, ok)
	assert.Equal(t, choice.Runner.ID, "r2")
	j = probingJob(func(string) (backend.Report, error) { return backend.Report{}, errors.New("silent") }, &probes)
	_, ok = j.choose(t.Context())
	assert.Assert(t, ok, "the fault is more likely on this side")
}

// TestOnlyRunnerIsNotProbed checks that a single candidate is chosen without a probe.
func TestOnlyRunnerIsNotProbed(t *testing.T) {
	var probes atomic.Int64
	j := probingJob(func(string) (backend.Report, error) { return backend.Report{}, nil }, &probes)
	j.query.Exclude = []string{"r1"}
	choice, ok := j.choose(t.Context())
	assert.Assert(t, ok)
	assert.Equal(t, choice.Runner.ID, "r2")
	assert.Equal(t, probes.Load(), int64(0))
}
