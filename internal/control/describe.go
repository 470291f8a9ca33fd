package control

import (
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/eligible"
	"lilacvane/internal/fault"
	"lilacvane/internal/orders"
	"lilacvane/internal/place"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/wire"
)

// describe converts a runner's ledger to the scheduler's representation.
func describe(id string, ledger *orders.Ledger, engine *config.Engine, running runnerLoad, now time.Time) *scheduler.Runner {
	runner := &scheduler.Runner{
		ID: id, Zone: ledger.Runner.Zone, Region: place.Region(ledger.Runner.Region), Models: make(map[string]*scheduler.ModelState), Free: ledger.FreeMemory(engine),
		AdapterSlots: ledger.FreeAdapterSlots(engine), Idle: ledger.Idle(now),
		Ready:  ledger.MayOrder(backend.Unit{Model: "any", Adapter: "any"}, now),
		Silent: ledger.Silent(), Host: setOf(ledger.Copies().Host), Disk: setOf(ledger.Copies().Disk),
	}
	for name, model := range ledger.Models() {
		held := &scheduler.ModelState{
			Loading: model.Loading, Unloading: model.Unloading, Active: running.models[name], Adapters: make(map[string]*scheduler.Adapter),
		}
		for adapter, state := range model.Adapters {
			held.Adapters[adapter] = &scheduler.Adapter{
				Loading: state.Loading, Unloading: state.Unloading, Active: running.adapters[backend.Unit{Model: name, Adapter: adapter}.String()],
			}
		}
		runner.Models[name] = held
		runner.Active += running.models[name]
	}
	runner.BusyFor = ledger.BusyFor(func(model string) bool { return running.models[model] > 0 }, now)
	for _, name := range ledger.Uncertain() {
		runner.Models[name] = &scheduler.ModelState{Loading: true, Uncertain: true}
	}
	if name := ledger.Sending(); name != "" && runner.Models[name] == nil {
		runner.Models[name] = &scheduler.ModelState{Loading: true}
	}
	return runner
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// viewOf converts a runner's ledger to the view of the runner that is sent to nodes.
func viewOf(id string, ledger *orders.Ledger, now time.Time) wire.RunnerView {
	view := wire.RunnerView{Runner: id, Silent: ledger.Silent()}
	for name, model := range ledger.Models() {
		if model.Unloading {
			continue
		}
		if model.Loading {
			view.Pending = append(view.Pending, wire.PendingUnit{Model: name, InMs: max(model.Due.Sub(now), 0).Milliseconds()})
			continue
		}
		held := wire.UnitHeld{Model: name}
		for adapter, state := range model.Adapters {
			if state.Unloading {
				continue
			}
			if state.Loading {
				pending := wire.PendingUnit{Model: name, Adapter: adapter, InMs: max(state.Due.Sub(now), 0).Milliseconds()}
				view.Pending = append(view.Pending, pending)
				continue
			}
			held.Adapters = append(held.Adapters, adapter)
		}
		slices.Sort(held.Adapters)
		view.Ready = append(view.Ready, held)
	}
	return view
}

// statusOf returns a runner's status for operators.
func statusOf(ledger *orders.Ledger, engine *config.Engine, running runnerLoad, reason eligible.Reason) wire.RunnerStatus {
	status := wire.RunnerStatus{
		Runner: ledger.Runner.Name(), Service: ledger.Runner.Service, Zone: ledger.Runner.Zone, Address: ledger.Runner.Address, State: "ready",
		FreeMB: ledger.FreeMemory(engine), Sequence: ledger.Sequence(), Units: []wire.ReplicaStatus{},
	}
	switch {
	case reason == eligible.Draining || reason == eligible.Drained:
		status.State = "draining"
	case reason == eligible.ZoneOut, reason == eligible.Resting:
		status.State = reason.String()
	case !ledger.Known():
		status.State = "unknown"
	case ledger.Silent():
		status.State = "silent"
	}
	for _, name := range slices.Sorted(maps.Keys(ledger.Models())) {
		model := ledger.Models()[name]
		status.Running += running.models[name]
		status.Units = append(status.Units, wire.ReplicaStatus{Unit: name, State: stateOf(model)})
		for _, adapter := range slices.Sorted(maps.Keys(model.Adapters)) {
			unit := backend.Unit{Model: name, Adapter: adapter}
			status.Units = append(status.Units, wire.ReplicaStatus{Unit: unit.String(), State: stateOfAdapter(model.Adapters[adapter])})
		}
	}
	for _, name := range ledger.Uncertain() {
		status.Units = append(status.Units, wire.ReplicaStatus{Unit: name, State: "uncertain"})
	}
	return status
}

func stateOfAdapter(adapter *orders.Adapter) string {
	switch {
	case adapter.Loading:
		return "loading"
	case adapter.Unloading:
		return "unloading"
	default:
		return "ready"
	}
}

func stateOf(model *orders.Model) string {
	switch {
	case model.Loading:
		return "loading"
	case model.Unloading:
		return "unloading"
	default:
		return "ready"
	}
}

// Describe lists the runners and the nodes that reported recently.
func (c *Controller) Describe() (wire.FleetResponse, error) {
	engine := c.engine()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.token == 0 || engine == nil {
		return wire.FleetResponse{}, fault.New(fault.CodeNotHolder, "describe fleet", "this node does not hold the lease of %s", c.Service)
	}
	now := time.Now()
	store := c.storeStatus()
	response := wire.FleetResponse{Members: c.demand.members(now), Store: &store}
	running := c.demand.running(now)
	for _, id := range slices.Sorted(maps.Keys(c.ledgers)) {
		ledger := c.ledgers[id]
		reason := c.eligible(ledger, eligible.Load{Service: c.Service})
		response.Runners = append(response.Runners, statusOf(ledger, engine, running[id], reason))
	}
	for index := range response.Members {
		if response.Members[index].Node == c.Node {
			response.Members[index].Holds = []string{c.Service}
		}
	}
	return response, nil
}
