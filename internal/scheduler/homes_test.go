package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

var (
	inNorth = place.NewHomes([]place.Region{"north"})
	inSouth = place.NewHomes([]place.Region{"south"})
)

// regionState is a state whose first half of the runners is in the north, the rest in the
// south.
func regionState(runners, models int) *State {
	state := testState(runners, models)
	for index, runner := range state.Runners {
		runner.Region = "north"
		if index >= runners/2 {
			runner.Region = "south"
		}
	}
	state.Parts = make(map[backend.Unit][]Part)
	return state
}

// waitsIn lets requests with homes wait, and others without homes, for a unit.
func waitsIn(state *State, unit backend.Unit, homes place.Homes, bound, free int) {
	units := []backend.Unit{unit}
	if unit.Adapter != "" {
		units = append(units, backend.Unit{Model: unit.Model})
	}
	for _, unit := range units {
		state.Demand[unit] = &Demand{Waiting: bound + free, Left: time.Second, LastUse: testNow}
		state.Parts[unit] = []Part{{Homes: homes, Demand: &Demand{Waiting: bound, Left: time.Second, LastUse: testNow}}}
		if free > 0 {
			state.Parts[unit] = append(state.Parts[unit], Part{Demand: &Demand{Waiting: free, Left: time.Second, LastUse: testNow}})
		}
	}
}

// TestReplicaElsewhereDoesNotServe: what waits with homes gets a replica in them though
// one is held elsewhere, and where the weights are farther.
func TestReplicaElsewhereDoesNotServe(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].hold("m0")
	state.Runners[1].Host["m0"] = true
	waitsIn(state, backend.Unit{Model: "m0"}, inSouth, 1, 0)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r2")
	_, told := plan.Ready[Want{Unit: backend.Unit{Model: "m0"}, Homes: inSouth}]
	assert.Assert(t, told)
	waitsIn(state, backend.Unit{Model: "m0"}, inNorth, 1, 0)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestOneLoadServesHomesAndOthers: requests without homes take what is loaded for those
// with homes.
func TestOneLoadServesHomesAndOthers(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].Host["m0"] = true
	waitsIn(state, backend.Unit{Model: "m0"}, inSouth, 1, 5)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r2")
}

// TestNoRoomInHomes: where no runner in the homes has room, nothing is loaded elsewhere for
// what waits with homes; requests without homes are served.
func TestNoRoomInHomes(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[2].Drained, state.Runners[3].Silent = true, true
	waitsIn(state, backend.Unit{Model: "m0"}, inSouth, 3, 0)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	waitsIn(state, backend.Unit{Model: "m0"}, inSouth, 3, 1)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r0")
}

// TestHomesNobodyHas: homes in regions without runners ask for nothing.
func TestHomesNobodyHas(t *testing.T) {
	state := regionState(4, 1)
	waitsIn(state, backend.Unit{Model: "m0"}, place.NewHomes([]place.Region{"west"}), 3, 0)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestWorkOfHomesGetsReplicasThere: busy requests with homes get another replica in them,
// and no more than these bear anywhere else.
func TestWorkOfHomesGetsReplicasThere(t *testing.T) {
	state := regionState(8, 1)
	state.Runners[4].hold("m0")
	unit := backend.Unit{Model: "m0"}
	state.Demand[unit] = &Demand{Rate: 40, Work: 1.5, LastUse: testNow}
	state.Parts[unit] = []Part{{Homes: inSouth, Demand: &Demand{Rate: 40, Work: 1.5, LastUse: testNow}}, {Demand: &Demand{}}}
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r5")
	for _, runner := range state.Runners[4:] {
		runner.Idle, runner.BusyFor = false, time.Minute
	}
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestLastReplicaInHomesStays: room is made where a replica is one of several in the
// homes, not where it is the only one there.
func TestLastReplicaInHomesStays(t *testing.T) {
	state := regionState(2, 4)
	unit := backend.Unit{Model: "m0"}
	for _, runner := range state.Runners {
		runner.hold("m0")
		runner.hold("m1")
	}
	state.Demand[unit] = &Demand{Rate: 3, Work: 0.3, LastUse: testNow}
	state.Parts[unit] = []Part{{Homes: inSouth, Demand: &Demand{Rate: 3, Work: 0.3, LastUse: testNow}}, {Demand: &Demand{}}}
	state.Demand[backend.Unit{Model: "m1"}] = &Demand{Rate: 2, Work: 0.2, LastUse: testNow}
	state.Runners[0].Idle = false
	waits(state, backend.Unit{Model: "m2"})
	p := newPlanner(state)
	assert.Assert(t, p.loss(state.Runners[1], "m0") > p.loss(state.Runners[1], "m1"), "the only replica in the homes")
	assert.Assert(t, p.loss(state.Runners[0], "m0") < p.loss(state.Runners[0], "m1"), "a replica outside the homes")
}

// TestAdapterIsLoadedInHomes: an adapter held elsewhere does not serve; it is loaded at a
// runner in the homes that holds its model, and only there.
func TestAdapterIsLoadedInHomes(t *testing.T) {
	state := regionState(4, 1)
	adapter := backend.Unit{Model: "m0", Adapter: "a"}
	state.Runners[0].hold("m0").Adapters["a"] = &Adapter{}
	state.Runners[1].hold("m0")
	waitsIn(state, adapter, inSouth, 1, 1)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Unit, backend.Unit{Model: "m0"}, "the model first")
	assert.Equal(t, plan.Steps[0].Runner, "r2")
	state.Runners[3].hold("m0")
	plan = MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Unit, adapter)
	assert.Equal(t, plan.Steps[0].Runner, "r3")
}

// TestPlansStayInHomes: whatever the state, a load of something that is asked for with
// homes alone is at a runner in them.
func TestPlansStayInHomes(t *testing.T) {
	regions := []place.Region{"north", "south", ""}
	rapid.Check(t, func(t *rapid.T) {
		state := regionState(rapid.IntRange(1, 6).Draw(t, "runners"), 4)
		homes := make(map[backend.Unit]place.Homes)
		for _, runner := range state.Runners {
			runner.Region = rapid.SampledFrom(regions).Draw(t, "region")
			runner.Idle = rapid.Bool().Draw(t, "idle")
			runner.Drained = rapid.IntRange(0, 5).Draw(t, "drained") == 0
			for model := range rapid.IntRange(0, 2).Draw(t, "held") {
				runner.hold(fmt.Sprintf("m%d", model))
			}
		}
		for model := range 4 {
			unit := backend.Unit{Model: fmt.Sprintf("m%d", model)}
			if rapid.Bool().Draw(t, "adapter") {
				unit.Adapter = "a"
			}
			bound := rapid.SampledFrom([]place.Homes{inNorth, inSouth, place.NewHomes([]place.Region{"north", "south"})}).Draw(t, "homes")
			waitsIn(state, unit, bound, rapid.IntRange(0, 3).Draw(t, "waiting"), 0)
			work := rapid.Float64Range(0, 3).Draw(t, "work")
			for _, u := range []backend.Unit{unit, {Model: unit.Model}} {
				homes[u] = bound
				state.Demand[u].Work, state.Demand[u].Rate = work, work*10
				state.Parts[u][0].Work, state.Parts[u][0].Rate = work, work*10
				state.Parts[u] = append(state.Parts[u], Part{Demand: &Demand{}})
			}
		}
		byID := make(map[string]*Runner)
		for _, runner := range state.Runners {
			byID[runner.ID] = runner
		}
		for _, step := range MakePlan(state).Steps {
			if step.Action == backend.Load {
				assert.Assert(t, homes[step.Unit].Allows(byID[step.Runner].Region), "%s (%s) at %s in %q, homes %s",
					step.Unit, step.Reason, step.Runner, byID[step.Runner].Region, homes[step.Unit])
			}
		}
	})
}

// TestModelIsLoadedWhereItIsWaitedFor: among like places one in the region of the nodes
// whose requests wait goes first, but not before a copy that is nearer to a runner.
func TestModelIsLoadedWhereItIsWaitedFor(t *testing.T) {
	state := regionState(4, 1)
	waits(state, backend.Unit{Model: "m0"})
	demand := state.Demand[backend.Unit{Model: "m0"}]
	demand.Waiting, demand.From = 3, map[place.Region]int{"south": 2, "north": 1}
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r2")
	state.Runners[2].Active, state.Runners[3].Active = 1, 1
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r2")
	state.Runners[1].Disk["m0"] = true
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r1")
}

// TestAdapterIsLoadedWhereItIsWaitedFor is the same for adapters.
func TestAdapterIsLoadedWhereItIsWaitedFor(t *testing.T) {
	state := regionState(4, 1)
	adapter := backend.Unit{Model: "m0", Adapter: "a"}
	waits(state, adapter)
	state.Demand[adapter].From = map[place.Region]int{"south": 1}
	state.Runners[0].hold("m0")
	state.Runners[3].hold("m0").Active = 1
	state.Runners[3].Active = 1
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r3")
	state.Runners[3].Active = 9
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r0")
}

// TestZoneOutElsewhereMovesNothingIntoHomes: a model that is served only outside the homes
// was never brought up in them, so a zone that is out there is no reason to load it in them.
func TestZoneOutElsewhereMovesNothingIntoHomes(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0")
	unit := backend.Unit{Model: "m0"}
	state.Demand[unit] = asked(2)
	state.Parts[unit] = []Part{{Homes: inSouth, Demand: asked(2)}}
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Parts[unit] = []Part{{Homes: inNorth, Demand: asked(2)}}
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Runner, "r1")
}
