package scheduler

import (
	"slices"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// Requests with homes are served by replicas there alone, so what they ask for is a need
// of its own: it counts the replicas in the homes, and is placed there. Requests
// without homes are served by all replicas.

// replicas counts the replicas of models, in all and by region.
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

// add counts replicas of a model at a runner.
func (r replicas) add(runner *Runner, model string, count int) {
	r.total[model] += count
	r.within[regionModel{model: model, region: runner.Region}] += count
}

// of returns how many replicas of a model there are in homes.
func (r replicas) of(model string, homes place.Homes) int {
	if !homes.Bound() {
		return r.total[model]
	}
	count := 0
	for _, region := range homes.Regions() {
		count += r.within[regionModel{model: model, region: region}]
	}
	return count
}

// parts returns a unit's demand by homes. The part without homes is always there and the
// last; what it holds is nil when nobody asks without homes.
func (p *planner) parts(unit backend.Unit) []Part {
	parts, divided := p.state.Parts[unit]
	if !divided {
		return []Part{{Demand: p.state.Demand[unit]}}
	}
	bound := slices.DeleteFunc(slices.Clone(parts), func(part Part) bool { return !part.Homes.Bound() })
	return append(bound, p.anywhere(unit, bound, parts))
}

// anywhere returns the part of a unit's demand without homes. The work of requests with
// homes takes of the replicas that serve these, so as much of it as they bear counts too:
// what they do not bear is of no use anywhere else.
func (p *planner) anywhere(unit backend.Unit, bound, parts []Part) Part {
	at := slices.IndexFunc(parts, func(part Part) bool { return !part.Homes.Bound() })
	if at < 0 {
		return Part{}
	}
	demand := *parts[at].Demand
	for _, part := range bound {
		demand.Work += min(part.Work, targetWork*float64(p.copies.of(unit.Model, part.Homes)))
	}
	return Part{Demand: &demand}
}

// far is the part of what waits whose nodes are known to lie in other regions than a runner.
func (d *Demand) far(runner *Runner) float64 {
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

// waits reports whether requests of the part wait.
func (p Part) waits() bool { return p.Demand != nil && p.Waiting > 0 }
