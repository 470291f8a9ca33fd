// Package scheduler decides which models and adapters are loaded on which runners. It computes
// a plan from a state of runners and demand, without I/O and without reading the clock.
//
// Planning takes these steps: count the replicas of each model; unload what should not be
// loaded (unloadUnwanted); continue loads that wait for memory (continueIntents); place the
// missing replicas by descending value, each on the runner with the lowest cost (needs and
// placeNeed, with the costs in rank.go); place the adapters that requests wait for
// (planAdapters).
package scheduler

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/place"
)

// State is the input of a plan.
type State struct {
	Now     time.Time
	Engine  *config.Engine
	Runners []*Runner
	// Unknown is the number of runners that have not reported what they hold.
	Unknown int
	// Demand is the demand by unit. That of a model includes its adapters.
	Demand map[backend.Unit]*Demand
	// Parts splits the demand of units by the homes of the requests, sorted by homes. All
	// requests for a unit that is missing here come without homes.
	Parts map[backend.Unit][]Part
	// Paused are the models that must not be loaded anywhere because runners crashed while
	// loading them, with the end of the pause.
	Paused map[string]time.Time
	// Loads is how many more loads the weight store allows now.
	Loads int
	// StoreWait is the time until the weight store has capacity for another load.
	// StoreSlowdown is the factor by which that load would exceed its nominal time.
	StoreWait     time.Duration
	StoreSlowdown float64
	// Intents are earlier planned loads that wait for memory, by runner.
	Intents map[string]Intent
	// Floors are the minimum numbers of replicas required by policies, by model.
	Floors map[string]int
	// KeepAlive is how long an unused model stays loaded. A model missing here stays until
	// its memory is needed.
	KeepAlive map[string]time.Duration
}

// Runner is the scheduler's view of a runner.
type Runner struct {
	ID     string
	Zone   string
	Region place.Region
	// Models are the models it holds or loads.
	Models map[string]*ModelState
	// Free is the free memory in MB, AdapterSlots the number of free adapter slots.
	Free         float64
	AdapterSlots int
	// BusyFor is the expected time until it accepts orders.
	BusyFor time.Duration
	// Idle is set if it would accept a model order now, Ready if it would accept an adapter
	// order.
	Idle  bool
	Ready bool
	// Host and Disk are the models with a copy of the weights in host memory and on disk.
	Host map[string]bool
	Disk map[string]bool
	// Active is the number of its active requests.
	Active int
	// Drained is set while a planned stop empties the runner.
	Drained bool
	// Out is set while its zone is taken out or about to be. The runner gets no loads and its
	// models don't count as served, but they are not unloaded either.
	Out bool
	// Silent is set while the runner answers neither nodes nor the lease holder. Its models
	// count for the replica limit, but not as served.
	Silent bool
}

// serves reports whether the models on the runner count as served.
func (r *Runner) serves() bool { return !r.Drained && !r.Out && !r.Silent }

// ModelState is a model on a runner. It is Loading while it is loaded and Unloading while it is
// unloaded.
type ModelState struct {
	Loading   bool
	Unloading bool
	// Uncertain is set if the model is only there if an unanswered order was carried out.
	Uncertain bool
	// Active is the number of active requests for the model.
	Active   int
	Adapters map[string]*Adapter
}

// Adapter is an adapter on a runner, with the same states as ModelState.
type Adapter struct {
	Loading   bool
	Unloading bool
	// Active is the number of active requests for the adapter.
	Active int
}

// Demand describes the requests for a unit.
type Demand struct {
	// Waiting is the number of waiting requests, Left the time until the first of them
	// expires, and Priority the most urgent priority among them.
	Waiting  int
	Left     time.Duration
	Priority int
	// From counts the waiting requests by the region of their node, where it is known.
	From map[place.Region]int
	// Rate is the recent rate in requests per second. Work is the fraction of one runner's
	// time that these requests take.
	Rate float64
	Work float64
	// LastUse is the time of the last request.
	LastUse time.Time
}

// Part is the demand of those requests for a unit that have the same homes.
type Part struct {
	Homes place.Homes
	*Demand
}

// Want is a unit requested in homes.
type Want struct {
	Unit  backend.Unit
	Homes place.Homes
}

// Intent is a planned load on a runner that waits for memory.
type Intent struct {
	Model string
	// Homes are the homes of the requests to be served.
	Homes place.Homes
	// Until is when the plan stops waiting for the memory.
	Until time.Time
}

// Step is one order of a plan.
type Step struct {
	Runner string
	Action backend.Action
	Unit   backend.Unit
	// FromStore is set for loads from the weight store.
	FromStore bool
	// Expected is the expected duration of the order.
	Expected time.Duration
	// Reason is a short explanation for the log.
	Reason string
}

// Plan holds the orders to send now: at most one step per runner, or two if an adapter is
// unloaded to load another.
type Plan struct {
	Steps []Step
	// Intents replaces the intents of the state.
	Intents map[string]Intent
	// Ready is the expected time until a model with waiting requests is loaded in their
	// homes, for models that no runner there serves yet.
	Ready map[Want]time.Duration
}
