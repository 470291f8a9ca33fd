package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// For each model that lacks a replica, a plan computes the cost of freeing memory on every
// runner. The result depends only on the replica counts of the models that the runner holds,
// so it is cached until the plan changes one of those counts.

// victim is a model that may be unloaded from a runner.
type victim struct {
	model      string
	size       float64
	unloadCost float64
}

// evictions caches the models that may be unloaded from a runner, cheapest first, for the
// current replica counts.
type evictions struct {
	// versions point to the count versions of the runner's models. versionSum is their sum
	// when victims was computed. Versions only increase, so an equal sum means that none has
	// changed.
	versions   []*int
	versionSum int
	victims    []victim
}

// isCurrent reports whether the counts of the runner's models are unchanged since victims was
// computed.
func (e *evictions) isCurrent() bool { return e.sum() == e.versionSum }

func (e *evictions) sum() int {
	sum := 0
	for _, version := range e.versions {
		sum += *version
	}
	return sum
}

// version returns a pointer to the version of a model's replica counts.
func (p *planner) version(model string) *int {
	version := p.versions[model]
	if version == nil {
		version = new(int)
		p.versions[model] = version
	}
	return version
}

// countCopy adds a change to the number of copies of a model, on a runner.
func (p *planner) countCopy(runner *Runner, model string, by int) {
	p.copies.add(runner, model, by)
	*p.version(model)++
}

// countReady adds a change to the number of ready replicas of a model, on a runner.
func (p *planner) countReady(runner *Runner, model string, by int) {
	p.ready.add(runner, model, by)
	*p.version(model)++
}

// victims returns the models that may be unloaded from a runner, cheapest first.
func (p *planner) victims(runner *Runner) []victim {
	known := p.evictions[runner]
	if known == nil {
		known = &evictions{versions: make([]*int, 0, len(runner.Models))}
		for name := range runner.Models {
			known.versions = append(known.versions, p.version(name))
		}
		p.evictions[runner] = known
	} else if known.isCurrent() {
		return known.victims
	}
	known.versionSum, known.victims = known.sum(), p.findVictims(runner)
	return known.victims
}

// findVictims computes victims without the cache.
func (p *planner) findVictims(runner *Runner) []victim {
	var victims []victim
	for _, name := range slices.Sorted(maps.Keys(runner.Models)) {
		held, weights := runner.Models[name], p.state.Engine.Models[name]
		if p.copies.total[name] <= p.state.Floors[name] || held.Loading || held.Unloading || held.Uncertain || weights == nil || p.isOnlyReady(runner, name) {
			continue
		}
		victims = append(victims, victim{model: name, size: weights.Size, unloadCost: p.unloadCost(runner, name)})
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.unloadCost, b.unloadCost) })
	return victims
}

// nextVictim returns the model to unload first, or "" if there is none.
func (p *planner) nextVictim(runner *Runner) string {
	victims := p.victims(runner)
	if len(victims) == 0 {
		return ""
	}
	return victims[0].model
}
