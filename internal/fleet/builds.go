package fleet

import (
	"slices"

	"lilacvane/internal/backend"
)

// allowsBuild reports whether the build of a runner may serve the request.
func (q *Query) allowsBuild(known *runner) bool {
	return q.Build == nil || known.listed.Build == *q.Build
}

// BuildLeft reports whether a runner that may serve the request, now or later, holds its unit and was
// not tried: without one, a request that is bound to a build waits in vain.
func (f *Fleet) BuildLeft(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.runners {
		usable := known.present && !f.isDraining(known) && !slices.Contains(query.Exclude, known.listed.ID)
		if !usable || !known.belongsTo(query.Service, query.Homes) || !query.allowsBuild(known) {
			continue
		}
		if query.Unit == (backend.Unit{}) || f.holds(known, query.Unit) {
			return true
		}
	}
	return false
}
