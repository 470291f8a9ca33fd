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

// regionState returns a state with the first half of the runners in north and the rest in
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

// addWaitingIn adds waiting requests for a unit: restricted ones with the homes and
// unrestricted ones without.
func addWaitingIn(state *State, unit backend.Unit, homes place.Homes, restricted, unrestricted int) {
	units := []backend.Unit{unit}
	if unit.Adapter != "" {
		units = append(units, backend.Unit{Model: unit.Model})
	}
	for _, unit := range units {
		state.Demand[unit] = &Demand{Waiting: restricted + unrestricted, Left: time.Second, LastUse: testNow}
		state.Parts[unit] = []Part{{Homes: homes, Demand: &Demand{Waiting: restricted, Left: time.Second, LastUse: testNow}}}
		if unrestricted > 0 {
			state.Parts[unit] = append(state.Parts[unit], Part{Demand: &Demand{Waiting: unrestricted, Left: time.Second, LastUse: testNow}})
		}
	}
}

// TestReplicaElsewhereDoesNotServe checks that waiting requests with homes get a replica there
// even if a runner elsewhere holds the model or has a nearer copy of the weights.
func TestReplicaElsewhereDoesNotServe(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].hold("m0")
	state.Runners[1].Host["m0"] = true
	addWaitingIn(state, backend.Unit{Model: "m0"}, inSouth, 1, 0)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r2")
	_, expected := plan.Ready[Want{Unit: backend.Unit{Model: "m0"}, Homes: inSouth}]
	assert.Assert(t, expected)
	addWaitingIn(state, backend.Unit{Model: "m0"}, inNorth, 1, 0)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestOneLoadServesHomesAndOthers checks that a load for requests with homes also serves
// requests without homes.
func TestOneLoadServesHomesAndOthers(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].Host["m0"] = true
	addWaitingIn(state, backend.Unit{Model: "m0"}, inSouth, 1, 5)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r2")
}

// TestNoMemoryInHomes checks that requests with homes cause no load elsewhere when no runner
// in their homes has memory for it, while requests without homes are still served.
func TestNoMemoryInHomes(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[2].Drained, state.Runners[3].Silent = true, true
	addWaitingIn(state, backend.Unit{Model: "m0"}, inSouth, 3, 0)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	addWaitingIn(state, backend.Unit{Model: "m0"}, inSouth, 3, 1)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r0")
}

// TestHomesWithoutRunners checks that homes in regions without runners cause no load.
func TestHomesWithoutRunners(t *testing.T) {
	state := regionState(4, 1)
	addWaitingIn(state, backend.Unit{Model: "m0"}, place.NewHomes([]place.Region{"west"}), 3, 0)
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestWorkOfHomesGetsReplicasThere checks that a high load of requests with homes adds a
// replica there, and that load beyond the capacity of the homes adds none elsewhere.
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

// TestLastReplicaInHomesStays checks that a replica is cheap to evict if it is one of several
// for its homes, and expensive if it is the only one there.
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
	addWaiting(state, backend.Unit{Model: "m2"})
	p := newPlanner(state)
	assert.Assert(t, p.unloadCost(state.Runners[1], "m0") > p.unloadCost(state.Runners[1], "m1"), "the only replica in the homes")
	assert.Assert(t, p.unloadCost(state.Runners[0], "m0") < p.unloadCost(state.Runners[0], "m1"), "a replica outside the homes")
}

// TestAdapterIsLoadedInHomes checks that an adapter held elsewhere does not serve requests
// with homes: it is loaded on a runner in the homes that holds its model.
func TestAdapterIsLoadedInHomes(t *testing.T) {
	state := regionState(4, 1)
	adapter := backend.Unit{Model: "m0", Adapter: "a"}
	state.Runners[0].hold("m0").Adapters["a"] = &Adapter{}
	state.Runners[1].hold("m0")
	addWaitingIn(state, adapter, inSouth, 1, 1)
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Unit, backend.Unit{Model: "m0"}, "the model must be loaded before its adapter")
	assert.Equal(t, plan.Steps[0].Runner, "r2")
	state.Runners[3].hold("m0")
	plan = MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Unit, adapter)
	assert.Equal(t, plan.Steps[0].Runner, "r3")
}

// TestPlansStayInHomes checks with random states that units requested only with homes are
// loaded only on runners in those homes.
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
			restricted := rapid.SampledFrom([]place.Homes{inNorth, inSouth, place.NewHomes([]place.Region{"north", "south"})}).Draw(t, "homes")
			addWaitingIn(state, unit, restricted, rapid.IntRange(0, 3).Draw(t, "waiting"), 0)
			work := rapid.Float64Range(0, 3).Draw(t, "work")
			for _, u := range []backend.Unit{unit, {Model: unit.Model}} {
				homes[u] = restricted
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

// TestModelIsLoadedInRegionOfWaitingRequests checks that among runners of equal cost one in
// the region of the waiting requests is chosen, but not over a runner with a nearer copy of
// the weights.
func TestModelIsLoadedInRegionOfWaitingRequests(t *testing.T) {
	state := regionState(4, 1)
	addWaiting(state, backend.Unit{Model: "m0"})
	demand := state.Demand[backend.Unit{Model: "m0"}]
	demand.Waiting, demand.From = 3, map[place.Region]int{"south": 2, "north": 1}
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r2")
	state.Runners[2].Active, state.Runners[3].Active = 1, 1
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r2")
	state.Runners[1].Disk["m0"] = true
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r1")
}

// TestAdapterIsLoadedInRegionOfWaitingRequests checks the same for adapters.
func TestAdapterIsLoadedInRegionOfWaitingRequests(t *testing.T) {
	state := regionState(4, 1)
	adapter := backend.Unit{Model: "m0", Adapter: "a"}
	addWaiting(state, adapter)
	state.Demand[adapter].From = map[place.Region]int{"south": 1}
	state.Runners[0].hold("m0")
	state.Runners[3].hold("m0").Active = 1
	state.Runners[3].Active = 1
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r3")
	state.Runners[3].Active = 9
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r0")
}

// TestZoneOutElsewhereCausesNoLoadInHomes checks that a model served only outside the homes is
// not loaded in them because a zone elsewhere is out: it was never loaded in the homes.
func TestZoneOutElsewhereCausesNoLoadInHomes(t *testing.T) {
	state := regionState(4, 1)
	state.Runners[0].Out = true
	state.Runners[0].hold("m0")
	unit := backend.Unit{Model: "m0"}
	state.Demand[unit] = rateDemand(2)
	state.Parts[unit] = []Part{{Homes: inSouth, Demand: rateDemand(2)}}
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Parts[unit] = []Part{{Homes: inNorth, Demand: rateDemand(2)}}
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Runner, "r1")
}
