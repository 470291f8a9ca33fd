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
			ID: fmt.Sprintf("r%d", index), Models: make(map[string]*ModelState), Free: 200, AdapterSlots: 2, Idle: true, Ready: true,
			Host: make(map[string]bool), Disk: make(map[string]bool),
		})
	}
	return state
}

func (r *Runner) hold(model string) *ModelState {
	held := &ModelState{Adapters: make(map[string]*Adapter)}
	r.Models[model] = held
	r.Free -= 70
	return held
}

func addWaiting(state *State, unit backend.Unit) {
	state.Demand[unit] = &Demand{Waiting: 1, Left: time.Second, LastUse: testNow}
	if unit.Adapter != "" {
		state.Demand[backend.Unit{Model: unit.Model}] = &Demand{Waiting: 1, Left: time.Second, LastUse: testNow}
	}
}

// TestWaitingModelIsLoadedWhereWeightsAreNear checks that weights in host memory are preferred
// over those on disk, and those on disk over the store.
func TestWaitingModelIsLoadedWhereWeightsAreNear(t *testing.T) {
	state := testState(3, 1)
	addWaiting(state, backend.Unit{Model: "m0"})
	state.Runners[1].Disk["m0"] = true
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r1")
	assert.Assert(t, !plan.Steps[0].FromStore)
	state.Runners[2].Host["m0"] = true
	assert.Equal(t, MakePlan(state).Steps[0].Runner, "r2")
}

// TestWeightStoreRateIsKept checks that a plan loads no more models from the store than
// allowed, and that loads from local copies don't count.
func TestWeightStoreRateIsKept(t *testing.T) {
	state := testState(6, 6)
	for index := range 6 {
		addWaiting(state, backend.Unit{Model: fmt.Sprintf("m%d", index)})
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

// TestCheapestModelIsEvicted checks that an unused model is evicted rather than a used
// one, and that the load waiting for the memory is kept as an intent.
func TestCheapestModelIsEvicted(t *testing.T) {
	state := testState(1, 4)
	for _, model := range []string{"m0", "m1"} {
		state.Runners[0].hold(model)
	}
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 2, Work: 0.2, LastUse: testNow}
	addWaiting(state, backend.Unit{Model: "m2"})
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

// TestNeedWaitsForNearWeights checks that a runner with the weights on disk that is busy for a
// short time is preferred over an idle runner that would load from the store. The planner used
// to skip every busy runner.
func TestNeedWaitsForNearWeights(t *testing.T) {
	state := testState(2, 1)
	addWaiting(state, backend.Unit{Model: "m0"})
	near := state.Runners[1]
	near.Disk["m0"] = true
	near.Idle, near.BusyFor = false, 300*time.Millisecond
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	near.BusyFor = 5 * time.Second
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Runner, "r0")
}

// TestNeededModelIsNotEvicted checks that the only replica of a model with waiting requests is
// not evicted for another model.
func TestNeededModelIsNotEvicted(t *testing.T) {
	state := testState(1, 3)
	for _, model := range []string{"m0", "m1"} {
		state.Runners[0].hold(model)
		addWaiting(state, backend.Unit{Model: model})
	}
	addWaiting(state, backend.Unit{Model: "m2"})
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestOnlyReadyCopyIsKept checks that a copy still loading on another runner does not make the
// only ready replica redundant. A model used to be unloaded 0.3 s after its load because a
// second copy was planned.
func TestOnlyReadyCopyIsKept(t *testing.T) {
	state := testState(2, 4)
	state.Runners[0].hold("m0")
	state.Runners[0].hold("m1")
	state.Runners[1].hold("m0").Loading = true
	state.Runners[1].Idle = false
	state.Runners[1].BusyFor = 5 * time.Second
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 1, Work: 0.02, LastUse: testNow}
	state.Demand[backend.Unit{Model: "m1"}] = &Demand{Rate: 0.1, Work: 0.01, LastUse: testNow.Add(-time.Second)}
	addWaiting(state, backend.Unit{Model: "m2"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Unit.Model, "m1")
}

// TestAdapterMakesRoomFirst checks that if all slots are taken the least recently used adapter
// is unloaded before the requested one is loaded.
func TestAdapterMakesRoomFirst(t *testing.T) {
	state := testState(1, 1)
	held := state.Runners[0].hold("m0")
	for index := range 2 {
		name := fmt.Sprintf("a%d", index)
		held.Adapters[name] = &Adapter{}
		state.Demand[backend.Unit{Model: "m0", Adapter: name}] = &Demand{LastUse: testNow.Add(-time.Duration(index) * time.Minute)}
	}
	state.Runners[0].AdapterSlots = 0
	addWaiting(state, backend.Unit{Model: "m0", Adapter: "a9"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 2)
	assert.Equal(t, steps[0].Action, backend.Unload)
	assert.Equal(t, steps[0].Unit.Adapter, "a1")
	assert.Equal(t, steps[1].Unit.Adapter, "a9")
}

// TestAdapterInUseStays checks that an adapter with active requests is not evicted, however
// long ago it was last requested.
func TestAdapterInUseStays(t *testing.T) {
	state := testState(1, 1)
	held := state.Runners[0].hold("m0")
	held.Adapters["a0"] = &Adapter{Active: 1}
	held.Adapters["a1"] = &Adapter{}
	state.Demand[backend.Unit{Model: "m0", Adapter: "a0"}] = &Demand{LastUse: testNow.Add(-time.Minute)}
	state.Demand[backend.Unit{Model: "m0", Adapter: "a1"}] = &Demand{LastUse: testNow}
	state.Runners[0].AdapterSlots = 0
	addWaiting(state, backend.Unit{Model: "m0", Adapter: "a9"})
	steps := MakePlan(state).Steps
	assert.Equal(t, len(steps), 2)
	assert.Equal(t, steps[0].Unit.Adapter, "a1")
	held.Adapters["a1"].Active = 1
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestDrainedRunnerIsEmptied checks that the models of a drained runner are unloaded, and
// loaded elsewhere if a policy requires them, and that nothing is loaded on it.
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

// TestUnknownRunnersCountAgainstReplicaLimit checks that a runner that has not reported its
// models counts as holding the one allowed replica.
func TestUnknownRunnersCountAgainstReplicaLimit(t *testing.T) {
	state := testState(1, 1)
	state.Engine.Models["m0"].MaximumReplicas = 1
	addWaiting(state, backend.Unit{Model: "m0"})
	state.Unknown = 1
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Unknown = 0
	assert.Equal(t, len(MakePlan(state).Steps), 1)
}

// TestIdleModelsAreUnloaded checks that a model unused for its keep-alive time is unloaded
// unless a policy requires it.
func TestIdleModelsAreUnloaded(t *testing.T) {
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

// TestPlansKeepLimits checks with random states that a plan loads only where there is
// enough memory, respects the limits on replicas and on loads from the store, and gives each
// runner one model order at a time. Adapters are exempt, as one may be replaced by an unload
// and a load.
func TestPlansKeepLimits(t *testing.T) {
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
				t.Fatalf("%s gets %+v, but is busy or has an order already", step.Runner, step)
			}
			if step.Action != backend.Load {
				continue
			}
			if runner.Free < state.Engine.Models[step.Unit.Model].Size || runner.Drained {
				t.Fatalf("%+v: the runner is drained or lacks memory", step)
			}
			if step.FromStore {
				fromStore++
			}
			copies[step.Unit.Model]++
			limit := state.Engine.Models[step.Unit.Model].MaximumReplicas
			if limit != config.Unlimited && copies[step.Unit.Model] > limit {
				t.Fatalf("%+v exceeds the replica limit %d", step, limit)
			}
		}
		if fromStore > state.Loads {
			t.Fatalf("%d loads from the store, %d allowed", fromStore, state.Loads)
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
				held.Unloading = rapid.SampledFrom([]bool{false, false, true}).Draw(t, "leaving")
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

// fewRunners returns a state with one busy runner that serves m0, two that take orders and
// three that are drained.
func fewRunners(models int) *State {
	state := testState(6, models)
	state.Runners[0].hold("m0")
	state.Runners[0].Idle, state.Runners[0].BusyFor = false, time.Minute
	for _, runner := range state.Runners[3:] {
		runner.Drained = true
	}
	return state
}

// TestBusyModelPrecedesColdModels checks that a model whose only runner is asked for several
// times its capacity gets a replica before models with one waiting request each, even if those
// could use all runners. A lease holder once spent 8 s loading only cold models while the
// busiest model was left with one to three runners.
func TestBusyModelPrecedesColdModels(t *testing.T) {
	state := fewRunners(6)
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 40, Work: 5, LastUse: testNow}
	for index := 1; index < 6; index++ {
		addWaiting(state, backend.Unit{Model: fmt.Sprintf("m%d", index)})
	}
	steps := MakePlan(state).Steps
	assert.Equal(t, steps[0].Unit.Model, "m0")
	assert.Equal(t, steps[0].Reason, "replica")
	assert.Equal(t, steps[1].Reason, "waiting")
}

// TestManyWaitingRequestsPrecedeReplica checks that a replica that improves little is worth
// less than a model with many waiting requests.
func TestManyWaitingRequestsPrecedeReplica(t *testing.T) {
	state := fewRunners(2)
	state.Demand[backend.Unit{Model: "m0"}] = &Demand{Rate: 2, Work: 0.9, LastUse: testNow}
	addWaiting(state, backend.Unit{Model: "m1"})
	state.Demand[backend.Unit{Model: "m1"}].Waiting = 12
	steps := MakePlan(state).Steps
	assert.Equal(t, steps[0].Unit.Model, "m1", "%+v", steps)
}

// TestSilentRunnerServesNothing checks that models on a silent runner don't replace a load
// elsewhere, that they count for the replica limit, and that the runner gets no orders.
func TestSilentRunnerServesNothing(t *testing.T) {
	state := testState(2, 1)
	state.Runners[0].hold("m0")
	addWaiting(state, backend.Unit{Model: "m0"})
	assert.Equal(t, len(MakePlan(state).Steps), 0)
	state.Runners[0].Silent = true
	plan := MakePlan(state)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Runner, "r1")
	state.Engine.Models["m0"].MaximumReplicas = 1
	assert.Equal(t, len(MakePlan(state).Steps), 0)
}

// TestEvictionsFollowCounts checks that the cached victims of each runner equal newly computed
// ones after every placed need.
func TestEvictionsFollowCounts(t *testing.T) {
	state := fullState(200, 60, 20)
	for index, runner := range state.Runners {
		runner.Region = place.Region(fmt.Sprint("region-", index%2))
		runner.Silent, runner.Out = index%17 == 0, index%13 == 0
	}
	state.Floors = map[string]int{"m1": 2, "m2": 200}
	addWaiting(state, backend.Unit{Model: "m3"})
	p := newPlanner(state)
	for _, need := range p.needs() {
		p.placeNeed(need)
		for _, runner := range state.Runners {
			assert.Assert(t, slices.Equal(p.victims(runner), p.findVictims(runner)), runner.ID)
		}
	}
	assert.Assert(t, len(p.plan.Steps) > 5)
}

// TestVictimsAreComputedOncePerRunner checks that planning forty waiting models allocates less
// than twice as much as planning one, because the victims of each runner are computed once.
func TestVictimsAreComputedOncePerRunner(t *testing.T) {
	allocations := func(waiting int) float64 {
		state := fullState(1000, 100, waiting)
		state.Loads = 0
		return testing.AllocsPerRun(3, func() { MakePlan(state) })
	}
	one, many := allocations(1), allocations(40)
	assert.Assert(t, many < 2*one, "%v allocations for one model, %v for forty", one, many)
}
