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
	// targetWork is the share of a runner's time that one replica's requests
	// should take.
	targetWork = 0.5
	// maximumShare bounds the replicas of one model to a part of the runners.
	maximumShare = 0.45
	// intentLifetime is how long a decided load waits for room.
	intentLifetime = 4 * time.Second
)

// need is a model that should be loaded at one more runner in homes.
type need struct {
	model   string
	homes   place.Homes
	demand  *Demand
	holders int
	// waiting is set when requests wait and no runner in the homes holds or loads it.
	waiting bool
	// floor is set when a policy keeps more replicas ready.
	floor bool
	// moves is set when only runners in zones that are out serve it.
	moves bool
}

// planner holds the working copy of a state while a plan is made.
type planner struct {
	state *State
	plan  Plan
	taken map[string]bool
	// loading are the regions in which the plan loads adapters.
	loading map[backend.Unit][]place.Region
	loads   int
	// copies counts the runners that hold, load or were decided to load a
	// model; present counts all that may have it in memory, by the model's
	// object, for the bound on replicas.
	copies  replicas
	present map[string]int
	// ready counts the runners at which a model is served.
	ready replicas
	// staying counts, by object, the replicas that are not being unloaded.
	staying map[string]int
	// out counts the runners in zones that are out at which a model is loaded, and
	// runnersOut all of them.
	out        replicas
	runnersOut int
	// holding lists the runners that hold or load each model, or may do so.
	holding map[string][]*Runner
	// versions rise with each change of a model's counts, evictions are what may be unloaded
	// from each runner as of them.
	versions  map[string]*int
	evictions map[*Runner]*evictions
	// moved is how many models of zones that are out were looked at.
	moved int
}

// newPlanner counts what a state has of replicas.
func newPlanner(state *State) *planner {
	p := &planner{
		state: state, taken: make(map[string]bool), loading: make(map[backend.Unit][]place.Region), loads: state.Loads,
		copies: newReplicas(), present: make(map[string]int), staying: make(map[string]int), ready: newReplicas(), out: newReplicas(),
		holding: make(map[string][]*Runner), versions: make(map[string]*int), evictions: make(map[*Runner]*evictions),
		plan: Plan{Intents: make(map[string]Intent), Ready: make(map[Want]time.Duration)},
	}
	p.countCopies()
	return p
}

// MakePlan decides what to order now.
func MakePlan(state *State) Plan {
	p := newPlanner(state)
	p.empty()
	p.continueIntents()
	for _, need := range p.needs() {
		p.serve(need)
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
			if runner.Out && !runner.Silent && !held.Coming && !held.Leaving {
				p.out.add(runner, model, 1)
			}
			p.present[p.bounded(model)]++
			if !held.Leaving && !held.Uncertain {
				p.staying[p.bounded(model)]++
			}
			if !held.Leaving && !held.Uncertain && runner.serves() {
				p.countCopy(runner, model, 1)
				if !held.Coming {
					p.countReady(runner, model, 1)
				}
			}
		}
	}
}

// bounded is the name under which a model's replicas are bounded.
func (p *planner) bounded(model string) string {
	if weights := p.state.Engine.Models[model]; weights != nil && weights.Object != "" {
		return "object " + weights.Object
	}
	return model
}

// room is how many more replicas of a model the operators allow. Runners that
// have not told what they hold may hold one each.
func (p *planner) room(model string) int {
	if p.paused(model) {
		return 0
	}
	weights := p.state.Engine.Models[model]
	if weights.MaximumReplicas == config.Unlimited {
		return len(p.state.Runners)
	}
	return weights.MaximumReplicas - p.present[p.bounded(model)] - p.state.Unknown
}

// paused reports whether a model is not loaded anywhere now.
func (p *planner) paused(model string) bool { return !p.state.Paused[model].IsZero() }

// roomAt is room for a load at a runner: an order without an answer there counts
// already, and a new one takes its place.
func (p *planner) roomAt(runner *Runner, model string) int {
	if p.paused(model) {
		return 0
	}
	room := p.room(model)
	if held := runner.Models[model]; held != nil && held.Uncertain {
		room++
	}
	return room
}

// roomAnywhere reports whether some runner in the homes may load a model.
func (p *planner) roomAnywhere(model string, homes place.Homes) bool {
	for _, runner := range p.state.Runners {
		if homes.Allows(runner.Region) && p.roomAt(runner, model) > 0 {
			return true
		}
	}
	return false
}

// decide counts a load that was decided.
func (p *planner) decide(runner *Runner, model string) {
	p.countCopy(runner, model, 1)
	if held := runner.Models[model]; held == nil || !held.Uncertain {
		p.present[p.bounded(model)]++
	}
}

// empty unloads what should not be loaded: everything at a drained runner,
// weights that no longer serve, replicas over the operators' bound, and models
// without use for their keep-alive time.
func (p *planner) empty() {
	for _, runner := range p.state.Runners {
		if !runner.Idle {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(runner.Models)) {
			held := runner.Models[model]
			reason := p.unwanted(runner, model)
			if reason == "" || held.Coming || held.Leaving || held.Uncertain {
				continue
			}
			p.taken[runner.ID] = true
			p.staying[p.bounded(model)]--
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

// unwanted says why a model should be unloaded from a runner; empty when it
// should not.
func (p *planner) unwanted(runner *Runner, model string) string {
	weights := p.state.Engine.Models[model]
	demand := p.state.Demand[backend.Unit{Model: model}]
	switch {
	case runner.Drained:
		return "runner drained"
	case weights == nil:
		return "not configured"
	case !weights.Active:
		return "version no longer serves"
	case weights.MaximumReplicas != config.Unlimited && p.staying[p.bounded(model)] > weights.MaximumReplicas:
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

// continueIntents goes on with loads that wait for room.
func (p *planner) continueIntents() {
	for _, runner := range p.state.Runners {
		intent, ok := p.state.Intents[runner.ID]
		if !ok || p.taken[runner.ID] || !runner.serves() || p.state.Now.After(intent.Until) {
			continue
		}
		if held := runner.Models[intent.Model]; held != nil && !held.Uncertain {
			continue
		}
		if weights := p.state.Engine.Models[intent.Model]; weights == nil || !weights.Active || p.roomAt(runner, intent.Model) <= 0 {
			continue
		}
		p.decide(runner, intent.Model)
		p.expect(runner, intent.Model, intent.Homes)
		p.plan.Intents[runner.ID] = intent
		p.taken[runner.ID] = true
		if runner.Idle {
			p.advance(runner, intent.Model, "intent")
		}
	}
}

// desired is how many runners should hold a model for a part of its demand. Floors say
// nothing of homes.
func (p *planner) desired(model string, part Part) int {
	floor, demand := 0, part.Demand
	if !part.Homes.Bound() {
		floor = p.state.Floors[model]
	}
	if demand == nil {
		return floor
	}
	count := int(demand.Work/targetWork + 0.5)
	limit := max(int(maximumShare*float64(len(p.state.Runners)-p.runnersOut)), 1)
	if demand.Waiting > 0 || p.moves(model, part) {
		count = max(count, 1)
	}
	return max(min(count, limit), floor)
}

// needs lists the models to be loaded, the one that is worth most first.
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

// need returns what a part of a model's demand lacks; false when it lacks nothing that can
// be had.
func (p *planner) need(model string, part Part) (need, bool) {
	holders := p.copies.of(model, part.Homes)
	if holders >= p.desired(model, part) || !p.roomAnywhere(model, part.Homes) {
		return need{}, false
	}
	demand := part.Demand
	if demand == nil {
		demand = &Demand{}
	}
	return need{
		model: model, homes: part.Homes, demand: demand, holders: holders, waiting: holders == 0 && demand.Waiting > 0,
		floor: !part.Homes.Bound() && holders < p.state.Floors[model], moves: p.moves(model, part),
	}, true
}

// compareNeeds puts the need first that is worth more: neither waiting requests nor busy
// models go before the others as such. Of those that wait for the same model, one with
// homes goes first, as what serves it serves the others too.
func compareNeeds(a, b need) int {
	if a.model == b.model && a.waiting && b.waiting && a.homes.Bound() != b.homes.Bound() {
		if a.homes.Bound() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.worth(), a.worth()), cmp.Compare(a.demand.Left, b.demand.Left), cmp.Compare(perHolder(b), perHolder(a)))
}

func perHolder(n need) float64 { return n.demand.Work / float64(n.holders+1) }

// serve chooses a runner for a need and begins the load, or the unload that
// makes room for it.
func (p *planner) serve(n need) {
	if n.yields() && !p.mayMove() {
		return
	}
	if n.waiting && p.copies.of(n.model, n.homes) > 0 {
		// A load for other homes, decided in this plan, serves these requests too.
		return
	}
	best, bestCost := (*Runner)(nil), 0.0
	for _, runner := range p.state.Runners {
		cost, ok := p.placeCost(runner, n)
		if !ok || best != nil && cost >= bestCost {
			// Room only adds to it.
			continue
		}
		room, ok := p.roomCost(runner, n)
		if ok && (best == nil || cost+room < bestCost) {
			best, bestCost = runner, cost+room
		}
	}
	if best == nil || (!n.waiting && !n.floor && bestCost > p.worthPaying(best, n)) {
		return
	}
	if n.yields() && !best.Idle {
		return
	}
	p.taken[best.ID] = true
	if n.waiting {
		p.expect(best, n.model, n.homes)
	}
	if !best.Idle || p.storeBusy(best, n.model) {
		// The best place is not free yet: it is kept for this need, and a worse
		// one is not taken meanwhile.
		return
	}
	p.decide(best, n.model)
	p.plan.Intents[best.ID] = Intent{Model: n.model, Homes: n.homes, Until: p.state.Now.Add(intentLifetime)}
	p.advance(best, n.model, n.reason())
}

func (n need) reason() string {
	switch {
	case n.waiting:
		return "waiting"
	case n.floor:
		return "policy"
	case n.moves:
		return "zone out"
	default:
		return "replica"
	}
}

// advance takes the next step towards holding a model at an idle runner.
func (p *planner) advance(runner *Runner, model, reason string) {
	size := p.state.Engine.Models[model].Size
	if held := runner.Models[model]; held != nil && held.Uncertain {
		// The order without an answer takes the room already.
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

// unloadTime is how long the unload of an idle model takes to be seen.
const unloadTime = 200 * time.Millisecond

// expect notes when a model will be loaded at a runner that is to load it, for the
// requests with the homes that wait for it.
func (p *planner) expect(runner *Runner, model string, homes place.Homes) {
	if p.ready.of(model, homes) > 0 {
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

// readyIn returns how long it takes until a runner with room holds a model, and
// whether that takes from the weight store: the runner has to be free, the store has
// to carry the load, then it is loaded.
func (p *planner) readyIn(runner *Runner, model string) (time.Duration, bool) {
	load, fromStore := p.loadTime(runner, model)
	wait := runner.BusyFor
	if fromStore && p.loads <= 0 {
		wait = max(wait, p.state.StoreWait)
	}
	return wait + load, fromStore
}

// loadTime returns how long a load is expected to take and whether it takes from
// the weight store.
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
