package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// A plan asks each runner, for each model that lacks a replica, what it would cost to make room
// there. The answer depends on the models that the runner holds alone, so it is kept until the
// plan changes the count of one of them.

// victim is a model that may be unloaded from a runner.
type victim struct {
	model string
	size  float64
	loss  float64
}

// evictions are the models of a runner that may be unloaded, least loss first, as of the
// counts of its models.
type evictions struct {
	// versions are those of its models' counts, counted their sum when victims was found: it
	// is the same only while all are.
	versions []*int
	counted  int
	victims  []victim
}

// isCurrent reports whether no count of the runner's models changed.
func (e *evictions) isCurrent() bool { return e.sum() == e.counted }

func (e *evictions) sum() int {
	sum := 0
	for _, version := range e.versions {
		sum += *version
	}
	return sum
}

// version is that of a model's counts.
func (p *planner) version(model string) *int {
	version := p.versions[model]
	if version == nil {
		version = new(int)
		p.versions[model] = version
	}
	return version
}

// countCopy counts a copy of a model at a runner, or takes one away.
func (p *planner) countCopy(runner *Runner, model string, by int) {
	p.copies.add(runner, model, by)
	*p.version(model)++
}

// countReady does the same with a runner that serves the model.
func (p *planner) countReady(runner *Runner, model string, by int) {
	p.ready.add(runner, model, by)
	*p.version(model)++
}

// victims lists the models of a runner that may be unloaded, least loss first.
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
	known.counted, known.victims = known.sum(), p.findVictims(runner)
	return known.victims
}

// findVictims looks at each model of a runner.
func (p *planner) findVictims(runner *Runner) []victim {
	var victims []victim
	for _, name := range slices.Sorted(maps.Keys(runner.Models)) {
		held, weights := runner.Models[name], p.state.Engine.Models[name]
		if p.copies.total[name] <= p.state.Floors[name] || held.Coming || held.Leaving || held.Uncertain || weights == nil || p.needed(runner, name) {
			continue
		}
		victims = append(victims, victim{model: name, size: weights.Size, loss: p.loss(runner, name)})
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	return victims
}

// nextVictim is the model that is unloaded first; empty for none.
func (p *planner) nextVictim(runner *Runner) string {
	victims := p.victims(runner)
	if len(victims) == 0 {
		return ""
	}
	return victims[0].model
}
