package scheduler

// keptForWaiting is how many loads from the weight store are left to models that requests
// wait for, when others are brought up ahead of their requests.
const keptForWaiting = 1

const (
	// leastMoved is the least that a model must be worth, in seconds of a waiting
	// request's time, to be looked at: less does not pay for a load.
	leastMoved = storeCost
	// movesPerPlan bounds the models that a plan looks at, as the store carries only some
	// loads at once and a zone may hold hundreds of models.
	movesPerPlan = 8
)

// moves reports whether a model that requests are expected for is served in their homes
// only by runners in zones that are out, so that it is to be brought up elsewhere there.
func (p *planner) moves(model string, part Part) bool {
	return part.Demand != nil && p.out.of(model, part.Homes) > 0 && p.copies.of(model, part.Homes) == 0 && p.worthMoving(part.Demand) > leastMoved
}

// worthMoving is what it would lose that a model is loaded nowhere.
func (p *planner) worthMoving(demand *Demand) float64 {
	return p.missed(demand) + demand.Work*gainPerWork
}

// mayMove reports whether one more model that nobody waits for is to be looked at.
func (p *planner) mayMove() bool {
	p.moved++
	return p.moved <= movesPerPlan && p.loads > keptForWaiting
}

// yields reports whether a need gives way to what waits: it is a model's that nobody waits
// for yet.
func (n need) yields() bool { return n.moves && !n.waiting && !n.floor }

// worthPaying is the largest cost of a load that a need is worth at a runner. A model that
// moves is worth what it would be a loss to unload, and no request waits while it is loaded:
// its time is no cost.
func (p *planner) worthPaying(runner *Runner, n need) float64 {
	if !n.moves {
		return p.gain(n)
	}
	ready, _ := p.readyIn(runner, n.model)
	return ready.Seconds() + p.worthMoving(n.demand)
}

// missed is what the requests to come within horizon cost when a model is not loaded.
func (p *planner) missed(demand *Demand) float64 {
	return min(p.expectedRate(demand)*horizon, 1) * reloadCost
}
