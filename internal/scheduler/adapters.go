package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// planAdapters places the adapters that requests wait for on runners that already hold their
// model.
func (p *planner) planAdapters() {
	for _, want := range p.waitingAdapters() {
		if !p.plannedInHomes(want) {
			p.placeAdapter(want)
		}
	}
}

// waitingAdapters returns the adapters that have waiting requests and that no runner in the
// requests' homes holds or loads, the most urgent first.
func (p *planner) waitingAdapters() []Want {
	var wants []Want
	demands := make(map[Want]*Demand)
	for unit, demand := range p.state.Demand {
		if unit.Adapter == "" || demand.Waiting == 0 {
			continue
		}
		for _, part := range p.parts(unit) {
			want := Want{Unit: unit, Homes: part.Homes}
			if part.hasWaiting() && !p.adapterInHomes(want) {
				wants = append(wants, want)
				demands[want] = part.Demand
			}
		}
	}
	slices.SortFunc(wants, func(a, b Want) int {
		first, second := demands[a], demands[b]
		return cmp.Or(cmp.Compare(first.Priority, second.Priority), cmp.Compare(first.Left, second.Left),
			cmp.Compare(a.Unit.String(), b.Unit.String()), compareHomes(a.Homes, b.Homes))
	})
	return wants
}

// compareHomes orders restricted homes before unrestricted ones.
func compareHomes(a, b place.Homes) int {
	if a.Restricted() != b.Restricted() {
		if a.Restricted() {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.String(), b.String())
}

// adapterInHomes reports whether a runner in the homes holds or is loading the adapter.
func (p *planner) adapterInHomes(want Want) bool {
	unit := want.Unit
	for _, runner := range p.holding[unit.Model] {
		if !want.Homes.Allows(runner.Region) {
			continue
		}
		held := runner.Models[unit.Model]
		if held == nil || held.Unloading || runner.Drained || runner.Out {
			continue
		}
		if adapter := held.Adapters[unit.Adapter]; adapter != nil && !adapter.Unloading {
			return true
		}
	}
	return false
}

// plannedInHomes reports whether the plan already loads the adapter on a runner in the homes.
func (p *planner) plannedInHomes(want Want) bool {
	return slices.ContainsFunc(p.loading[want.Unit], want.Homes.Allows)
}

// placeAdapter loads an adapter on the runner with the lowest cost: many free adapter slots
// and few active requests.
func (p *planner) placeAdapter(want Want) {
	unit := want.Unit
	best, bestCost := (*Runner)(nil), 0.0
	for _, runner := range p.holding[unit.Model] {
		if !want.Homes.Allows(runner.Region) {
			continue
		}
		cost, ok := p.adapterCost(runner, unit)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = runner, cost
		}
	}
	if best == nil {
		return
	}
	p.reserved[best.ID] = true
	p.loading[unit] = append(p.loading[unit], best.Region)
	if victim := p.adapterVictim(best, unit); best.AdapterSlots <= 0 {
		p.plan.Steps = append(p.plan.Steps, Step{Runner: best.ID, Action: backend.Unload, Unit: victim, Reason: "room for " + unit.String()})
	}
	p.plan.Steps = append(p.plan.Steps, Step{Runner: best.ID, Action: backend.Load, Unit: unit, Reason: "waiting"})
}

// evictAdapterCost is the cost of having to unload another adapter first, expressed as a
// number of active requests.
const evictAdapterCost = 4.0

// remoteAdapterCost is the cost of placing an adapter in a different region from every waiting
// request, expressed as a number of active requests: the network path takes as long as a
// runner needs for about that many.
const remoteAdapterCost = 2.0

func (p *planner) adapterCost(runner *Runner, unit backend.Unit) (float64, bool) {
	held := runner.Models[unit.Model]
	if held != nil && held.Adapters[unit.Adapter] != nil {
		// The adapter is still being unloaded from this runner.
		return 0, false
	}
	if !runner.Ready || runner.Drained || runner.Out || p.reserved[runner.ID] || held == nil || held.Loading || held.Unloading || held.Uncertain {
		return 0, false
	}
	if runner.Free < p.state.Engine.Models[unit.Model].AdapterSize {
		return 0, false
	}
	cost := float64(runner.Active) - 0.5*float64(runner.AdapterSlots) + remoteAdapterCost*p.state.Demand[unit].remoteFraction(runner)
	if runner.AdapterSlots <= 0 {
		if p.adapterVictim(runner, unit) == (backend.Unit{}) {
			return 0, false
		}
		cost += evictAdapterCost
	}
	return cost, true
}

// adapterVictim returns the least recently used adapter of a runner that has neither active
// nor waiting requests.
func (p *planner) adapterVictim(runner *Runner, wanted backend.Unit) backend.Unit {
	var victim backend.Unit
	var oldest time.Time
	for _, model := range slices.Sorted(maps.Keys(runner.Models)) {
		for _, name := range slices.Sorted(maps.Keys(runner.Models[model].Adapters)) {
			unit := backend.Unit{Model: model, Adapter: name}
			adapter := runner.Models[model].Adapters[name]
			if unit == wanted || adapter.Loading || adapter.Unloading || adapter.Active > 0 {
				continue
			}
			used := time.Time{}
			if demand := p.state.Demand[unit]; demand != nil {
				if demand.Waiting > 0 {
					continue
				}
				used = demand.LastUse
			}
			if victim == (backend.Unit{}) || used.Before(oldest) {
				victim, oldest = unit, used
			}
		}
	}
	return victim
}
