// Package scheduler decides which models and adapters are loaded where. It is
// pure: from a state of runners and demand it makes a plan, with no I/O and no
// clock of its own.
//
// A plan is made in these steps: what each model has of replicas is counted; what
// should not be loaded is unloaded (empty); loads that wait for room go on
// (continueIntents); models that lack a replica are served in the order of what
// that is worth, each at the runner where it costs least (needs, serve, with the costs of
// rank.go); adapters that requests wait for are placed (planAdapters).
package scheduler

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/place"
)

// State is everything a plan is made from.
type State struct {
	Now     time.Time
	Engine  *config.Engine
	Runners []*Runner
	// Unknown is how many runners have not told what they hold.
	Unknown int
	// Demand by unit. Models appear with the demand of their adapters included.
	Demand map[backend.Unit]*Demand
	// Parts divides the demand of units by the homes of the requests, sorted by homes.
	// A unit that is not named is asked for without homes alone.
	Parts map[backend.Unit][]Part
	// Paused are the models that are not loaded anywhere now, as runners ended while they
	// loaded them, and until when.
	Paused map[string]time.Time
	// Loads is how many loads the weight store allows now.
	Loads int
	// StoreWait is the time until the weight store carries another load,
	// StoreSlowdown how many times its nominal time that load would take.
	StoreWait     time.Duration
	StoreSlowdown float64
	// Intents are loads decided earlier that wait for room, by runner.
	Intents map[string]Intent
	// Floors are the replicas that policies keep ready, by model.
	Floors map[string]int
	// KeepAlive is how long a model without use stays loaded; a model that is
	// not named stays until its room is needed.
	KeepAlive map[string]time.Duration
}

// Runner is one runner as the scheduler sees it.
type Runner struct {
	ID     string
	Zone   string
	Region place.Region
	// Models are the models it holds or is loading.
	Models map[string]*Held
	// Free is the room left in MB, AdapterSlots the free places for adapters.
	Free         float64
	AdapterSlots int
	// BusyFor is how long it is expected to take no order.
	BusyFor time.Duration
	// Idle is set when it would take a model order now, Ready when it would
	// take one for an adapter.
	Idle  bool
	Ready bool
	// Host and Disk are the models it keeps copies of.
	Host map[string]bool
	Disk map[string]bool
	// Active is how many requests are under way at it.
	Active int
	// Drained is set while a planned stop empties it.
	Drained bool
	// Out is set while its zone is taken out, or about to be left for that: it takes no
	// load and what it holds is not counted on, but it is not emptied either.
	Out bool
	// Silent is set while it answers nobody: what it holds counts for the bound on
	// replicas, but serves no request.
	Silent bool
}

// serves reports whether what the runner holds counts as served.
func (r *Runner) serves() bool { return !r.Drained && !r.Out && !r.Silent }

// Held is a model on a runner.
type Held struct {
	Coming  bool
	Leaving bool
	// Uncertain is set when only an order without an answer may load it.
	Uncertain bool
	// Active is how many requests for it are under way.
	Active   int
	Adapters map[string]*Adapter
}

// Adapter is an adapter on a runner.
type Adapter struct {
	Coming  bool
	Leaving bool
	// Active is how many requests for it are under way.
	Active int
}

// Demand is what is known of the requests for a unit.
type Demand struct {
	// Waiting is how many requests wait for it now, Left the time until the
	// first of them is given up, Priority the most urgent among them.
	Waiting  int
	Left     time.Duration
	Priority int
	// From counts those that wait by the region of their nodes, where that is known.
	From map[place.Region]int
	// Rate is the requests a second lately, Work the share of one runner's time
	// that they take.
	Rate float64
	Work float64
	// LastUse is when it was asked for last.
	LastUse time.Time
}

// Part is the demand of the requests for a unit that have the same homes.
type Part struct {
	Homes place.Homes
	*Demand
}

// Want is a unit that is wanted in homes.
type Want struct {
	Unit  backend.Unit
	Homes place.Homes
}

// Intent is a decision to load a model at a runner once there is room.
type Intent struct {
	Model string
	// Homes are those of the requests that it is for.
	Homes place.Homes
	Until time.Time
}

// Step is one order of a plan.
type Step struct {
	Runner string
	Action backend.Action
	Unit   backend.Unit
	// FromStore is set for loads that take from the weight store.
	FromStore bool
	// Expected is how long the order is expected to take.
	Expected time.Duration
	// Reason is a short word for the log.
	Reason string
}

// Plan is what is to be ordered now: at most one step a runner, but for an
// adapter's unload that makes room for another's load.
type Plan struct {
	Steps []Step
	// Intents replaces those of the state.
	Intents map[string]Intent
	// Ready is the time until each model that is waited for, and that nothing loads
	// yet in the homes, is expected to be loaded there.
	Ready map[Want]time.Duration
}
