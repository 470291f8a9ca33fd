package scheduler

import (
	"slices"
	"time"

	"lilacvane/internal/backend"
)

// Costs are in seconds of one waiting request.
const (
	// storeCost is the extra cost of a load from the weight store.
	storeCost = 0.6
	// reloadCost is the average wait of a request for a model that was unloaded.
	reloadCost = 1.5
	// remoteCost is the cost of a placement in a different region from every waiting request.
	// It covers the distance for later requests and the traffic between regions too. It
	// decides between otherwise equal runners, and is too low to outweigh a copy nearer to
	// the runner.
	remoteCost = 0.1
	// horizon is the time, in seconds, for which the absence of an unloaded model is counted.
	horizon = 12.0
	// drainCost is the cost of each active request that an unload has to wait for.
	drainCost = 0.5
	// activeCost is the cost of each active request on the runner that a model is loaded on.
	activeCost = 0.02
	// surplusFactor lowers the unload cost of a replica beyond the desired number.
	surplusFactor = 0.25
	// unusedRate is the rate, in requests per second, assumed for a model that has not been
	// requested yet.
	unusedRate = 0.03
	// gainPerWork is the value of a replica per fraction of a runner's time that it takes
	// over.
	gainPerWork = 20.0
	// recentRate is the rate assumed for a model at its last use. It halves with every
	// recentHalfLife since.
	recentRate     = 0.06
	recentHalfLife = 8 * time.Second
)

// placeCost estimates the cost of loading a model on a runner, without freeing memory. It
// returns false if the model may not be loaded there.
func (p *planner) placeCost(runner *Runner, n need) (float64, bool) {
	if p.reserved[runner.ID] || !runner.serves() || !n.homes.Allows(runner.Region) {
		return 0, false
	}
	held := runner.Models[n.model]
	if held != nil && !held.Uncertain || p.replicasLeftAt(runner, n.model) <= 0 {
		return 0, false
	}
	readyIn, fromStore := p.readyIn(runner, n.model)
	cost := readyIn.Seconds() + activeCost*float64(runner.Active)
	if fromStore {
		cost += storeCost
	}
	return cost + remoteCost*n.demand.remoteFraction(runner), true
}

// evictionCost estimates the cost of freeing memory for a model on a runner. It returns false
// if that is not possible.
func (p *planner) evictionCost(runner *Runner, n need) (float64, bool) {
	missing := p.state.Engine.Models[n.model].Size - runner.Free
	if runner.Models[n.model] != nil || missing <= 0 {
		// The unanswered order already accounts for the memory.
		return 0, true
	}
	cost := 0.0
	for _, victim := range p.victims(runner) {
		missing -= victim.size
		cost += victim.unloadCost
		if missing <= 0 {
			return cost, true
		}
	}
	return cost, false
}

// value estimates how many more requests are served in time within the horizon if one more
// runner loads the model: the waiting requests, of which less urgent ones count less, and
// those expected to arrive that would otherwise be late.
func (n need) value() float64 {
	late := 1.0
	waiting := 0.0
	if n.holders > 0 {
		late = lateFraction(n.demand.Work / float64(n.holders))
	} else {
		waiting = float64(n.demand.Waiting) / float64(1+max(n.demand.Priority, 0))
	}
	return waiting + n.demand.Rate*horizon*(late-lateFraction(workPerHolder(n)))
}

// lateFraction estimates the fraction of requests served late by runners with a given
// utilization: a fifth at 0.5, half at 1, nearly all at several times the capacity.
func lateFraction(work float64) float64 { return work * work / (1 + work*work) }

// replicaValue is the value of one more replica.
func (p *planner) replicaValue(n need) float64 { return gainPerWork * workPerHolder(n) }

// isOnlyReady reports whether requests that a runner may serve are waiting for a model that at
// most one runner serves to them.
func (p *planner) isOnlyReady(runner *Runner, model string) bool {
	return slices.ContainsFunc(p.parts(backend.Unit{Model: model}), func(part Part) bool {
		return part.hasWaiting() && part.Homes.Allows(runner.Region) && p.ready.in(model, part.Homes) <= 1
	})
}

// unloadCost estimates the cost of unloading a model from a runner.
func (p *planner) unloadCost(runner *Runner, model string) float64 {
	cost := drainCost * float64(runner.Models[model].Active)
	for _, part := range p.parts(backend.Unit{Model: model}) {
		if part.Homes.Allows(runner.Region) {
			cost += p.unloadCostOf(model, part)
		}
	}
	return cost
}

// unloadCostOf estimates the cost of one replica less for a part of a model's demand.
func (p *planner) unloadCostOf(model string, part Part) float64 {
	demand := part.Demand
	others := p.ready.in(model, part.Homes) - 1
	if demand == nil {
		demand = &Demand{}
		if others <= 0 {
			demand.Rate = unusedRate
		}
	}
	absenceCost := p.absenceCost(demand)
	switch {
	case others <= 0:
		// Copies that are still loading can't replace a ready one.
		return absenceCost + demand.Work*gainPerWork
	case p.ready.in(model, part.Homes) > p.desired(model, Part{Homes: part.Homes, Demand: demand}):
		return surplusFactor * absenceCost
	default:
		return p.replicaValue(need{model: model, demand: demand, holders: others})
	}
}

// expectedRate estimates the future rate, in requests per second, from the recent one.
func (p *planner) expectedRate(demand *Demand) float64 {
	age := p.state.Now.Sub(demand.LastUse)
	if demand.LastUse.IsZero() || age < 0 {
		return demand.Rate
	}
	decay := 1.0
	for ; age > recentHalfLife; age -= recentHalfLife {
		decay /= 2
	}
	return max(demand.Rate, recentRate*decay)
}
