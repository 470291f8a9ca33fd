package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/backend"
)

// rateDemand returns a demand with a rate in requests per second and no waiting requests.
func rateDemand(rate float64) *Demand {
	return &Demand{Rate: rate, Work: rate / 10, LastUse: testNow}
}

// TestZoneOutIsEvacuated checks that models served only by a zone that is out are loaded
// elsewhere, the most valuable first, and that nothing in the zone is unloaded.
func TestZoneOutIsEvacuated(t *testing.T) {
	state := testState(3, 4)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0")
	state.Runners[0].hold("m1")
	state.Demand[backend.Unit{Model: "m0"}] = rateDemand(0.2)
	state.Demand[backend.Unit{Model: "m1"}] = rateDemand(2)
	state.Demand[backend.Unit{Model: "m2"}] = rateDemand(0.2)
	state.KeepAlive = map[string]time.Duration{"m0": 0, "m1": 0}
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 2)
	for i, model := range []string{"m1", "m0"} {
		assert.Equal(t, plan.Steps[i].Action, backend.Load)
		assert.Equal(t, plan.Steps[i].Unit.Model, model)
		assert.Equal(t, plan.Steps[i].Reason, "zone out")
		assert.Assert(t, plan.Steps[i].Runner != "r0")
	}
}

// TestEvacuationLeavesLoadsForWaitingRequests checks that a model without waiting requests
// does not use the last load that the store allows.
func TestEvacuationLeavesLoadsForWaitingRequests(t *testing.T) {
	state := testState(2, 2)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0")
	state.Demand[backend.Unit{Model: "m0"}] = rateDemand(2)
	state.Loads = loadsReservedForWaiting
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	addWaiting(state, backend.Unit{Model: "m1"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Unit.Model, "m1")
}

// TestModelServedElsewhereIsNotEvacuated checks that a model also served by another zone is
// not loaded again.
func TestModelServedElsewhereIsNotEvacuated(t *testing.T) {
	state := testState(3, 1)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0")
	state.Runners[1].hold("m0")
	state.Demand[backend.Unit{Model: "m0"}] = rateDemand(0.5)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestAdapterIsLoadedOutsideTheZone checks that an adapter held only in a zone that is out is
// loaded on a runner elsewhere that holds its model, and never in the zone.
func TestAdapterIsLoadedOutsideTheZone(t *testing.T) {
	state := testState(2, 1)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0").Adapters["a"] = &Adapter{}
	addWaiting(state, backend.Unit{Model: "m0", Adapter: "a"})
	for _, step := range MakePlan(state).Steps {
		assert.Assert(t, step.Runner == "r1" && step.Unit.Adapter == "")
	}
	state.Runners[1].hold("m0")
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Runner, "r1")
	assert.Equal(t, steps[0].Unit.Adapter, "a")
}

// TestMaximumShareExcludesZonesOut checks that maximumShare is taken of the runners outside
// zones that are out.
func TestMaximumShareExcludesZonesOut(t *testing.T) {
	state := testState(8, 1)
	busy := &Demand{Rate: 50, Work: 10, LastUse: testNow}
	state.Demand[backend.Unit{Model: "m0"}] = busy
	assert.Equal(t, newPlanner(state).desired("m0", Part{Demand: busy}), 3)
	for _, runner := range state.Runners[:4] {
		runner.Out = true
	}
	assert.Equal(t, newPlanner(state).desired("m0", Part{Demand: busy}), 1)
}

// TestZonesOut checks with random states that a zone that is out gets no loads and no unloads.
func TestZonesOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := testState(rapid.IntRange(1, 8).Draw(t, "runners"), rapid.IntRange(1, 10).Draw(t, "models"))
		state.Loads = rapid.IntRange(0, 6).Draw(t, "loads")
		state.KeepAlive = make(map[string]time.Duration)
		out := make(map[string]bool)
		for _, runner := range state.Runners {
			runner.Out = rapid.Bool().Draw(t, "out")
			runner.Idle = rapid.Bool().Draw(t, "idle")
			out[runner.ID] = runner.Out
			for range rapid.IntRange(0, 2).Draw(t, "held") {
				held := runner.hold(drawModel(t, state))
				held.Loading = rapid.Bool().Draw(t, "coming")
				held.Adapters["a"] = &Adapter{}
			}
		}
		for range rapid.IntRange(0, 6).Draw(t, "asked") {
			state.Demand[backend.Unit{Model: drawModel(t, state)}] = rateDemand(rapid.Float64Range(0, 5).Draw(t, "rate"))
		}
		for range rapid.IntRange(0, 4).Draw(t, "waiting") {
			addWaiting(state, backend.Unit{Model: drawModel(t, state), Adapter: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter")})
		}
		state.KeepAlive[drawModel(t, state)] = 0
		state.Intents = map[string]Intent{"r0": {Model: drawModel(t, state), Until: testNow.Add(time.Second)}}
		for _, step := range MakePlan(state).Steps {
			assert.Assert(t, !out[step.Runner], "%s of %s at %s: %s", step.Action, step.Unit, step.Runner, step.Reason)
		}
	})
}

func drawModel(t *rapid.T, state *State) string {
	return fmt.Sprintf("m%d", rapid.IntRange(0, len(state.Engine.Models)-1).Draw(t, "model"))
}

// TestZoneOutsideHomesCausesNoLoad checks that requests with homes cause no load before they
// wait if the zone that is out did not serve them.
func TestZoneOutsideHomesCausesNoLoad(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0")
	state.Runners[1].hold("m0")
	unit := backend.Unit{Model: "m0"}
	state.Demand[unit] = rateDemand(2)
	state.Parts[unit] = []Part{{Homes: inSouth, Demand: rateDemand(2)}}
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Runners[2].Out = true
	state.Runners[2].hold("m0")
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Runner, "r3")
	assert.Equal(t, steps[0].Reason, "zone out")
}
