package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/place"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
)

const (
	// reportLifetime is how long a node's word is believed, in reports.
	reportLifetime = 8
	// rateHalfLife is how fast the rate of a unit follows its use.
	rateHalfLife = 3 * time.Second
	// tokensPerSecond is what a runner reads when it does nothing else.
	tokensPerSecond = 35_000.0
	// forgetAfter drops units that were not asked for.
	forgetAfter = 5 * time.Minute
)

// demandBook gathers what the nodes ask for. Controller.mutex guards it.
type demandBook struct {
	reports map[string]nodeReport
	used    map[backend.Unit]*use
	// bound follows apart what requests with homes ask for; used counts it as well.
	bound map[scheduler.Want]*use
	// began is when the first report came.
	began time.Time
	// summed is the last summary of the nodes.
	summed nodeSummary
}

// nodeSummary is what nodes are told of all nodes.
type nodeSummary struct {
	at time.Time
	// count is how many reported lately.
	count int
	// bestSpare is the largest part of what a holder should have that a node other than the
	// holder has, standbys are the addresses of those with the most.
	bestSpare float64
	standbys  []string
}

type nodeReport struct {
	at      time.Time
	zone    string
	region  place.Region
	address string
	spare   float64
	waiting []wire.UnitWaiting
	running []wire.RunnerUsage
}

// use follows the rate of a unit as an exponentially fading count.
type use struct {
	requests float64
	tokens   float64
	// running is the number of requests under way, smoothed, as of ranAt.
	running float64
	ranAt   time.Time
	at      time.Time
	last    time.Time
}

func newDemandBook() *demandBook {
	return &demandBook{reports: make(map[string]nodeReport), used: make(map[backend.Unit]*use), bound: make(map[scheduler.Want]*use)}
}

// report takes a node's demand. It returns whether something waits.
func (d *demandBook) report(request wire.SyncRequest, now time.Time) bool {
	if d.began.IsZero() {
		d.began = now
	}
	for _, usage := range request.Usage {
		for _, unit := range unitsNamed(usage.Model, usage.Adapter) {
			note(d.used, unit, usage, now)
			if homes := place.HomesOf(usage.Homes); homes.Bound() {
				note(d.bound, scheduler.Want{Unit: unit, Homes: homes}, usage, now)
			}
		}
	}
	if !request.Report {
		return false
	}
	d.reports[request.Node] = nodeReport{at: now, zone: request.Zone, region: place.Region(request.Region), address: request.Address, spare: request.Spare, waiting: request.Waiting, running: request.Running}
	return len(request.Waiting) > 0
}

// unitsNamed lists what requests for a model, or for an adapter of it, ask for: what is
// asked of an adapter is asked of its model as well.
func unitsNamed(model, adapter string) []backend.Unit {
	units := []backend.Unit{{Model: model}}
	if adapter != "" {
		units = append(units, backend.Unit{Model: model, Adapter: adapter})
	}
	return units
}

// note counts a node's use of something.
func note[K comparable](uses map[K]*use, key K, usage wire.UnitUsage, now time.Time) {
	known := uses[key]
	if known == nil {
		known = &use{at: now, ranAt: now}
		uses[key] = known
	}
	known.fade(now)
	known.requests += float64(usage.Requests)
	known.tokens += float64(usage.Tokens)
	known.last = now
}

func (u *use) fade(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(u.at)) / float64(rateHalfLife))
	u.requests *= factor
	u.tokens *= factor
	u.at = now
}

// run moves the smoothed number of requests under way towards count.
func (u *use) run(count int, now time.Time) {
	kept := math.Exp2(-float64(now.Sub(u.ranAt)) / float64(rateHalfLife))
	u.ranAt = now
	u.running = kept*u.running + (1-kept)*float64(count)
}

// work is the share of a runner that the requests take: of its time for reading
// prompts, and of its slots.
func (u *use) work(slots int) float64 {
	return perSecond(u.tokens)/tokensPerSecond + u.running/float64(max(slots, 1))
}

// leastSeen bounds the part that seen returns: of a shorter time rates tell little.
const leastSeen = 0.1

// seen is the part of a steady rate that the fading counts show by now: a new holder's
// begin with nothing.
func (d *demandBook) seen(now time.Time) float64 {
	return max(1-math.Exp2(-float64(now.Sub(d.began))/float64(rateHalfLife)), leastSeen)
}

// perSecond turns a fading count into a rate.
func perSecond(count float64) float64 { return count * math.Ln2 / rateHalfLife.Seconds() }

// lifetime is how long a node's word is believed.
func (d *demandBook) lifetime() time.Duration { return reportLifetime * reportEvery(len(d.reports)) }

// nodes counts the nodes that reported lately.
func (d *demandBook) nodes(now time.Time) int {
	for node, report := range d.reports {
		if now.Sub(report.at) > d.lifetime() {
			delete(d.reports, node)
		}
	}
	return len(d.reports)
}

// summaryPerNode is how long a summary stands for each node in it: it costs a look at each, and
// is told in answer to each report.
const summaryPerNode = 250 * time.Microsecond

// summary sums up the nodes that reported lately for the holder self.
func (d *demandBook) summary(self string, now time.Time) nodeSummary {
	if now.Sub(d.summed.at) >= time.Duration(d.summed.count)*summaryPerNode {
		d.summed = nodeSummary{at: now, count: d.nodes(now), bestSpare: d.bestSpare(self), standbys: d.standbys(self)}
	}
	return d.summed
}

// waitsFor reports whether requests of a node wait for a model, by its last report.
func (d *demandBook) waitsFor(node, model string) bool {
	return slices.ContainsFunc(d.reports[node].waiting, func(w wire.UnitWaiting) bool { return w.Model == model })
}

// bestSpare is the largest part of what a holder should have that a node other than
// self has.
func (d *demandBook) bestSpare(self string) float64 {
	best := 0.0
	for node, report := range d.reports {
		if node != self {
			best = max(best, report.spare)
		}
	}
	return best
}

// standbyCount is how many nodes turn to the store first: enough that a lost zone or
// machine leaves some.
const standbyCount = 8

// standbys are the addresses of the nodes other than self with the most to spare.
func (d *demandBook) standbys(self string) []string {
	nodes := slices.DeleteFunc(slices.Collect(maps.Keys(d.reports)), func(node string) bool { return node == self })
	slices.SortFunc(nodes, func(a, b string) int {
		// Names are hashed so that equal machines are taken from all zones.
		return cmp.Or(cmp.Compare(d.reports[b].spare, d.reports[a].spare), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)))
	})
	addresses := make([]string, 0, standbyCount)
	for _, node := range nodes[:min(standbyCount, len(nodes))] {
		addresses = append(addresses, d.reports[node].address)
	}
	return addresses
}

// members lists the nodes that reported lately.
func (d *demandBook) members(now time.Time) []wire.Member {
	d.nodes(now)
	members := make([]wire.Member, 0, len(d.reports))
	for _, node := range slices.Sorted(maps.Keys(d.reports)) {
		members = append(members, wire.Member{Node: node, Zone: d.reports[node].zone, Region: string(d.reports[node].region), Address: d.reports[node].address})
	}
	return members
}

// runnerLoad is the requests under way at a runner, by model, and those for
// adapters also by model/adapter.
type runnerLoad struct {
	models   map[string]int
	adapters map[string]int
}

// running returns the requests under way by runner.
func (d *demandBook) running(now time.Time) map[string]runnerLoad {
	sums := make(map[string]runnerLoad)
	for _, report := range d.reports {
		if now.Sub(report.at) > d.lifetime() {
			continue
		}
		for _, usage := range report.running {
			sum, known := sums[usage.Runner]
			if !known {
				sum = runnerLoad{models: make(map[string]int), adapters: make(map[string]int)}
				sums[usage.Runner] = sum
			}
			for model, count := range usage.Models {
				sum.models[model] += count
			}
			for adapter, count := range usage.Adapters {
				sum.adapters[adapter] += count
			}
		}
	}
	return sums
}

// runningByUnit sums up the requests under way, by the name of the model or of the
// adapter with its model.
func runningByUnit(running map[string]runnerLoad) map[string]int {
	sums := make(map[string]int)
	for _, load := range running {
		for model, count := range load.models {
			sums[model] += count
		}
		for adapter, count := range load.adapters {
			sums[adapter] += count
		}
	}
	return sums
}

// units returns the demand by unit, given the requests under way by runner and what
// a runner has of slots and places for adapters. What waits for an adapter waits for its model as
// well.
func (d *demandBook) units(running map[string]runnerLoad, engine *config.Engine, now time.Time) map[backend.Unit]*scheduler.Demand {
	sums := runningByUnit(running)
	adapters := make(map[string]float64)
	units := make(map[backend.Unit]*scheduler.Demand, len(d.used))
	seen := d.seen(now)
	for unit, use := range d.used {
		if now.Sub(use.last) > forgetAfter {
			delete(d.used, unit)
			continue
		}
		use.run(sums[unit.String()], now)
		use.fade(now)
		units[unit] = &scheduler.Demand{
			Rate: perSecond(use.requests) / seen, Work: use.work(engine.Slots) / seen, LastUse: use.last,
		}
		if unit.Adapter != "" {
			adapters[unit.Model] += min(use.running, 1)
		}
	}
	for model, inUse := range adapters {
		if demand := units[backend.Unit{Model: model}]; demand != nil {
			demand.Work = max(demand.Work, inUse/float64(max(engine.AdapterSlots, 1)))
		}
	}
	d.eachWaiting(now, func(unit backend.Unit, waiting wire.UnitWaiting, left time.Duration, region place.Region) {
		noteWaiting(units, unit, waiting, left, region)
	})
	return units
}

// eachWaiting tells of all that waits at nodes that reported lately, by unit, with the time
// left and the node's region.
func (d *demandBook) eachWaiting(now time.Time, tell func(backend.Unit, wire.UnitWaiting, time.Duration, place.Region)) {
	for _, report := range d.reports {
		if now.Sub(report.at) > d.lifetime() {
			continue
		}
		for _, waiting := range report.waiting {
			left := time.Duration(waiting.LeftMs)*time.Millisecond - now.Sub(report.at)
			for _, unit := range unitsNamed(waiting.Model, waiting.Adapter) {
				tell(unit, waiting, left, report.region)
			}
		}
	}
}

func noteWaiting[K comparable](demands map[K]*scheduler.Demand, key K, waiting wire.UnitWaiting, left time.Duration, region place.Region) {
	demand := demands[key]
	if demand == nil {
		demand = &scheduler.Demand{}
		demands[key] = demand
	}
	if demand.Waiting == 0 || left < demand.Left {
		demand.Left = left
	}
	if demand.Waiting == 0 || waiting.Priority < demand.Priority {
		demand.Priority = waiting.Priority
	}
	demand.Waiting += waiting.Count
	if region == "" {
		return
	}
	if demand.From == nil {
		demand.From = make(map[place.Region]int)
	}
	demand.From[region] += waiting.Count
}
