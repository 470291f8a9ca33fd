package origin

import (
	"iter"
	"time"

	"lilacvane/internal/backend"
)

// serviceBuilds are the builds of a service's runners: the number of listed runners of each, and when
// the last runner of the others left.
type serviceBuilds struct {
	runners map[backend.Build]int
	leftAt  map[backend.Build]time.Time
}

// listedRunner is what the platform's list says of a runner.
type listedRunner struct {
	service string
	build   backend.Build
	// born is its start time in Unix milliseconds; zero if not reported.
	born int64
}

// SetListed replaces the listed runners.
func (r *Registry) SetListed(runners []backend.Runner) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.listedSince.IsZero() {
		r.listedSince = r.Now()
	}
	present := make(map[string]bool, len(runners))
	for _, runner := range runners {
		present[runner.Name()] = true
		r.list(runner)
	}
	for name := range r.listed {
		if !present[name] {
			r.unlist(name)
		}
	}
}

// Change applies changes of the list: runners that are new or changed, and names of those that left.
func (r *Registry) Change(changed []backend.Runner, left []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, runner := range changed {
		r.list(runner)
	}
	for _, name := range left {
		r.unlist(name)
	}
}

// list counts a runner. When a service gets a second build, the streams that this node began are told
// to keepers. mutex is held.
func (r *Registry) list(runner backend.Runner) {
	after := listedRunner{service: runner.Service, build: runner.Build, born: runner.Born}
	if r.listed[runner.Name()] == after {
		return
	}
	before := r.several(runner.Service)
	builds := r.builds[runner.Service]
	if builds == nil {
		builds = &serviceBuilds{runners: make(map[backend.Build]int), leftAt: make(map[backend.Build]time.Time)}
		r.builds[runner.Service] = builds
	}
	builds.runners[runner.Build]++
	r.unlist(runner.Name())
	r.listed[runner.Name()] = after
	if !before && r.several(runner.Service) {
		r.Log.Info("several builds serve", "service", runner.Service, "new", string(runner.Build))
		for stream, known := range r.records {
			if known.own && known.service == runner.Service {
				r.tellLater(stream)
			}
		}
	}
}

// unlist stops counting a runner. mutex is held.
func (r *Registry) unlist(name string) {
	known, listed := r.listed[name]
	if !listed {
		return
	}
	delete(r.listed, name)
	builds := r.builds[known.service]
	if builds.runners[known.build]--; builds.runners[known.build] == 0 {
		delete(builds.runners, known.build)
		builds.leftAt[known.build] = r.Now()
	}
}

// servedLately returns the builds of a service that serve, or served lately, as far as known; one may be repeated.
// mutex is held.
func (r *Registry) servedLately(service string) iter.Seq[backend.Build] {
	return func(yield func(backend.Build) bool) {
		for _, build := range r.served.ofService[service] {
			if !yield(build) {
				return
			}
		}
		builds := r.builds[service]
		if builds == nil {
			return
		}
		for build := range builds.runners {
			if !yield(build) {
				return
			}
		}
		for build, at := range builds.leftAt {
			if r.Now().Sub(at) >= recordLifetime {
				delete(builds.leftAt, build)
			} else if !yield(build) {
				return
			}
		}
	}
}

// several reports whether runners of more than one build serve, or served lately. mutex is held.
func (r *Registry) several(service string) bool {
	first, found := backend.Build(""), false
	for build := range r.servedLately(service) {
		if found && build != first {
			return true
		}
		first, found = build, true
	}
	return false
}

// sure reports whether this node has followed the list for long enough to have been told of streams that clients
// resume now. mutex is held.
func (r *Registry) sure() bool {
	return !r.listedSince.IsZero() && r.Now().Sub(r.listedSince) >= returnTime
}

// only returns the one build of a service that serves, or served lately; false if there is none or several.
// mutex is held.
func (r *Registry) only(service string) (backend.Build, bool) {
	if r.several(service) {
		return "", false
	}
	for build := range r.servedLately(service) {
		return build, true
	}
	return "", false
}
