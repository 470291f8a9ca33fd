package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/place"
)

const (
	// targetWork is the fraction of a runner's time that the requests of one replica should
	// take.
	targetWork = 0.5
	// maximumShare limits the replicas of one model to a fraction of the runners.
	maximumShare = 0.45
	// intentLifetime is how long a planned load may wait for memory to be freed.
	intentLifetime = 4 * time.Second
)

// need is a model that should be loaded on one more runner in the homes.
type need struct {
	model   string
	homes   place.Homes
	demand  *Demand
	holders int
	// waiting is set if requests are waiting and no runner in the homes holds or loads the
	// model.
	waiting bool
	// floor is set if a policy requires more ready replicas.
	floor bool
	// evacuates is set if only runners in zones that are out serve the model.
	evacuates bool
}

// planner holds the working state while a plan is made.
type planner struct {
	state *State
	plan  Plan
	// reserved are the runners that have a step in the plan, or are kept free for a need.
	reserved map[string]bool
	// loading are the regions in which the plan loads each adapter.
	loading map[backend.Unit][]place.Region
	loads   int
	// copies counts the runners that hold, load or will load a model. present counts all
	// runners that may have it in memory, by replicaLimitKey, for the limit on replicas.
	copies  replicas
	present map[string]int
	// ready counts the runners that serve a model.
	ready replicas
	// staying counts the replicas that are not being unloaded, by replicaLimitKey.
	staying map[string]int
	// out counts the runners in zones that are out that have a model loaded. runnersOut
	// counts all runners in such zones.
	out        replicas
	runnersOut int
	// holding lists the runners that hold or load each model, or may do so.
	holding map[string][]*Runner
	// versions increase with every change of a model's counts. evictions caches by runner
	// what may be unloaded.
	versions  map[string]*int
	evictions map[*Runner]*evictions
	// evacuationsTried is the number of models considered for evacuation.
	evacuationsTried int
}

// newPlanner returns a planner with the replicas of a state counted.
func newPlanner(state *State) *planner {
	p := &planner{
		state: state, reserved: make(map[string]bool), loading: make(map[backend.Unit][]place.Region), loads: state.Loads,
		copies: newReplicas(), present: make(map[string]int), staying: make(map[string]int), ready: newReplicas(), out: newReplicas(),
		holding: make(map[string][]*Runner), versions: make(map[string]*int), evictions: make(map[*Runner]*evictions),
		plan: Plan{Intents: make(map[string]Intent), Ready: make(map[Want]time.Duration)},
	}
	p.countCopies()
	return p
}

// MakePlan returns the orders to send now.
func MakePlan(state *State) Plan {
	p := newPlanner(state)
	p.unloadUnwanted()
	p.continueIntents()
	for _, need := range p.needs() {
		p.placeNeed(need)
	}
	p.planAdapters()
	return p.plan
}

// countCopies counts the runners that hold or load each model.
func (p *planner) countCopies() {
	for _, runner := range p.state.Runners {
		if runner.Out {
			p.runnersOut++
		}
		for model, held := range runner.Models {
			p.holding[model] = append(p.holding[model], runner)
			if runner.Out && !runner.Silent && !held.Loading && !held.Unloading {
				p.out.add(runner, model, 1)
			}
			p.present[p.replicaLimitKey(model)]++
			if !held.Unloading && !held.Uncertain {
				p.staying[p.replicaLimitKey(model)]++
			}
			if !held.Unloading && !held.Uncertain && runner.serves() {
				p.countCopy(runner, model, 1)
				if !held.Loading {
					p.countReady(runner, model, 1)
				}
			}
		}
	}
}

// replicaLimitKey returns the key under which replicas of a model are counted for its limit:
// versions of the same object share one.
func (p *planner) replicaLimitKey(model string) string {
	if weights := p.state.Engine.Models[model]; weights != nil && weights.Object != "" {
		return "object " + weights.Object
	}
	return model
}

// replicasLeft returns how many more replicas of a model the operators' limit allows. Every
// runner whose state is unknown may hold one, so each counts as one.
func (p *planner) replicasLeft(model string) int {
	if p.paused(model) {
		return 0
	}
	weights := p.state.Engine.Models[model]
	if weights.MaximumReplicas == config.Unlimited {
		return len(p.state.Runners)
	}
	return weights.MaximumReplicas - p.present[p.replicaLimitKey(model)] - p.state.Unknown
}

// paused reports whether loads of a model are paused everywhere.
func (p *planner) paused(model string) bool { return !p.state.Paused[model].IsZero() }

// replicasLeftAt returns replicasLeft for a load on a runner. An unanswered order for the
// model on that runner is already counted, and a new order replaces it.
func (p *planner) replicasLeftAt(runner *Runner, model string) int {
	if p.paused(model) {
		return 0
	}
	left := p.replicasLeft(model)
	if held := runner.Models[model]; held != nil && held.Uncertain {
		left++
	}
	return left
}

// canLoadIn reports whether the replica limit allows a load of a model on some runner in the
// homes.
func (p *planner) canLoadIn(model string, homes place.Homes) bool {
	for _, runner := range p.state.Runners {
		if homes.Allows(runner.Region) && p.replicasLeftAt(runner, model) > 0 {
			return true
		}
	}
	return false
}

// countPlannedLoad updates the counts for a load that the plan decided on.
func (p *planner) countPlannedLoad(runner *Runner, model string) {
	p.countCopy(runner, model, 1)
	if held := runner.Models[model]; held == nil || !held.Uncertain {
		p.present[p.replicaLimitKey(model)]++
	}
}

// unloadUnwanted unloads everything from drained runners, weights that no longer serve,
// replicas over the operators' limit and models idle for longer than their keep-alive time.
func (p *planner) unloadUnwanted() {
	for _, runner := range p.state.Runners {
		if !runner.Idle {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(runner.Models)) {
			held := runner.Models[model]
			reason := p.unloadReason(runner, model)
			if reason == "" || held.Loading || held.Unloading || held.Uncertain {
				continue
			}
			p.reserved[runner.ID] = true
			p.staying[p.replicaLimitKey(model)]--
			if runner.serves() {
				p.countCopy(runner, model, -1)
			}
			p.plan.Steps = append(p.plan.Steps, Step{
				Runner: runner.ID, Action: backend.Unload, Unit: backend.Unit{Model: model}, Reason: reason,
			})
			break
		}
	}
}

// unloadReason returns why a model should be unloaded from a runner, or "" if it should stay.
func (p *planner) unloadReason(runner *Runner, model string) string {
	weights := p.state.Engine.Models[model]
	demand := p.state.Demand[backend.Unit{Model: model}]
	switch {
	case runner.Drained:
		return "runner drained"
	case weights == nil:
		return "not configured"
	case !weights.Active:
		return "version no longer serves"
	case weights.MaximumReplicas != config.Unlimited && p.staying[p.replicaLimitKey(model)] > weights.MaximumReplicas:
		return "over the bound of replicas"
	}
	keep, sleeps := p.state.KeepAlive[model]
	if !sleeps || runner.Out || runner.Models[model].Active > 0 || p.copies.total[model] <= p.state.Floors[model] {
		return ""
	}
	if demand != nil && (demand.Waiting > 0 || p.state.Now.Sub(demand.LastUse) < keep) {
		return ""
	}
	return "idle for its keep-alive time"
}

// continueIntents continues earlier planned loads that wait for memory.
func (p *planner) continueIntents() {
	for _, runner := range p.state.Runners {
		intent, ok := p.state.Intents[runner.ID]
		if !ok || p.reserved[runner.ID] || !runner.serves() || p.state.Now.After(intent.Until) {
			continue
		}
		if held := runner.Models[intent.Model]; held != nil && !held.Uncertain {
			continue
		}
		if weights := p.state.Engine.Models[intent.Model]; weights == nil || !weights.Active || p.replicasLeftAt(runner, intent.Model) <= 0 {
			continue
		}
		p.countPlannedLoad(runner, intent.Model)
		p.expectReady(runner, intent.Model, intent.Homes)
		p.plan.Intents[runner.ID] = intent
		p.reserved[runner.ID] = true
		if runner.Idle {
			p.planNextStep(runner, intent.Model, "intent")
		}
	}
}

// desired returns how many runners should hold a model for a part of its demand. Floors apply
// only to the part without homes.
func (p *planner) desired(model string, part Part) int {
	floor, demand := 0, part.Demand
	if !part.Homes.Restricted() {
		floor = p.state.Floors[model]
	}
	if demand == nil {
		return floor
	}
	count := int(demand.Work/targetWork + 0.5)
	limit := max(int(maximumShare*float64(len(p.state.Runners)-p.runnersOut)), 1)
	if demand.Waiting > 0 || p.needsEvacuation(model, part) {
		count = max(count, 1)
	}
	return max(min(count, limit), floor)
}

// needs returns the models to load, the most valuable first.
func (p *planner) needs() []need {
	var needs []need
	for _, model := range slices.Sorted(maps.Keys(p.state.Engine.Models)) {
		if !p.state.Engine.Models[model].Active {
			continue
		}
		for _, part := range p.parts(backend.Unit{Model: model}) {
			if need, ok := p.need(model, part); ok {
				needs = append(needs, need)
			}
		}
	}
	slices.SortStableFunc(needs, compareNeeds)
	return needs
}

// need returns the missing replica for a part of a model's demand. It returns false if none is
// missing or none may be loaded.
func (p *planner) need(model string, part Part) (need, bool) {
	holders := p.copies.in(model, part.Homes)
	if holders >= p.desired(model, part) || !p.canLoadIn(model, part.Homes) {
		return need{}, false
	}
	demand := part.Demand
	if demand == nil {
		demand = &Demand{}
	}
	return need{
		model: model, homes: part.Homes, demand: demand, holders: holders, waiting: holders == 0 && demand.Waiting > 0,
		floor: !part.Homes.Restricted() && holders < p.state.Floors[model], evacuates: p.needsEvacuation(model, part),
	}, true
}

// compareNeeds orders needs by descending value: neither waiting requests nor busy models take
// precedence as such. Among needs with waiting requests for the same model, one with homes
// comes first, because its replica also serves the requests without homes.
func compareNeeds(a, b need) int {
	if a.model == b.model && a.waiting && b.waiting && a.homes.Restricted() != b.homes.Restricted() {
		if a.homes.Restricted() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.value(), a.value()), cmp.Compare(a.demand.Left, b.demand.Left), cmp.Compare(workPerHolder(b), workPerHolder(a)))
}

// workPerHolder is the work for each holder if one more runner loads the model.
func workPerHolder(n need) float64 { return n.demand.Work / float64(n.holders+1) }

// placeNeed chooses a runner for a need and plans the load, or the unload that frees memory for
// it.
func (p *planner) placeNeed(n need) {
	if n.isProactive() && !p.mayEvacuate() {
		return
	}
	if n.waiting && p.copies.in(n.model, n.homes) > 0 {
		// A load planned for other homes serves these requests too.
		return
	}
	best, bestCost := (*Runner)(nil), 0.0
	for _, runner := range p.state.Runners {
		cost, ok := p.placeCost(runner, n)
		if !ok || best != nil && cost >= bestCost {
			// Freeing memory can only increase the cost.
			continue
		}
		eviction, ok := p.evictionCost(runner, n)
		if ok && (best == nil || cost+eviction < bestCost) {
			best, bestCost = runner, cost+eviction
		}
	}
	if best == nil || (!n.waiting && !n.floor && bestCost > p.maxCost(best, n)) {
		return
	}
	if n.isProactive() && !best.Idle {
		return
	}
	p.reserved[best.ID] = true
	if n.waiting {
		p.expectReady(best, n.model, n.homes)
	}
	if !best.Idle || p.storeBusy(best, n.model) {
		// The best runner is busy: keep it free for this need, and don't load on a worse one
		// meanwhile.
		return
	}
	p.countPlannedLoad(best, n.model)
	p.plan.Intents[best.ID] = Intent{Model: n.model, Homes: n.homes, Until: p.state.Now.Add(intentLifetime)}
	p.planNextStep(best, n.model, n.reason())
}

func (n need) reason() string {
	switch {
	case n.waiting:
		return "waiting"
	case n.floor:
		return "policy"
	case n.evacuates:
		return "zone out"
	default:
		return "replica"
	}
}

// planNextStep adds the next step towards holding a model on an idle runner.
func (p *planner) planNextStep(runner *Runner, model, reason string) {
	size := p.state.Engine.Models[model].Size
	if held := runner.Models[model]; held != nil && held.Uncertain {
		// The unanswered order already accounts for the memory.
		size = 0
	}
	if runner.Free < size {
		victim := p.nextVictim(runner)
		if victim == "" {
			delete(p.plan.Intents, runner.ID)
			return
		}
		p.countCopy(runner, victim, -1)
		p.countReady(runner, victim, -1)
		p.plan.Steps = append(p.plan.Steps, Step{
			Runner: runner.ID, Action: backend.Unload, Unit: backend.Unit{Model: victim}, Reason: "room for " + model,
		})
		return
	}
	expected, fromStore := p.loadTime(runner, model)
	if fromStore {
		if p.loads <= 0 {
			return
		}
		p.loads--
	}
	delete(p.plan.Intents, runner.ID)
	p.plan.Steps = append(p.plan.Steps, Step{
		Runner: runner.ID, Action: backend.Load, Unit: backend.Unit{Model: model}, FromStore: fromStore, Expected: expected, Reason: reason,
	})
}

// unloadTime is how long it takes until the unload of an idle model shows in reports.
const unloadTime = 200 * time.Millisecond

// expectReady records, for the waiting requests with the given homes, when a model is expected
// to be loaded on a runner.
func (p *planner) expectReady(runner *Runner, model string, homes place.Homes) {
	if p.ready.in(model, homes) > 0 {
		return
	}
	ready, _ := p.readyIn(runner, model)
	if runner.Idle && runner.Free < p.state.Engine.Models[model].Size {
		ready += unloadTime
	}
	want := Want{Unit: backend.Unit{Model: model}, Homes: homes}
	if known, ok := p.plan.Ready[want]; !ok || ready < known {
		p.plan.Ready[want] = ready
	}
}

// storeBusy reports whether a load would have to wait for the weight store.
func (p *planner) storeBusy(runner *Runner, model string) bool {
	_, fromStore := p.loadTime(runner, model)
	return fromStore && p.loads <= 0
}

// readyIn returns the time until a runner with enough memory holds a model, and whether it
// loads from the weight store. The runner must first become free and the store must have
// capacity for the load.
func (p *planner) readyIn(runner *Runner, model string) (time.Duration, bool) {
	load, fromStore := p.loadTime(runner, model)
	wait := runner.BusyFor
	if fromStore && p.loads <= 0 {
		wait = max(wait, p.state.StoreWait)
	}
	return wait + load, fromStore
}

// loadTime returns the expected duration of a load and whether it loads from the weight store.
func (p *planner) loadTime(runner *Runner, model string) (time.Duration, bool) {
	weights := p.state.Engine.Models[model]
	switch {
	case runner.Host[model] && weights.HostLoadTime > 0:
		return weights.HostLoadTime, false
	case runner.Disk[model] && weights.DiskLoadTime > 0:
		return weights.DiskLoadTime, false
	default:
		return time.Duration(float64(weights.LoadTime) * max(p.state.StoreSlowdown, 1)), true
	}
}
