// Package fleet tracks what this node knows about the runners: which ones exist, what they
// hold, how loaded they are and which prompts they have cached. From that it chooses the
// runner for a request.
//
// The lease holder of a service is the node that holds its control lease: it orders loads and
// unloads on the service's runners, reports their state to the other nodes and lends permits
// for cold runners.
package fleet

import (
	"slices"
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/statement"
)

const (
	// viewLifetime is how long the lease holder's view of a runner takes precedence over a
	// newer entry of the platform's list, which lags behind.
	viewLifetime = 3 * time.Second
	// missingLifetime is how long a runner that vanished from the list without notice is kept
	// as a last resort.
	missingLifetime = 2 * time.Second
	// RefusalPause is how long a runner that refused a request for a unit gets no more
	// requests for that unit.
	RefusalPause = 250 * time.Millisecond
)

// modelInHomes is a model that requests wait for, with the homes of those requests.
type modelInHomes struct {
	model string
	homes place.Homes
}

// Fleet is what the node knows about the runners. Its methods may be called concurrently;
// mutex guards all fields that change after the setup.
type Fleet struct {
	zone string
	// latencies tracks how fast runners of each region answer.
	latencies regionLatencies
	now       func() time.Time
	// rules are the decisions of operators about runners and zones.
	rules eligible.Rules
	// zones adds costs for zones; nil if zones are never taken out.
	zones Zones
	// statements holds what runners stated in answers; nil if statements are not used.
	statements *statement.Registry

	mutex   sync.Mutex
	runners map[string]*runner
	// departed holds those of runners that left the list.
	departed map[string]*runner
	// retention decides which of the listed runners are tracked.
	retention retention
	// listVersion increases with each change of the list.
	listVersion uint64
	// incarnations maps the name of a runner to the identifier of its newest listed
	// incarnation.
	incarnations map[string]string
	// planned is, per service, when models that requests wait for are expected although no
	// load of them has begun.
	planned map[string]map[modelInHomes]time.Time
	// firm holds, per service, the models whose planned load cannot complete any sooner.
	firm map[string]map[string]bool
	// ordersAt is, per service, when a lease holder is expected to give orders.
	ordersAt map[string]time.Time
	// lenderSeenAt is, per service, when the lease holder, which lends permits, last
	// answered.
	lenderSeenAt map[string]time.Time
	// meanUnread is the number of prompt tokens a runner has to read per request, as a moving
	// mean over this node's requests.
	meanUnread float64
	// obstacles caches the obstacles found since the last change, by what was requested.
	obstacles map[requestKey]cachedObstacles
	// coldStarts determines which runners are cold; coldFigures counts their permits.
	coldStarts  ColdStarts
	coldFigures ColdFigures
	// restWaiters counts the requests that wait for a rest to end, by what they request.
	restWaiters map[requestKey]int
	// nodes is how many nodes send requests to the runners; zero while unknown.
	nodes int
	// brittleServices caches what the runners of services stated about being brittle.
	brittleServices map[string]brittleness
	// listRead is set once the whole list was read; departures are the runners forgotten since.
	listRead   bool
	departures map[string]departure
	// changed is closed and replaced whenever a waiting request may find a runner that it did
	// not find before.
	changed chan struct{}
}

// runner is one incarnation of a runner. Fleet.mutex guards it.
type runner struct {
	listed   backend.Runner
	listedAt time.Time
	present  bool
	// removedAt is when the runner left the list.
	removedAt time.Time
	// hash places the runner in the order that all nodes share; see hashID.
	hash uint64
	// view is the lease holder's last view of the runner; nil for none.
	view *view
	// units is what the runner is listed to hold.
	units map[backend.Unit]bool
	// refused is until when the runner gets no requests for units that it refused.
	refused map[backend.Unit]time.Time
	// inFlight is the number of this node's requests at the runner.
	inFlight int
	// unanswered is how many of the requests in flight the runner has not begun to answer.
	unanswered int
	// restUntil is the end of the last recorded rest; activeBeforeRest is how many requests of
	// this node the runner was answering when that rest began.
	restUntil        time.Time
	activeBeforeRest int
	// deferred is how many requests were told to come back after the rest that ends at
	// deferredUntil.
	deferred      int
	deferredUntil time.Time
	// rejectedAt is when the runner rejected requests, heldBack whether requests wait because it is
	// brittle.
	rejectedAt []time.Time
	heldBack   bool
	// loadAskedAt is when the load of a brittle runner was last asked for because requests wait.
	loadAskedAt time.Time
	// byUnit counts those requests in flight that name a unit; prefill is how many of their
	// tokens the runner still has to read.
	byUnit  map[backend.Unit]int
	prefill int
	load    reportedLoad
	health  health
	prompts promptCache
	cold    coldstart.Runner
	// lastCold is set if the runner was last reported to be cold; see TakeColdChanges.
	lastCold bool
	// latency is the moving average of answer times in milliseconds.
	latency float64
	// answeredAt is when the runner last answered this node. suspect is set from when the
	// runner is suspected until TakeSuspects returns it; suspectedAt is when it was last
	// suspected.
	answeredAt  time.Time
	suspect     bool
	suspectedAt time.Time
}

// New returns an empty fleet for a node in zone; rules are the decisions of operators.
func New(zone string, now func() time.Time, rules eligible.Rules) *Fleet {
	return &Fleet{zone: zone, now: now, rules: rules, runners: make(map[string]*runner), departed: make(map[string]*runner), incarnations: make(map[string]string), planned: make(map[string]map[modelInHomes]time.Time), firm: make(map[string]map[string]bool),
		ordersAt: make(map[string]time.Time), lenderSeenAt: make(map[string]time.Time), obstacles: make(map[requestKey]cachedObstacles), restWaiters: make(map[requestKey]int), brittleServices: make(map[string]brittleness), departures: make(map[string]departure), changed: make(chan struct{})}
}

// SetZones sets how zones weigh on choices. It must be called before the fleet is used.
func (f *Fleet) SetZones(zones Zones) { f.zones = zones }

// SetStatements sets where the statements of runners are kept. It must be called before the
// fleet is used.
func (f *Fleet) SetStatements(statements *statement.Registry) { f.statements = statements }

// SetRegion sets the region of the node. It must be called before the fleet is used; without
// it all runners count as local.
func (f *Fleet) SetRegion(region place.Region) { f.latencies.local = region }

// Wake makes waiting requests look for a runner again.
func (f *Fleet) Wake() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notify()
}

// Changed returns a channel that is closed at the next change that could let a waiting request
// proceed.
func (f *Fleet) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

func (f *Fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
	clear(f.obstacles)
}

// Holds reports whether a runner of the service in the homes, to which something may be sent,
// is believed to hold a model.
func (f *Fleet) Holds(service, model string, homes place.Homes) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.runners {
		if known.present && f.mayAsk(known, service, homes) && f.holds(known, backend.Unit{Model: model}) && !f.silent(known) {
			return true
		}
	}
	return false
}

// Serves reports whether a runner of the service is listed in the homes, whatever its state.
// Without one, a request with these homes can never be served.
func (f *Fleet) Serves(service string, homes place.Homes) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.runners {
		if (known.present || known.listed.Missing) && known.belongsTo(service, homes) {
			return true
		}
	}
	return false
}

// HasOther reports whether a runner that the query does not exclude is listed in its homes and holds its
// unit, whether or not it has room.
func (f *Fleet) HasOther(query Query) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, known := range f.runners {
		if !known.present || !known.belongsTo(query.Service, query.Homes) || slices.Contains(query.Exclude, id) {
			continue
		}
		if query.Unit == (backend.Unit{}) || f.holds(known, query.Unit) {
			return true
		}
	}
	return false
}

// belongsTo reports whether the runner belongs to the service and its region is in the homes.
func (r *runner) belongsTo(service string, homes place.Homes) bool {
	return r.listed.Service == service && homes.Allows(place.Region(r.listed.Region))
}

// CountService returns how many runners of a service the platform lists.
func (f *Fleet) CountService(service string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, known := range f.runners {
		if known.present && known.listed.Service == service {
			count++
		}
	}
	return count
}

// Runners returns a service's runners as the platform lists them.
func (f *Fleet) Runners(service string) []backend.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var listed []backend.Runner
	for _, known := range f.runners {
		if known.present && known.listed.Service == service {
			listed = append(listed, known.listed)
		}
	}
	return listed
}

// ListVersion increases whenever the list changes; while it stays the same, Runners returns
// the same.
func (f *Fleet) ListVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listVersion
}

// Usage is the number of this node's requests in flight at a runner, by model, and those for
// adapters also by model/adapter.
type Usage struct {
	Runner   string
	Models   map[string]int
	Adapters map[string]int
}

// Usage returns this node's requests in flight at a service's runners.
func (f *Fleet) Usage(service string) []Usage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var usages []Usage
	for id, known := range f.runners {
		if known.listed.Service != service || len(known.byUnit) == 0 {
			continue
		}
		usage := Usage{Runner: id, Models: make(map[string]int, len(known.byUnit)), Adapters: make(map[string]int)}
		for unit, count := range known.byUnit {
			usage.Models[unit.Model] += count
			if unit.Adapter != "" {
				usage.Adapters[unit.String()] = count
			}
		}
		usages = append(usages, usage)
	}
	return usages
}

// RegionOf returns the region in which the runner with that name is listed; empty if not
// known.
func (f *Fleet) RegionOf(name string) place.Region {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[f.incarnations[name]]; known != nil {
		return place.Region(known.listed.Region)
	}
	return ""
}

// Listed returns the latest entry of the platform's list for the runner with that name; false
// if there is none.
func (f *Fleet) Listed(name string) (backend.Runner, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listed(f.incarnations[name])
}

// Find returns the latest entry of the platform's list for a runner identifier; false if it is
// not listed.
func (f *Fleet) Find(id string) (backend.Runner, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listed(id)
}

// listed implements Find. mutex must be held.
func (f *Fleet) listed(id string) (backend.Runner, bool) {
	known := f.runners[id]
	if known == nil || !known.present {
		return backend.Runner{}, false
	}
	return known.listed, true
}

// Replaced reports whether another runner, or another incarnation of it, is listed at a runner's
// address.
func (f *Fleet) Replaced(runner backend.Runner) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, known := range f.runners {
		if id != runner.ID && known.present && known.listed.Address == runner.Address {
			return true
		}
	}
	return false
}

// Sample returns up to count listed runners of all services, other than the one with that name,
// beginning anywhere.
func (f *Fleet) Sample(count int, except string) []reach.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sample := make([]reach.Runner, 0, count)
	for _, known := range f.runners {
		if len(sample) == count {
			break
		}
		if known.present && known.listed.Name() != except {
			sample = append(sample, reach.Runner{Name: known.listed.Name(), Address: known.listed.Address})
		}
	}
	return sample
}

// Named reports whether a runner with that name is listed or has requests in flight.
func (f *Fleet) Named(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnations[name] != ""
}

// Known reports whether a runner is listed or has requests in flight.
func (f *Fleet) Known(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runners[id] != nil
}

// Count returns the number of listed runners.
func (f *Fleet) Count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, known := range f.runners {
		if known.present {
			count++
		}
	}
	return count
}
