package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
)

const (
	// targetWork is the share of a runner's time that one replica's requests
	// should take.
	targetWork = 0.3
	// maximumShare bounds the replicas of one model to a part of the runners.
	maximumShare = 0.45
	// intentLifetime is how long a decided load waits for room.
	intentLifetime = 4 * time.Second
)

// need is a model that should be loaded at one more runner.
type need struct {
	model   string
	demand  *Demand
	holders int
	// waiting is set when requests wait and no runner holds or loads it.
	waiting bool
}

// planner holds the working copy of a state while a plan is made.
type planner struct {
	state  *State
	plan   Plan
	taken  map[string]bool
	loads  int
	copies map[string]int
}

// MakePlan decides what to order now.
func MakePlan(state *State) Plan {
	p := &planner{
		state: state, taken: make(map[string]bool), loads: state.Loads, copies: make(map[string]int),
		plan: Plan{Intents: make(map[string]Intent)},
	}
	p.countCopies()
	p.continueIntents()
	for _, need := range p.needs() {
		p.serve(need)
	}
	p.planAdapters()
	return p.plan
}

// countCopies counts the runners that hold or load each model, and those that
// were decided to.
func (p *planner) countCopies() {
	for _, runner := range p.state.Runners {
		for model, held := range runner.Models {
			if !held.Leaving {
				p.copies[model]++
			}
		}
	}
}

// continueIntents goes on with loads that wait for room.
func (p *planner) continueIntents() {
	for _, runner := range p.state.Runners {
		intent, ok := p.state.Intents[runner.ID]
		if !ok || p.state.Now.After(intent.Until) || runner.Models[intent.Model] != nil || p.state.Engine.Models[intent.Model] == nil {
			continue
		}
		p.copies[intent.Model]++
		p.plan.Intents[runner.ID] = intent
		p.taken[runner.ID] = true
		if runner.Idle {
			p.advance(runner, intent.Model, "intent")
		}
	}
}

// desired is how many runners should hold a model.
func (p *planner) desired(model string, demand *Demand) int {
	if demand == nil {
		return 0
	}
	count := int(demand.Work/targetWork + 0.5)
	limit := max(int(maximumShare*float64(len(p.state.Runners))), 1)
	if demand.Waiting > 0 {
		count = max(count, 1)
	}
	return min(count, limit)
}

// needs lists the models to be loaded, most urgent first.
func (p *planner) needs() []need {
	var needs []need
	for _, model := range slices.Sorted(maps.Keys(p.state.Engine.Models)) {
		demand := p.state.Demand[backend.Unit{Model: model}]
		holders := p.copies[model]
		if holders >= p.desired(model, demand) {
			continue
		}
		needs = append(needs, need{model: model, demand: demand, holders: holders, waiting: holders == 0 && demand.Waiting > 0})
	}
	slices.SortStableFunc(needs, compareNeeds)
	return needs
}

func compareNeeds(a, b need) int {
	if a.waiting != b.waiting {
		if a.waiting {
			return -1
		}
		return 1
	}
	if a.waiting {
		return cmp.Or(cmp.Compare(a.demand.Priority, b.demand.Priority), cmp.Compare(a.demand.Left, b.demand.Left))
	}
	return cmp.Compare(perHolder(b), perHolder(a))
}

func perHolder(n need) float64 { return n.demand.Work / float64(n.holders+1) }

// serve chooses a runner for a need and begins the load, or the unload that
// makes room for it.
func (p *planner) serve(n need) {
	best, bestCost := (*Runner)(nil), 0.0
	for _, runner := range p.state.Runners {
		cost, ok := p.cost(runner, n)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = runner, cost
		}
	}
	if best == nil || (!n.waiting && bestCost > p.gain(n)) {
		return
	}
	reason := "replica"
	if n.waiting {
		reason = "waiting"
	}
	p.taken[best.ID] = true
	p.copies[n.model]++
	p.plan.Intents[best.ID] = Intent{Model: n.model, Until: p.state.Now.Add(intentLifetime)}
	p.advance(best, n.model, reason)
}

// advance takes the next step towards holding a model at an idle runner.
func (p *planner) advance(runner *Runner, model, reason string) {
	size := p.state.Engine.Models[model].Size
	if runner.Free < size {
		victim := p.nextVictim(runner, model)
		if victim == "" {
			delete(p.plan.Intents, runner.ID)
			return
		}
		p.copies[victim]--
		p.plan.Steps = append(p.plan.Steps, Step{
			Runner: runner.ID, Action: backend.Unload, Unit: backend.Unit{Model: victim}, Reason: "room for " + model,
		})
		return
	}
	expected, fromStore := p.loadTime(runner, model)
	if fromStore {
		if p.loads <= 0 {
			return
		}
		p.loads--
	}
	delete(p.plan.Intents, runner.ID)
	p.plan.Steps = append(p.plan.Steps, Step{
		Runner: runner.ID, Action: backend.Load, Unit: backend.Unit{Model: model}, FromStore: fromStore, Expected: expected, Reason: reason,
	})
}

// loadTime returns how long a load is expected to take and whether it takes from
// the weight store.
func (p *planner) loadTime(runner *Runner, model string) (time.Duration, bool) {
	weights := p.state.Engine.Models[model]
	switch {
	case runner.Host[model] && weights.HostLoadTime > 0:
		return weights.HostLoadTime, false
	case runner.Disk[model] && weights.DiskLoadTime > 0:
		return weights.DiskLoadTime, false
	default:
		return weights.LoadTime, true
	}
}
