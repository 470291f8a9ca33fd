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

// View is the control holder's account of a runner.
type View struct {
	Runner string
	// Listed is what the platform lists of the runner, told to a node that may have passed it
	// over and waits for what it holds; nil otherwise.
	Listed *backend.Runner
	Ready  []backend.Holding
	// Coming lists units being loaded.
	Coming []Coming
	// Silent is set while the runner does not answer the holder, after nodes
	// suspected it.
	Silent bool
}

// Coming is a unit that is being loaded and the time until it is expected.
type Coming struct {
	Unit backend.Unit
	In   time.Duration
	// Homes are those of the requests that a planned load is for.
	Homes place.Homes
	// Firm is set where a planned load cannot be sooner.
	Firm bool
}

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

type view struct {
	at     time.Time
	ready  map[backend.Unit]bool
	coming map[backend.Unit]time.Time
	silent bool
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

// Apply takes over a change of the platform's list. With doubtful set, the
// runners removed stay as a last choice for a while.
func (f *Fleet) Apply(changed []backend.Runner, removed []string, doubtful bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listVersion++
	for _, listed := range changed {
		f.add(listed)
	}
	for _, id := range removed {
		f.remove(id, doubtful)
	}
	f.sweep()
	f.notify()
}

// Replace takes over the whole list. Runners that are not in it have left; with
// doubtful set they stay as a last choice for a while, as the list was read
// after a time without the platform.
func (f *Fleet) Replace(listed []backend.Runner, doubtful bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	there := make(map[string]bool, len(listed))
	for _, runner := range listed {
		there[runner.ID] = true
	}
	for id, known := range f.runners {
		if known.present && !there[id] {
			f.remove(id, doubtful)
		}
	}
	f.listVersion++
	clear(f.keep.passed)
	f.keep.sort(listed)
	for _, runner := range listed {
		f.add(runner)
	}
	f.replaced = true
	f.sweep()
	f.notify()
}

// add takes over what the list tells of a runner, unless it is passed over.
func (f *Fleet) add(listed backend.Runner) {
	f.endEarlier(listed)
	known := f.runners[listed.ID]
	came := known == nil
	if came && !f.keep.takes(&listed, len(f.runners)) {
		f.keep.pass(&listed)
		return
	}
	f.put(listed, known)
	if !came && f.idle(known) && f.keep.spares(&listed, len(f.runners)-1) {
		f.drop(listed.ID)
	}
}

// put keeps what the list tells of a runner; known is nil for one that was not kept. mutex is
// held.
func (f *Fleet) put(listed backend.Runner, known *runner) {
	came := known == nil
	if came {
		known = &runner{order: order(listed.ID)}
		f.runners[listed.ID] = known
	}
	f.incarnations[listed.Name()] = listed.ID
	f.hearCold(known, listed, came)
	if known.present {
		f.keep.count(&known.listed, -1)
	}
	f.keep.count(&listed, 1)
	delete(f.gone, listed.ID)
	known.listed = listed
	known.listedAt = f.now()
	known.present = true
	known.units = unitsOf(listed.Models)
}

// endEarlier takes out the incarnation of a runner before the one that is listed now.
func (f *Fleet) endEarlier(listed backend.Runner) {
	if before := f.runners[f.incarnations[listed.Name()]]; before != nil && before.listed.ID != listed.ID {
		f.remove(before.listed.ID, false)
		before.listed.Missing = false
	}
}

// remove takes a runner out. While requests are under way at it, its entry
// stays until the last one has ended.
func (f *Fleet) remove(id string, doubtful bool) {
	known := f.runners[id]
	if known == nil || !known.present {
		return
	}
	f.keep.count(&known.listed, -1)
	known.present = false
	known.goneAt = f.now()
	known.listed.Missing = doubtful
	f.gone[id] = known
}

// sweep forgets runners that left and have no request under way.
func (f *Fleet) sweep() {
	for id, known := range f.gone {
		expired := !known.listed.Missing || f.now().Sub(known.goneAt) > missingLifetime
		if known.inFlight == 0 && expired {
			f.forget(id)
			f.noteLeft(id)
		}
	}
}

// forget drops what is known of a runner. mutex is held.
func (f *Fleet) forget(id string) {
	name := f.runners[id].listed.Name()
	delete(f.runners, id)
	delete(f.gone, id)
	if f.incarnations[name] == id {
		delete(f.incarnations, name)
	}
}

// ApplyViews takes over accounts of a service's control holder, whose list is of listRevision.
func (f *Fleet) ApplyViews(views []View, listRevision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, account := range views {
		f.admit(account.Listed, listRevision)
		if known := f.runners[account.Runner]; known != nil {
			known.view = f.newView(account)
			clear(known.refused)
		}
	}
	if len(views) > 0 {
		f.notify()
	}
}

func (f *Fleet) newView(account View) *view {
	taken := &view{at: f.now(), silent: account.Silent, ready: unitsOf(account.Ready), coming: make(map[backend.Unit]time.Time, len(account.Coming))}
	for _, coming := range account.Coming {
		taken.coming[coming.Unit] = f.now().Add(coming.In)
	}
	return taken
}

func unitsOf(models []backend.Holding) map[backend.Unit]bool {
	units := make(map[backend.Unit]bool, len(models))
	for _, holding := range models {
		units[backend.Unit{Model: holding.Model}] = true
		for _, adapter := range holding.Adapters {
			units[backend.Unit{Model: holding.Model, Adapter: adapter}] = true
		}
	}
	return units
}

// holds reports whether the runner is believed to hold the unit.
func (f *Fleet) holds(known *runner, unit backend.Unit) bool {
	if until, ok := known.refused[unit]; ok && f.now().Before(until) {
		return false
	}
	if known.view != nil && f.viewCounts(known) {
		return known.view.ready[unit]
	}
	return known.units[unit]
}

// viewCounts reports whether the holder's account of a runner goes before the
// list's: it is young, or the list told nothing since.
func (f *Fleet) viewCounts(known *runner) bool {
	return f.now().Sub(known.view.at) < viewLifetime || !known.listedAt.After(known.view.at)
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
