package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/place"
)

var testNow = time.Unix(10_000, 0)

func testState(runners, models int) *State {
	engine := &config.Engine{Slots: 8, ModelMemory: 200, AdapterSlots: 2, LoadsPerSecond: 4, Models: make(map[string]*config.Model)}
	for index := range models {
		name := fmt.Sprintf("m%d", index)
		engine.Models[name] = &config.Model{
			Name: name, Size: 70, AdapterSize: 1, Active: true, MaximumReplicas: config.Unlimited,
			LoadTime: 2 * time.Second, DiskLoadTime: 800 * time.Millisecond, HostLoadTime: 500 * time.Millisecond,
		}
	}
	state := &State{Now: testNow, Engine: engine, Demand: make(map[backend.Unit]*Demand), Loads: 10}
	for index := range runners {
		state.Runners = append(state.Runners, &Runner{
			ID: fmt.Sprintf("r%d", index), Models: make(map[string]*Held), Free: 200, AdapterSlots: 2, Idle: true, Ready: true,
			Host: make(map[string]bool), Disk: make(map[string]bool),
		})
	}
	return state
}

func (r *Runner) hold(model string) *Held {
	held := &Held{Adapters: make(map[string]*Adapter)}
	r.Models[model] = held
	r.Free -= 70
	return held
}

func waits(state *State, unit backend.Unit) {
	state.Demand[unit] = &Demand{Waiting: 1, Left: time.Second, LastUse: testNow}
	if unit.Adapter != "" {
		state.Demand[backend.Unit{Model: unit.Model}] = &Demand{Waiting: 1, Left: time.Second, LastUse: testNow}
	}
}

// TestWaitingModelIsLoadedWhereWeightsAreNear: host memory goes before disk, disk
// before the store.
func TestWaitingModelIsLoadedWhereWeightsAreNear(t *testing.T) {
	state := testState(3, 1)
	waits(state, backend.Unit{Model: "m0"})
	state.Runners[1].Disk["m0"] = true
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r1")
	assert.Assert(t, !plan.Steps[0].FromStore)
	state.Runners[2].Host["m0"] = true
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r2")
}

// TestWeightStoreRateIsKept: no more loads from the store are planned than it
// allows; loads from near copies are not bounded by it.
func TestWeightStoreRateIsKept(t *testing.T) {
	state := testState(6, 6)
	for index := range 6 {
		waits(state, backend.Unit{Model: fmt.Sprintf("m%d", index)})
	}
	state.Loads = 2
	state.Runners[5].Disk["m5"] = true
	fromStore, near := 0, 0
	for _, step := range MakePlan(state).Steps {
		if step.FromStore {
			fromStore++
		} else {
			near++
		}
	}
	assert.Equal(t, fromStore, 2)
	assert.Equal(t, near, 1)
}

// TestRoomIsMadeWhereLeastIsLost: the model that nobody uses makes way, not the
// one in use, and the load that needs the room is remembered.
func TestRoomIsMadeWhereLeastIsLost(t *testing.T) {
	state := testState(1, 4)
	for _, model := range []string{"m0", "m1"} {
		state.Runners[0].hold(model)
	}
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 2, Work: 0.2, LastUse: testNow}
	waits(state, backend.Unit{Model: "m2"})
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Action, backend.Unload)
	assert.Equal(t, plan.Steps[0].Unit.Model, "m1")
	assert.Equal(t, plan.Intents["r0"].Model, "m2")
	delete(state.Runners[0].Models, "m1")
	state.Runners[0].Free += 70
	state.Intents = plan.Intents
	assert.Equal(t, MakePlan(state).Steps[0].Action, backend.Load)
}

// TestNeedWaitsForNearWeights: a runner that keeps the weights on its disk and is
// busy for a moment goes before an idle one that would take them from the store. It
// failed first: any busy runner was passed over.
func TestNeedWaitsForNearWeights(t *testing.T) {
	state := testState(2, 1)
	waits(state, backend.Unit{Model: "m0"})
	near := state.Runners[1]
	near.Disk["m0"] = true
	near.Idle, near.BusyFor = false, 300*time.Millisecond
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	near.BusyFor = 5 * time.Second
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Runner, "r0")
}

// TestNeededModelIsNotEvicted: the only replica of a model that requests wait for
// does not make way for another one.
func TestNeededModelIsNotEvicted(t *testing.T) {
	state := testState(1, 3)
	for _, model := range []string{"m0", "m1"} {
		state.Runners[0].hold(model)
		waits(state, backend.Unit{Model: model})
	}
	waits(state, backend.Unit{Model: "m2"})
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestOnlyReadyCopyIsKept: a copy that is still coming elsewhere does not make the
// only one that serves superfluous. It failed first: a model was unloaded 0.3 s
// after it came, as a second copy had been decided.
func TestOnlyReadyCopyIsKept(t *testing.T) {
	state := testState(2, 4)
	state.Runners[0].hold("m0")
	state.Runners[0].hold("m1")
	state.Runners[1].hold("m0").Coming = true
	state.Runners[1].Idle = false
	state.Runners[1].BusyFor = 5 * time.Second
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 1, Work: 0.02, LastUse: testNow}
	state.Demand[backend.Unit{Model: "m1"}] = &Demand{Rate: 0.1, Work: 0.01, LastUse: testNow.Add(-time.Second)}
	waits(state, backend.Unit{Model: "m2"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Unit.Model, "m1")
}

// TestAdapterMakesRoomFirst: with all places taken, the adapter used the longest
// ago is unloaded and the one waited for loaded, in this order.
func TestAdapterMakesRoomFirst(t *testing.T) {
	state := testState(1, 1)
	held := state.Runners[0].hold("m0")
	for index := range 2 {
		name := fmt.Sprintf("a%d", index)
		held.Adapters[name] = &Adapter{}
		state.Demand[backend.Unit{Model: "m0", Adapter: name}] = &Demand{LastUse: testNow.Add(-time.Duration(index) * time.Minute)}
	}
	state.Runners[0].AdapterSlots = 0
	waits(state, backend.Unit{Model: "m0", Adapter: "a9"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 2)
	assert.Equal(t, steps[0].Action, backend.Unload)
	assert.Equal(t, steps[0].Unit.Adapter, "a1")
	assert.Equal(t, steps[1].Unit.Adapter, "a9")
}

// TestAdapterInUseStays: an adapter that requests use makes room for no other one,
// however long ago it was asked for.
func TestAdapterInUseStays(t *testing.T) {
	state := testState(1, 1)
	held := state.Runners[0].hold("m0")
	held.Adapters["a0"] = &Adapter{Active: 1}
	held.Adapters["a1"] = &Adapter{}
	state.Demand[backend.Unit{Model: "m0", Adapter: "a0"}] = &Demand{LastUse: testNow.Add(-time.Minute)}
	state.Demand[backend.Unit{Model: "m0", Adapter: "a1"}] = &Demand{LastUse: testNow}
	state.Runners[0].AdapterSlots = 0
	waits(state, backend.Unit{Model: "m0", Adapter: "a9"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 2)
	assert.Equal(t, steps[0].Unit.Adapter, "a1")
	held.Adapters["a1"].Active = 1
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestDrainedRunnerIsEmptied: what it holds is unloaded and loaded elsewhere if a
// policy wants it ready; nothing new is loaded there.
func TestDrainedRunnerIsEmptied(t *testing.T) {
	state := testState(2, 1)
	state.Runners[0].hold("m0")
	state.Runners[0].Drained = true
	state.Floors = map[string]int{"m0": 1}
	var unloaded, loaded string
	for _, step := range MakePlan(state).Steps {
		if step.Action == backend.Unload {
			unloaded = step.Runner
		} else {
			loaded = step.Runner
		}
	}
	assert.Equal(t, unloaded, "r0")
	assert.Equal(t, loaded, "r1")
}

// TestUnknownRunnersCountAgainstTheBound: while a runner has not told what it
// holds, it may hold the one replica that is allowed.
func TestUnknownRunnersCountAgainstTheBound(t *testing.T) {
	state := testState(1, 1)
	state.Engine.Models["m0"].MaximumReplicas = 1
	waits(state, backend.Unit{Model: "m0"})
	state.Unknown = 1
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Unknown = 0
	assert.Equal(t, len(MakePlan(state).Steps), 1)
}

// TestSleepingModelsAreUnloaded: a model without use for its keep-alive time is
// unloaded unless a policy keeps it.
func TestSleepingModelsAreUnloaded(t *testing.T) {
	state := testState(1, 1)
	state.Runners[0].hold("m0")
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{LastUse: testNow.Add(-time.Minute)}
	state.KeepAlive = map[string]time.Duration{"m0": 2 * time.Minute}
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.KeepAlive["m0"] = 30 * time.Second
	assert.Equal(t, MakePlan(state).Steps[0].Action, backend.Unload)
	state.Floors = map[string]int{"m0": 1}
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestPlansKeepTheirBounds: for any state, a plan loads only where there is room,
// keeps the bounds on replicas and the store's rate, and gives a runner one order
// at a time, but for an adapter's change of places.
func TestPlansKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		plan := MakePlan(state)
		byID := make(map[string]*Runner)
		copies := make(map[string]int)
		for _, runner := range state.Runners {
			byID[runner.ID] = runner
			for model := range runner.Models {
				copies[model]++
			}
		}
		fromStore := 0
		orders := make(map[string]int)
		for _, step := range plan.Steps {
			runner := byID[step.Runner]
			if step.Unit.Adapter != "" {
				continue
			}
			orders[step.Runner]++
			if orders[step.Runner] > 1 || !runner.Idle {
				t.Fatalf("%s gets %+v while it is busy", step.Runner, step)
			}
			if step.Action != backend.Load {
				continue
			}
			if runner.Free < state.Engine.Models[step.Unit.Model].Size || runner.Drained {
				t.Fatalf("%+v has no room", step)
			}
			if step.FromStore {
				fromStore++
			}
			copies[step.Unit.Model]++
			bound := state.Engine.Models[step.Unit.Model].MaximumReplicas
			if bound != config.Unlimited && copies[step.Unit.Model] > bound {
				t.Fatalf("%+v goes beyond the bound %d", step, bound)
			}
		}
		if fromStore > state.Loads {
			t.Fatalf("%d loads of %d allowed", fromStore, state.Loads)
		}
	})
}

func drawState(t *rapid.T) *State {
	models := rapid.IntRange(1, 6).Draw(t, "models")
	state := testState(rapid.IntRange(1, 5).Draw(t, "runners"), models)
	state.Loads = rapid.IntRange(0, 3).Draw(t, "loads")
	for _, model := range state.Engine.Models {
		model.MaximumReplicas = rapid.SampledFrom([]int{config.Unlimited, 0, 1, 2}).Draw(t, "bound")
	}
	for _, runner := range state.Runners {
		runner.Idle = rapid.Bool().Draw(t, "idle")
		runner.Drained = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "drained")
		for index := range models {
			if runner.Free >= 70 && rapid.Bool().Draw(t, "holds") {
				held := runner.hold(fmt.Sprintf("m%d", index))
				held.Active = rapid.IntRange(0, 2).Draw(t, "active")
				held.Leaving = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "leaving")
			}
		}
	}
	for index := range models {
		unit := backend.Unit{Model: fmt.Sprintf("m%d", index)}
		state.Demand[unit] = &Demand{
			Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"), Work: rapid.Float64Range(0, 2).Draw(t, "work"), LastUse: testNow,
		}
	}
	return state
}

// fewRunners is a state in which one runner serves m0 and two more take orders.
func fewRunners(models int) *State {
	state := testState(6, models)
	state.Runners[0].hold("m0")
	state.Runners[0].Idle, state.Runners[0].BusyFor = false, time.Minute
	for _, runner := range state.Runners[3:] {
		runner.Drained = true
	}
	return state
}

// TestBusyModelGoesBeforeColdOnes: a model whose only runner is asked for several times
// what it can do has its replica before models for which one request waits, even when
// those could take all runners. All of a holder's loads for 8 s went to cold models while
// the busiest model was left with one to three runners.
func TestBusyModelGoesBeforeColdOnes(t *testing.T) {
	state := fewRunners(6)
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 40, Work: 5, LastUse: testNow}
	for index := 1; index < 6; index++ {
		waits(state, backend.Unit{Model: fmt.Sprintf("m%d", index)})
	}
	steps := MakePlan(state).Steps
	assert.Equal(t, steps[0].Unit.Model, "m0")
	assert.Equal(t, steps[0].Reason, "replica")
	assert.Equal(t, steps[1].Reason, "waiting")
}

// TestManyWaitingGoBeforeOneMoreReplica: a replica that would bring little in time is
// worth less than a model for which requests wait.
func TestManyWaitingGoBeforeOneMoreReplica(t *testing.T) {
	state := fewRunners(2)
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 2, Work: 0.9, LastUse: testNow}
	waits(state, backend.Unit{Model: "m1"})
	state.Demand[backend.Unit{Model: "m1"}].Waiting = 12
	steps := MakePlan(state).Steps
	assert.Equal(t, steps[0].Unit.Model, "m1", "%+v", steps)
}

// TestSilentRunnerServesNothing: what a silent runner holds does not stand in for a
// load elsewhere, but counts for the bound on replicas; it gets no orders.
func TestSilentRunnerServesNothing(t *testing.T) {
	state := testState(2, 1)
	state.Runners[0].hold("m0")
	waits(state, backend.Unit{Model: "m0"})
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Runners[0].Silent = true
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r1")
	state.Engine.Models["m0"].MaximumReplicas = 1
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestEvictionsFollowCounts: what a plan keeps of what may be unloaded from a runner is what a new
// look finds, after each need that was served.
func TestEvictionsFollowCounts(t *testing.T) {
	state := fullState(200, 60, 20)
	for index, runner := range state.Runners {
		runner.Region = place.Region(fmt.Sprint("region-", index%2))
		runner.Silent, runner.Out = index%17 == 0, index%13 == 0
	}
	state.Floors = map[string]int{"m1": 2, "m2": 200}
	waits(state, backend.Unit{Model: "m3"})
	p := newPlanner(state)
	for _, need := range p.needs() {
		p.serve(need)
		for _, runner := range state.Runners {
			assert.Assert(t, slices.Equal(p.victims(runner), p.findVictims(runner)), runner.ID)
		}
	}
	assert.Assert(t, len(p.plan.Steps) > 5)
}

// TestPlanLooksAtEachRunnerOnce: a plan in which forty models are waited for allocates little more
// than one in which one is, as it looks at what each runner may unload once.
func TestPlanLooksAtEachRunnerOnce(t *testing.T) {
	allocations := func(waiting int) float64 {
		state := fullState(1000, 100, waiting)
		state.Loads = 0
		return testing.AllocsPerRun(3, func() { MakePlan(state) })
	}
	one, many := allocations(1), allocations(40)
	assert.Assert(t, many < 2*one, "%v allocations for one model, %v for forty", one, many)
}
