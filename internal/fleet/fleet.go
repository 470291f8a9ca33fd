// Package fleet keeps what this node knows of the runners: which there are,
// what they hold, how loaded they are and which prompts they keep. It answers
// where a request is best sent.
package fleet

import (
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
	"lilacvane/internal/statement"
)

const (
	// viewLifetime is how long the control holder's account of a runner goes
	// before a newer word of the platform's list, which lags.
	viewLifetime = 3 * time.Second
	// missingLifetime is how long a runner that vanished from the list without
	// a word stays as a last choice.
	missingLifetime = 2 * time.Second
	// RefusalPause keeps requests for a unit from a runner that has just
	// refused one.
	RefusalPause = 250 * time.Millisecond
)

// homedModel is a model that is waited for with homes.
type homedModel struct {
	model string
	homes place.Homes
}

// Fleet is the node's knowledge of the runners. Its methods may be called
// concurrently; mutex guards all fields.
type Fleet struct {
	zone string
	// ways are how far the regions are.
	ways ways
	now  func() time.Time
	// rules are what operators decided about runners and zones.
	rules eligible.Rules
	// zones weigh on choices; nil where no zone is ever taken out.
	zones Zones
	// statements are what runners stated of themselves in answers; nil where nobody hears.
	statements *statement.Book

	mutex   sync.Mutex
	runners map[string]*runner
	// gone are those of runners that left the list.
	gone map[string]*runner
	// keep decides which of the listed runners are among them.
	keep keeper
	// listVersion rises with each change of the list.
	listVersion uint64
	// incarnations is the identifier of the newest incarnation listed, by the runner's name.
	incarnations map[string]string
	// planned is, by service, when models that are waited for are expected though
	// nothing loads them yet.
	planned map[string]map[homedModel]time.Time
	// firm are, by service, the models whose planned load cannot be sooner.
	firm map[string]map[string]bool
	// ordersAt is, by service, when a control holder is expected to give orders.
	ordersAt map[string]time.Time
	// lenders is, by service, when its holder answered last.
	lenders map[string]time.Time
	// meanUnread is how many tokens of a request's prompt a runner has to read, in a
	// moving mean over this node's requests.
	meanUnread float64
	// obstacles are those found since the last change, by what was asked for.
	obstacles map[asked]foundObstacles
	// coldStarts tells which runners are cold, coldFigures counts their permits.
	coldStarts  ColdStarts
	coldFigures ColdFigures
	// restWaits counts the requests that wait for a rest to end, by what they ask for.
	restWaits map[asked]int
	// replaced is set once the whole list was read, left is when runners were forgotten.
	replaced bool
	left     map[string]time.Time
	// changed is closed and replaced whenever a waiting request may find a
	// runner that it did not find before.
	changed chan struct{}
}

// runner is one incarnation. Fleet.mutex guards it.
type runner struct {
	listed   backend.Runner
	listedAt time.Time
	present  bool
	// goneAt is when the runner left the list.
	goneAt time.Time
	// order is its place in the order by which short prompts are kept apart.
	order uint64
	view  *view
	// units is what the runner is believed to hold.
	units    map[backend.Unit]bool
	refused  map[backend.Unit]time.Time
	inFlight int
	// unanswered is how many of the requests under way it has not begun to answer.
	unanswered int
	// restsUntil is the end of its last rest that was noted, tookBefore how many requests of
	// this node it was answering as that began.
	restsUntil time.Time
	tookBefore int
	// deferred is how many requests were told to come back after its rest, which ends at
	// deferredTo.
	deferred   int
	deferredTo time.Time
	byUnit     map[backend.Unit]int
	prefill    int
	told       toldLoad
	health     health
	prompts    promptCache
	cold       coldstart.Runner
	// toldCold is set while the last news of the runner were that it is cold.
	toldCold bool
	// latency is the moving average of answer times in milliseconds.
	latency float64
	// answeredAt is when the runner last answered this node, suspect is set from
	// the time it does not until that was told, suspectedAt is when it last was.
	answeredAt  time.Time
	suspect     bool
	suspectedAt time.Time
}

// New returns an empty fleet for a node in zone; rules are what operators decided.
func New(zone string, now func() time.Time, rules eligible.Rules) *Fleet {
	return &Fleet{zone: zone, now: now, rules: rules, runners: make(map[string]*runner), gone: make(map[string]*runner), incarnations: make(map[string]string), planned: make(map[string]map[homedModel]time.Time), firm: make(map[string]map[string]bool),
		ordersAt: make(map[string]time.Time), lenders: make(map[string]time.Time), obstacles: make(map[asked]foundObstacles), restWaits: make(map[asked]int), left: make(map[string]time.Time), changed: make(chan struct{})}
}

// SetZones tells what operators' decisions about zones weigh. It is called before the
// fleet is used.
func (f *Fleet) SetZones(zones Zones) { f.zones = zones }

// SetStatements tells where runners' statements are kept. It is called before the fleet is used.
func (f *Fleet) SetStatements(statements *statement.Book) { f.statements = statements }

// SetRegion tells the region of the node. It is called before the fleet is used; without
// it all runners count as near.
func (f *Fleet) SetRegion(region place.Region) { f.ways.own = region }

// Wake lets waiting requests look again.
func (f *Fleet) Wake() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notify()
}

// Changed returns a channel that is closed at the next change that could let a
// waiting request go on.
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

// Holds reports whether a runner of the service to which something may go is believed to
// hold a model. One held outside the homes alone is not held.
func (f *Fleet) Holds(service, model string, homes place.Homes) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.runners {
		if known.present && f.asked(known, service, homes) && f.holds(known, backend.Unit{Model: model}) && !f.silent(known) {
			return true
		}
	}
	return false
}

// Serves reports whether a runner of the service is listed in the homes, whatever it does
// now: without one a request with these homes can never be taken.
func (f *Fleet) Serves(service string, homes place.Homes) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, known := range f.runners {
		if (known.present || known.listed.Missing) && known.serves(service, homes) {
			return true
		}
	}
	return false
}

// serves reports whether the runner is one of the service in the homes.
func (r *runner) serves(service string, homes place.Homes) bool {
	return r.listed.Service == service && homes.Allows(place.Region(r.listed.Region))
}

// Runners returns what the platform lists of a service's runners.
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

// ListVersion rises whenever the list changes: what Runners returns is the same while it does
// not.
func (f *Fleet) ListVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listVersion
}

// Usage is the requests of this node under way at a runner, by model, and those
// for adapters also by model/adapter.
type Usage struct {
	Runner   string
	Models   map[string]int
	Adapters map[string]int
}

// Usage returns the requests of this node under way at a service's runners.
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

// RegionOf is the region in which the runner of a name is listed; empty when that is not known.
func (f *Fleet) RegionOf(name string) place.Region {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[f.incarnations[name]]; known != nil {
		return place.Region(known.listed.Region)
	}
	return ""
}

// Listed returns what the platform's list told last of the runner of a name; false when
// there is none.
func (f *Fleet) Listed(name string) (backend.Runner, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listed(f.incarnations[name])
}

// Find returns what the platform's list told of a runner last; false when it is not listed.
func (f *Fleet) Find(id string) (backend.Runner, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.listed(id)
}

// listed is Find. mutex is held.
func (f *Fleet) listed(id string) (backend.Runner, bool) {
	known := f.runners[id]
	if known == nil || !known.present {
		return backend.Runner{}, false
	}
	return known.listed, true
}

// Named reports whether a runner of the name is listed or has requests under way.
func (f *Fleet) Named(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.incarnations[name] != ""
}

// Known reports whether a runner is listed or has requests under way.
func (f *Fleet) Known(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runners[id] != nil
}

// Count returns how many runners are listed.
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
