package scheduler

import (
	"fmt"
	"testing"

	"lilacvane/internal/backend"
)

const (
	benchmarkModels   = 93
	benchmarkAdapters = 11_000
	// One in benchmarkWaiting adapters has a waiting request.
	benchmarkWaiting = 200
)

// BenchmarkPlan measures planning for the target number of models and adapters with a growing
// number of runners, each of which holds two models and two adapters.
func BenchmarkPlan(b *testing.B) {
	for _, runners := range []int{100, 300, 1000, 3000, 10_000} {
		b.Run(fmt.Sprintf("runners-%d", runners), func(b *testing.B) {
			state := benchmarkState(runners)
			b.ReportAllocs()
			for b.Loop() {
				MakePlan(state)
			}
		})
	}
}

func benchmarkState(runners int) *State {
	state := testState(runners, benchmarkModels)
	for index, runner := range state.Runners {
		for copy := range 2 {
			model := (index*2 + copy) % benchmarkModels
			held := runner.hold(fmt.Sprintf("m%d", model))
			held.Adapters[adapterName(index+copy)] = &Adapter{}
			runner.AdapterSlots--
		}
	}
	for index := range benchmarkAdapters {
		model := fmt.Sprintf("m%d", index%benchmarkModels)
		adapter := backend.Unit{Model: model, Adapter: adapterName(index)}
		demand := &Demand{Rate: 0.1, Work: 0.01, LastUse: testNow}
		if index%benchmarkWaiting == 0 {
			demand.Waiting = 1
		}
		state.Demand[adapter] = demand
		total := state.Demand[backend.Unit{Model: model}]
		if total == nil {
			total = &Demand{LastUse: testNow}
			state.Demand[backend.Unit{Model: model}] = total
		}
		total.Rate += demand.Rate
		total.Work += demand.Work
		total.Waiting += demand.Waiting
	}
	return state
}

func adapterName(index int) string { return fmt.Sprintf("a%d", index%benchmarkAdapters) }

// BenchmarkPlanOfWaitingModels measures planning for 299 models on full runners, where 30
// models that no runner holds have waiting requests.
func BenchmarkPlanOfWaitingModels(b *testing.B) {
	for _, runners := range []int{1000, 9640, 20_000} {
		b.Run(fmt.Sprintf("runners-%d", runners), func(b *testing.B) {
			state := fullState(runners, 299, 30)
			b.ReportAllocs()
			for b.Loop() {
				MakePlan(state)
			}
		})
	}
}

// fullState returns a state in which each runner holds two models and has no memory for a
// third. The last waiting models are on no runner and have waiting requests.
func fullState(runners, models, waiting int) *State {
	state := testState(runners, models)
	held := models - waiting
	for index, runner := range state.Runners {
		for copy := range 2 {
			name := fmt.Sprintf("m%d", (index+copy*7)%held)
			runner.hold(name).Active = index % 3
			state.Demand[backend.Unit{Model: name}] = &Demand{Rate: float64(index%held) / 50, Work: float64(index%held) / 40, LastUse: testNow}
		}
	}
	for index := range waiting {
		addWaiting(state, backend.Unit{Model: fmt.Sprintf("m%d", held+index)})
	}
	return state
}
