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
	// reportLifetime is how many report intervals a node's report stays valid.
	reportLifetime = 8
	// rateHalfLife is the half-life of the decaying counts from which rates are computed.
	rateHalfLife = 3 * time.Second
	// tokensPerSecond is how many prompt tokens a runner reads per second if it does nothing
	// else.
	tokensPerSecond = 35_000.0
	// forgetAfter is the time after which units that were not asked for are dropped.
	forgetAfter = 5 * time.Minute
)

// demandTracker collects the demand of all nodes. It is guarded by Controller.mutex.
type demandTracker struct {
	reports  map[string]nodeReport
	unitUses map[backend.Unit]*unitUse
	// withHomes tracks separately the requests that have homes; unitUses includes them as well.
	withHomes map[scheduler.Want]*unitUse
	// firstReportAt is when the first report arrived.
	firstReportAt time.Time
	// lastSummary is the last summary of the nodes.
	lastSummary nodeSummary
}

// nodeSummary summarizes the nodes that reported recently. Each response contains it.
type nodeSummary struct {
	at time.Time
	// count is how many nodes reported recently.
	count int
	// bestSpare is the largest fraction of a holder's desired capacity that any node other
	// than the holder has; standbys are the addresses of the nodes with the most spare
	// capacity.
	bestSpare float64
	standbys  []string
	// reaching are the nodes that are not cut off from the runners.
	reaching nodePlaces
	// addresses are those of all nodes, in order.
	addresses []string
}

type nodeReport struct {
	at      time.Time
	zone    string
	region  place.Region
	address string
	spare   float64
	cutOff  bool
	waiting []wire.UnitWaiting
	running []wire.RunnerUsage
}

// unitUse tracks the rate of a unit with exponentially decaying counts.
type unitUse struct {
	requests float64
	tokens   float64
	// running is the smoothed number of requests in progress, as of ranAt.
	running float64
	ranAt   time.Time
	at      time.Time
	last    time.Time
}

func newDemandTracker() *demandTracker {
	return &demandTracker{reports: make(map[string]nodeReport), unitUses: make(map[backend.Unit]*unitUse), withHomes: make(map[scheduler.Want]*unitUse)}
}

// addReport records a node's demand. It reports whether any requests wait.
func (d *demandTracker) addReport(request wire.SyncRequest, now time.Time) bool {
	if d.firstReportAt.IsZero() {
		d.firstReportAt = now
	}
	for _, usage := range request.Usage {
		for _, unit := range unitsOf(usage.Model, usage.Adapter) {
			recordUse(d.unitUses, unit, usage, now)
			if homes := place.HomesFromNames(usage.Homes); homes.Restricted() {
				recordUse(d.withHomes, scheduler.Want{Unit: unit, Homes: homes}, usage, now)
			}
		}
	}
	if !request.Report {
		return false
	}
	d.reports[request.Node] = nodeReport{at: now, zone: request.Zone, region: place.Region(request.Region), address: request.Address, spare: request.Spare, cutOff: request.CutOff, waiting: request.Waiting, running: request.Running}
	return len(request.Waiting) > 0
}

// unitsOf lists the units that requests for a model, or for an adapter of it, ask for: a
// request for an adapter also asks for its model.
func unitsOf(model, adapter string) []backend.Unit {
	units := []backend.Unit{{Model: model}}
	if adapter != "" {
		units = append(units, backend.Unit{Model: model, Adapter: adapter})
	}
	return units
}

// recordUse adds a node's use of a unit.
func recordUse[K comparable](uses map[K]*unitUse, key K, usage wire.UnitUsage, now time.Time) {
	known := uses[key]
	if known == nil {
		known = &unitUse{at: now, ranAt: now}
		uses[key] = known
	}
	known.decay(now)
	known.requests += float64(usage.Requests)
	known.tokens += float64(usage.Tokens)
	known.last = now
}

func (u *unitUse) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(u.at)) / float64(rateHalfLife))
	u.requests *= factor
	u.tokens *= factor
	u.at = now
}

// smoothRunning moves the smoothed number of requests in progress towards count.
func (u *unitUse) smoothRunning(count int, now time.Time) {
	kept := math.Exp2(-float64(now.Sub(u.ranAt)) / float64(rateHalfLife))
	u.ranAt = now
	u.running = kept*u.running + (1-kept)*float64(count)
}

// work returns the work of the requests as a number of fully used runners: the fraction of a
// runner's time that reading their prompts takes, plus the fraction of its slots that they use.
func (u *unitUse) work(slots int) float64 {
	return perSecond(u.tokens)/tokensPerSecond + u.running/float64(max(slots, 1))
}

// minObservedShare bounds the result of observedShare: rates measured over a shorter time
// say little.
const minObservedShare = 0.1

// observedShare returns the fraction of a steady rate that the decaying counts show so far:
// those of a new holder start at zero.
func (d *demandTracker) observedShare(now time.Time) float64 {
	return max(1-math.Exp2(-float64(now.Sub(d.firstReportAt))/float64(rateHalfLife)), minObservedShare)
}

// perSecond converts a decaying count to a rate.
func perSecond(count float64) float64 { return count * math.Ln2 / rateHalfLife.Seconds() }

// lifetime returns how long a node's report stays valid.
func (d *demandTracker) lifetime() time.Duration {
	return reportLifetime * reportPeriod(len(d.reports))
}

// countNodes returns how many nodes reported recently, and drops the others.
func (d *demandTracker) countNodes(now time.Time) int {
	for node, report := range d.reports {
		if now.Sub(report.at) > d.lifetime() {
			delete(d.reports, node)
		}
	}
	return len(d.reports)
}

// summaryPerNode is how long a summary stays valid per node that it covers: computing one
// visits every node, and each answer to a report contains one.
const summaryPerNode = 250 * time.Microsecond

// summary returns a summary of the nodes that reported recently; self is the holder.
func (d *demandTracker) summary(self string, now time.Time) nodeSummary {
	if now.Sub(d.lastSummary.at) >= time.Duration(d.lastSummary.count)*summaryPerNode {
		d.lastSummary = nodeSummary{at: now, count: d.countNodes(now), bestSpare: d.bestSpare(self), standbys: d.standbys(self), reaching: d.reaching(), addresses: d.addresses()}
	}
	return d.lastSummary
}

// waitsFor reports whether requests for a model wait at a node, by its last report.
func (d *demandTracker) waitsFor(node, model string) bool {
	return slices.ContainsFunc(d.reports[node].waiting, func(w wire.UnitWaiting) bool { return w.Model == model })
}

// bestSpare returns the largest fraction of a holder's desired capacity that any node other
// than self has.
func (d *demandTracker) bestSpare(self string) float64 {
	best := 0.0
	for node, report := range d.reports {
		if node != self {
			best = max(best, report.spare)
		}
	}
	return best
}

// standbyCount is how many nodes turn to the store first when the holder is lost: enough
// that some remain if a zone or a machine is lost.
const standbyCount = 8

// standbys returns the addresses of the nodes other than self with the most spare capacity.
func (d *demandTracker) standbys(self string) []string {
	nodes := slices.DeleteFunc(slices.Collect(maps.Keys(d.reports)), func(node string) bool { return node == self })
	slices.SortFunc(nodes, func(a, b string) int {
		// Ordering equal nodes by the hash of their names spreads the choice over all zones.
		return cmp.Or(cmp.Compare(d.reports[b].spare, d.reports[a].spare), cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)))
	})
	addresses := make([]string, 0, standbyCount)
	for _, node := range nodes[:min(standbyCount, len(nodes))] {
		addresses = append(addresses, d.reports[node].address)
	}
	return addresses
}

// members lists the nodes that reported recently.
func (d *demandTracker) members(now time.Time) []wire.Member {
	d.countNodes(now)
	members := make([]wire.Member, 0, len(d.reports))
	for _, node := range slices.Sorted(maps.Keys(d.reports)) {
		members = append(members, wire.Member{Node: node, Zone: d.reports[node].zone, Region: string(d.reports[node].region), Address: d.reports[node].address})
	}
	return members
}

// runnerLoad counts the requests in progress at a runner, by model, and those for adapters
// also by model/adapter.
type runnerLoad struct {
	models   map[string]int
	adapters map[string]int
}

// running returns the requests in progress by runner.
func (d *demandTracker) running(now time.Time) map[string]runnerLoad {
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

// runningByUnit sums up the requests in progress by model name, and for adapters also by
// model/adapter.
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

// units returns the demand by unit, given the requests in progress by runner and a runner's
// slots and adapter slots. Requests that wait for an adapter also wait for its model.
func (d *demandTracker) units(running map[string]runnerLoad, engine *config.Engine, now time.Time) map[backend.Unit]*scheduler.Demand {
	sums := runningByUnit(running)
	adapters := make(map[string]float64)
	units := make(map[backend.Unit]*scheduler.Demand, len(d.unitUses))
	observed := d.observedShare(now)
	for unit, use := range d.unitUses {
		if now.Sub(use.last) > forgetAfter {
			delete(d.unitUses, unit)
			continue
		}
		use.smoothRunning(sums[unit.String()], now)
		use.decay(now)
		units[unit] = &scheduler.Demand{
			Rate: perSecond(use.requests) / observed, Work: use.work(engine.Slots) / observed, LastUse: use.last,
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
	d.forEachWaiting(now, func(unit backend.Unit, waiting wire.UnitWaiting, left time.Duration, region place.Region) {
		addWaiting(units, unit, waiting, left, region)
	})
	return units
}

// forEachWaiting calls visit for everything that waits at nodes that reported recently, by
// unit, with the time left and the node's region.
func (d *demandTracker) forEachWaiting(now time.Time, visit func(backend.Unit, wire.UnitWaiting, time.Duration, place.Region)) {
	for _, report := range d.reports {
		if now.Sub(report.at) > d.lifetime() {
			continue
		}
		for _, waiting := range report.waiting {
			left := time.Duration(waiting.LeftMs)*time.Millisecond - now.Sub(report.at)
			for _, unit := range unitsOf(waiting.Model, waiting.Adapter) {
				visit(unit, waiting, left, report.region)
			}
		}
	}
}

func addWaiting[K comparable](demands map[K]*scheduler.Demand, key K, waiting wire.UnitWaiting, left time.Duration, region place.Region) {
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
