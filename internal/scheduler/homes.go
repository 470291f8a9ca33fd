package scheduler

import (
	"slices"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// Requests with homes can only be served by replicas in those regions. Their demand is
// therefore a separate need that counts and places replicas only there. Requests without homes
// can be served by any replica.

// replicas counts the replicas of models, in total and by region.
type replicas struct {
	total  map[string]int
	within map[regionModel]int
}

type regionModel struct {
	model  string
	region place.Region
}

func newReplicas() replicas {
	return replicas{total: make(map[string]int), within: make(map[regionModel]int)}
}

// add adds count to the replicas of a model, on a runner.
func (r replicas) add(runner *Runner, model string, count int) {
	r.total[model] += count
	r.within[regionModel{model: model, region: runner.Region}] += count
}

// in returns the number of replicas of a model in the given homes.
func (r replicas) in(model string, homes place.Homes) int {
	if !homes.Restricted() {
		return r.total[model]
	}
	count := 0
	for _, region := range homes.Regions() {
		count += r.within[regionModel{model: model, region: region}]
	}
	return count
}

// parts returns a unit's demand by homes. The part without homes is always present and always
// last. Its Demand is nil if no requests come without homes.
func (p *planner) parts(unit backend.Unit) []Part {
	parts, divided := p.state.Parts[unit]
	if !divided {
		return []Part{{Demand: p.state.Demand[unit]}}
	}
	restricted := slices.DeleteFunc(slices.Clone(parts), func(part Part) bool { return !part.Homes.Restricted() })
	return append(restricted, p.unrestrictedPart(unit, restricted, parts))
}

// unrestrictedPart returns the part of a unit's demand without homes. Requests with homes also
// use up capacity of the replicas that serve them, so their work is added, up to what those
// replicas can take. Work beyond that could not run on any other replica.
func (p *planner) unrestrictedPart(unit backend.Unit, restricted, parts []Part) Part {
	at := slices.IndexFunc(parts, func(part Part) bool { return !part.Homes.Restricted() })
	if at < 0 {
		return Part{}
	}
	demand := *parts[at].Demand
	for _, part := range restricted {
		demand.Work += min(part.Work, targetWork*float64(p.copies.in(unit.Model, part.Homes)))
	}
	return Part{Demand: &demand}
}

// remoteFraction is the fraction of waiting requests whose nodes are known to be in a
// different region from the runner.
func (d *Demand) remoteFraction(runner *Runner) float64 {
	if runner.Region == "" || d.Waiting == 0 {
		return 0
	}
	elsewhere := 0
	for region, count := range d.From {
		if region != runner.Region {
			elsewhere += count
		}
	}
	return float64(elsewhere) / float64(d.Waiting)
}

// hasWaiting reports whether requests of the part are waiting.
func (p Part) hasWaiting() bool { return p.Demand != nil && p.Waiting > 0 }
