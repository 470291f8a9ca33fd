package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
)

// planAdapters loads the adapters that requests wait for at runners that hold
// their model.
func (p *planner) planAdapters() {
	for _, unit := range p.waitingAdapters() {
		p.placeAdapter(unit)
	}
}

func (p *planner) waitingAdapters() []backend.Unit {
	var units []backend.Unit
	for unit, demand := range p.state.Demand {
		if unit.Adapter != "" && demand.Waiting > 0 && !p.adapterAnywhere(unit) {
			units = append(units, unit)
		}
	}
	slices.SortFunc(units, func(a, b backend.Unit) int {
		first, second := p.state.Demand[a], p.state.Demand[b]
		return cmp.Or(cmp.Compare(first.Priority, second.Priority), cmp.Compare(first.Left, second.Left), cmp.Compare(a.String(), b.String()))
	})
	return units
}

// adapterAnywhere reports whether a runner holds or loads the adapter.
func (p *planner) adapterAnywhere(unit backend.Unit) bool {
	for _, runner := range p.state.Runners {
		held := runner.Models[unit.Model]
		if held == nil || held.Leaving || runner.Drained || runner.Out {
			continue
		}
		if adapter := held.Adapters[unit.Adapter]; adapter != nil && !adapter.Leaving {
			return true
		}
	}
	return false
}

// placeAdapter chooses the runner with the most free places and the least work.
func (p *planner) placeAdapter(unit backend.Unit) {
	best, bestCost := (*Runner)(nil), 0.0
	for _, runner := range p.state.Runners {
		cost, ok := p.adapterCost(runner, unit)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = runner, cost
		}
	}
	if best == nil {
		return
	}
	p.taken[best.ID] = true
	if victim := p.adapterVictim(best, unit); best.AdapterSlots <= 0 {
		p.plan.Steps = append(p.plan.Steps, Step{Runner: best.ID, Action: backend.Unload, Unit: victim, Reason: "room for " + unit.String()})
	}
	p.plan.Steps = append(p.plan.Steps, Step{Runner: best.ID, Action: backend.Load, Unit: unit, Reason: "waiting"})
}

// evictAdapterCost is the cost of unloading another adapter first, in requests
// under way.
const evictAdapterCost = 4.0

func (p *planner) adapterCost(runner *Runner, unit backend.Unit) (float64, bool) {
	held := runner.Models[unit.Model]
	if held != nil && held.Adapters[unit.Adapter] != nil {
		// It is still being unloaded there.
		return 0, false
	}
	if !runner.Ready || runner.Drained || runner.Out || p.taken[runner.ID] || held == nil || held.Coming || held.Leaving || held.Uncertain {
		return 0, false
	}
	if runner.Free < p.state.Engine.Models[unit.Model].AdapterSize {
		return 0, false
	}
	cost := float64(runner.Active) - 0.5*float64(runner.AdapterSlots)
	if runner.AdapterSlots <= 0 {
		if p.adapterVictim(runner, unit) == (backend.Unit{}) {
			return 0, false
		}
		cost += evictAdapterCost
	}
	return cost, true
}

// adapterVictim returns the adapter of a runner that was used the longest ago and
// that no request uses.
func (p *planner) adapterVictim(runner *Runner, wanted backend.Unit) backend.Unit {
	var victim backend.Unit
	var oldest time.Time
	for _, model := range slices.Sorted(maps.Keys(runner.Models)) {
		for _, name := range slices.Sorted(maps.Keys(runner.Models[model].Adapters)) {
			unit := backend.Unit{Model: model, Adapter: name}
			adapter := runner.Models[model].Adapters[name]
			if unit == wanted || adapter.Coming || adapter.Leaving || adapter.Active > 0 {
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
