package policy

import (
	"slices"
	"sync"
	"time"

	"lilacvane/internal/api"
)

// Source lists the active policies.
type Source interface {
	// List returns the objects of a kind.
	List(kind api.Kind) []api.Object
}

// Set runs the active policies. A policy that fails keeps its last good result. It is safe for
// concurrent use.
type Set struct {
	source Source
	zone   *time.Location
	region string

	mutex       sync.Mutex
	compiled    map[string]compiledPolicy
	lastResults map[resultKey]int
	failures    map[string]string
}

// compiledPolicy is the program of one generation of a policy.
type compiledPolicy struct {
	generation uint64
	models     []string
	program    *Program
}

// resultKey identifies the results of a policy for a model.
type resultKey struct {
	policy string
	model  string
}

// NewSet returns a Set for a region whose policies read the clock in the given time zone.
func NewSet(source Source, region string, zone *time.Location) *Set {
	return &Set{
		source: source, zone: zone, region: region, compiled: make(map[string]compiledPolicy),
		lastResults: make(map[resultKey]int), failures: make(map[string]string),
	}
}

// Refresh compiles the policies that have changed and removes those that no longer exist.
func (s *Set) Refresh() {
	objects := s.source.List(api.KindPolicy)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present := make(map[string]struct{}, len(objects))
	for _, object := range objects {
		present[object.Name] = struct{}{}
		if s.compiled[object.Name].generation != object.Generation {
			s.compile(object)
		}
	}
	for name := range s.compiled {
		if _, stays := present[name]; !stays {
			delete(s.compiled, name)
			delete(s.failures, name)
		}
	}
}

// compile compiles one policy. The mutex must be held.
func (s *Set) compile(object api.Object) {
	spec, err := api.Decode[api.Policy](object)
	if err != nil {
		s.failures[object.Name] = err.Error()
		return
	}
	program, err := Compile(spec.Ready)
	if err != nil {
		s.failures[object.Name] = err.Error()
		return
	}
	delete(s.failures, object.Name)
	s.compiled[object.Name] = compiledPolicy{generation: object.Generation, models: spec.Models, program: program}
}

// Ready returns the highest number of ready replicas that any policy requires for a model now,
// and the name of that policy.
func (s *Set) Ready(model string, now time.Time) (int, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	floor, from := 0, ""
	for name, policy := range s.compiled {
		if !slices.Contains(policy.models, "*") && !slices.Contains(policy.models, model) {
			continue
		}
		ready := s.run(name, policy, Input{Model: model, Region: s.region, Time: now.In(s.zone)})
		if ready > floor {
			floor, from = ready, name
		}
	}
	return floor, from
}

// run runs one policy. If that fails, it returns the last good result. The mutex must be held.
func (s *Set) run(name string, policy compiledPolicy, input Input) int {
	key := resultKey{policy: name, model: input.Model}
	ready, err := policy.program.Ready(input)
	if err != nil {
		s.failures[name] = err.Error()
		return s.lastResults[key]
	}
	delete(s.failures, name)
	s.lastResults[key] = ready
	return ready
}

// Failures returns the latest errors of policies that don't compile or run, by policy name.
func (s *Set) Failures() map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	failures := make(map[string]string, len(s.failures))
	for name, reason := range s.failures {
		failures[name] = reason
	}
	return failures
}

// Zone returns the time zone in which policies read the clock.
func (s *Set) Zone() *time.Location { return s.zone }
