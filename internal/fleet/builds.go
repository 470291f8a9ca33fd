package fleet

import (
	"slices"

	"lilacvane/internal/backend"
)

// allowsBuild reports whether the build of a runner may serve the request.
func (q *Query) allowsBuild(known *runner) bool {
	return q.Build == nil || known.listed.Build == *q.Build
}

// BuildState is what is known of the runners that a request bound to a build may still go to.
type BuildState uint8

// The states.
const (
	// BuildGone means that there is no such runner.
	BuildGone BuildState = iota
	// BuildLacksUnit means that none of them is known to hold the unit.
	BuildLacksUnit
	// BuildServes means that some hold the unit, though they may take nothing now.
	BuildServes
)

// BuildState returns the state of the runners of a request's build that it was not sent to.
func (f *Fleet) BuildState(query Query) BuildState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := BuildGone
	for _, known := range f.runners {
		usable := known.present && !f.isDraining(known) && !slices.Contains(query.Exclude, known.listed.ID)
		if !usable || !known.belongsTo(query.Service, query.Homes) || !query.allowsBuild(known) {
			continue
		}
		if query.Unit == (backend.Unit{}) || f.holds(known, query.Unit) {
			return BuildServes
		}
		state = BuildLacksUnit
	}
	return state
}
