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
	// BuildLacksUnit means that runners of other builds hold the unit and none of these is known to, so
	// that it may never be loaded there.
	BuildLacksUnit
	// BuildServes means that some hold the unit, though they may take nothing now, or that no runner
	// does, so that it is loaded somewhere.
	BuildServes
)

// BuildState returns the state of the runners of a request's build that it was not sent to.
func (f *Fleet) BuildState(query Query) BuildState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	left, heldElsewhere := false, false
	for _, known := range f.runners {
		if !known.present || f.isDraining(known) || !known.belongsTo(query.Service, query.Homes) {
			continue
		}
		holds := query.Unit == (backend.Unit{}) || f.holds(known, query.Unit)
		switch {
		case !query.allowsBuild(known):
			heldElsewhere = heldElsewhere || holds
		case slices.Contains(query.Exclude, known.listed.ID):
		case holds:
			return BuildServes
		default:
			left = true
		}
	}
	switch {
	case !left:
		return BuildGone
	case heldElsewhere:
		return BuildLacksUnit
	default:
		return BuildServes
	}
}
