package scheduler

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
)

// Costs are in seconds of a waiting request's time.
const (
	// storeCost is the price of a load from the weight store.
	storeCost = 0.6
	// reloadCost is what a request waits, on average, for a model that was
	// unloaded.
	reloadCost = 1.5
	// farCost is the price of a place in another region than all that wait: the way of
	// those to come too, and what it carries. It decides among like places, and
	// not against a copy that is nearer to the runner.
	farCost = 0.1
	// horizon is the time for which a model that is unloaded is missed.
	horizon = 12.0
	// drainCost is the cost of each request that an unload has to wait for.
	drainCost = 0.5
	// activeCost is the cost of sharing a runner with one more request.
	activeCost = 0.02
	// surplusFactor lowers the loss of a replica that others stand in for.
	surplusFactor = 0.25
	// unusedRate is the requests a second assumed of a model that was not asked
	// for yet.
	unusedRate = 0.03
	// gainPerWork is what a replica is worth for each share of a runner's time
	// that it takes over.
	gainPerWork = 20.0
	// recentUse is the rate assumed of a model at its last use, halved with
	// each recentHalf since.
	recentUse  = 0.06
	recentHalf = 8 * time.Second
)

// placeCost estimates what loading a model at a runner costs, but for the room that it takes;
// false when it may not be loaded there.
func (p *planner) placeCost(runner *Runner, n need) (float64, bool) {
	if p.taken[runner.ID] || !runner.serves() || !n.homes.Allows(runner.Region) {
		return 0, false
	}
	held := runner.Models[n.model]
	if held != nil && !held.Uncertain || p.roomAt(runner, n.model) <= 0 {
		return 0, false
	}
	readyIn, fromStore := p.readyIn(runner, n.model)
	cost := readyIn.Seconds() + activeCost*float64(runner.Active)
	if fromStore {
		cost += storeCost
	}
	return cost + farCost*n.demand.far(runner), true
}

// roomCost estimates what making room for a model at a runner costs; false when there is none.
func (p *planner) roomCost(runner *Runner, n need) (float64, bool) {
	missing := p.state.Engine.Models[n.model].Size - runner.Free
	if runner.Models[n.model] != nil || missing <= 0 {
		// An order without an answer takes the room already.
		return 0, true
	}
	cost := 0.0
	for _, victim := range p.victims(runner) {
		missing -= victim.size
		cost += victim.loss
		if missing <= 0 {
			return cost, true
		}
	}
	return cost, false
}

// worth is how many requests one more runner that loads the model is expected to serve in
// time within horizon: those that wait, the less urgent counted less, and of those to
// come the part that would be late without it.
func (n need) worth() float64 {
	late := 1.0
	waiting := 0.0
	if n.holders > 0 {
		late = lateShare(n.demand.Work / float64(n.holders))
	} else {
		waiting = float64(n.demand.Waiting) / float64(1+max(n.demand.Priority, 0))
	}
	return waiting + n.demand.Rate*horizon*(late-lateShare(perHolder(n)))
}

// lateShare is the part of the requests that is late at runners of which they take a
// part of the time: little at half of it, half of them at all of it, and nearly all when
// they ask for several times as much.
func lateShare(work float64) float64 { return work * work / (1 + work*work) }

// gain is what one more replica is worth.
func (p *planner) gain(n need) float64 { return gainPerWork * perHolder(n) }

// needed reports whether requests that a runner may serve wait for a model that only one
// runner serves to them.
func (p *planner) needed(runner *Runner, model string) bool {
	return slices.ContainsFunc(p.parts(backend.Unit{Model: model}), func(part Part) bool {
		return part.waits() && part.Homes.Allows(runner.Region) && p.ready.of(model, part.Homes) <= 1
	})
}

// loss is what unloading a model at a runner costs.
func (p *planner) loss(runner *Runner, model string) float64 {
	cost := drainCost * float64(runner.Models[model].Active)
	for _, part := range p.parts(backend.Unit{Model: model}) {
		if part.Homes.Allows(runner.Region) {
			cost += p.lossOf(model, part)
		}
	}
	return cost
}

// lossOf is what one replica less costs a part of a model's demand.
func (p *planner) lossOf(model string, part Part) float64 {
	demand := part.Demand
	others := p.ready.of(model, part.Homes) - 1
	if demand == nil {
		demand = &Demand{}
		if others <= 0 {
			demand.Rate = unusedRate
		}
	}
	missed := p.missed(demand)
	switch {
	case others <= 0:
		// Copies that are still coming stand in for nothing yet.
		return missed + demand.Work*gainPerWork
	case p.ready.of(model, part.Homes) > p.desired(model, Part{Homes: part.Homes, Demand: demand}):
		return surplusFactor * missed
	default:
		return p.gain(need{model: model, demand: demand, holders: others})
	}
}

// expectedRate estimates the requests a second to come from the recent ones.
func (p *planner) expectedRate(demand *Demand) float64 {
	age := p.state.Now.Sub(demand.LastUse)
	if demand.LastUse.IsZero() || age < 0 {
		return demand.Rate
	}
	fading := 1.0
	for ; age > recentHalf; age -= recentHalf {
		fading /= 2
	}
	return max(demand.Rate, recentUse*fading)
}
