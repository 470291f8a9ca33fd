package scheduler

// loadsReservedForWaiting is the number of loads from the weight store reserved for models
// with waiting requests while other models are being evacuated from a zone.
const loadsReservedForWaiting = 1

const (
	// minEvacuationValue is the minimum value, in seconds of one waiting request, for which a
	// model is evacuated: below it a load does not pay.
	minEvacuationValue = storeCost
	// maxEvacuationsPerPlan limits the models considered per plan, as a zone may hold
	// hundreds of models and the store carries only some loads at once.
	maxEvacuationsPerPlan = 8
)

// needsEvacuation reports whether requests are expected for a model that, in their homes, is
// served only by runners in zones that are out, so that it should be loaded on another runner
// there.
func (p *planner) needsEvacuation(model string, part Part) bool {
	return part.Demand != nil && p.out.in(model, part.Homes) > 0 && p.copies.in(model, part.Homes) == 0 && p.evacuationValue(part.Demand) > minEvacuationValue
}

// evacuationValue is the cost of not having the model loaded anywhere.
func (p *planner) evacuationValue(demand *Demand) float64 {
	return p.absenceCost(demand) + demand.Work*gainPerWork
}

// mayEvacuate counts one more evacuation without waiting requests and reports whether it may
// be considered.
func (p *planner) mayEvacuate() bool {
	p.evacuationsTried++
	return p.evacuationsTried <= maxEvacuationsPerPlan && p.loads > loadsReservedForWaiting
}

// isProactive reports whether the need gives way to needs with waiting requests: it evacuates
// a model that no request waits for yet. Such a need neither takes the last load that the
// store allows nor reserves a busy runner.
func (n need) isProactive() bool { return n.evacuates && !n.waiting && !n.floor }

// maxCost returns the highest cost at which a need is still worth a load on a runner. An
// evacuated model is worth what unloading it would cost. Its load time is not counted as a
// cost, because no request waits meanwhile.
func (p *planner) maxCost(runner *Runner, n need) float64 {
	if !n.evacuates {
		return p.replicaValue(n)
	}
	ready, _ := p.readyIn(runner, n.model)
	return ready.Seconds() + p.evacuationValue(n.demand)
}

// absenceCost estimates the cost for requests within the horizon if the model is not loaded.
func (p *planner) absenceCost(demand *Demand) float64 {
	return min(p.expectedRate(demand)*horizon, 1) * reloadCost
}
