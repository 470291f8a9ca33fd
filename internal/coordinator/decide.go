package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/machines"
	"lilacvane/internal/placement"
	"lilacvane/internal/sleep"
	"lilacvane/internal/wire"
)

// Run looks after the units of this node until ctx ends: floors stated by
// policies, grants that are missing, to be moved or to be taken back.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx, time.Now())
		}
	}
}

func (c *Coordinator) tick(ctx context.Context, now time.Time) {
	for _, name := range c.Owned() {
		unit, known := c.Catalog.Unit(name)
		if !known {
			continue
		}
		c.keepGrants(ctx, unit)
		c.keepFloor(ctx, unit, now)
	}
}

// keepFloor keeps as many replicas ready as the policies ask for.
func (c *Coordinator) keepFloor(ctx context.Context, unit catalog.Unit, now time.Time) {
	c.mutex.Lock()
	state := c.state(unit.Name)
	due := now.Sub(state.floorAt) >= floorEvery
	if due {
		state.floorAt = now
	}
	c.mutex.Unlock()
	if !due {
		return
	}
	floor, from := c.Policies.Ready(unit.Name, now)
	local := now.In(c.Policies.Zone())
	c.Keeper.ObserveUse(unit.Name, local, c.inUse(state, now))
	if floor == 0 && c.Keeper.WakeAhead(unit, c.bestPlace(unit), local) {
		floor, from = 1, "learned daily pattern"
	}
	c.mutex.Lock()
	if floor != state.floor {
		c.Log.Add("model/"+unit.Name, "policy floor", fmt.Sprintf("%q asks for %d ready replicas", from, floor), c.Catalog.Revision())
	}
	state.floor = floor
	c.mutex.Unlock()
	if floor == 0 {
		return
	}
	c.learn(ctx, unit, now)
	c.holdReady(ctx, unit, floor)
	c.wake(ctx, unit, now)
}

// bestPlace is the granted runner that has the checkpoint nearest.
func (c *Coordinator) bestPlace(unit catalog.Unit) sleep.Place {
	best := sleep.Place{Tier: wire.TierRemote, RunnerMiB: unit.MemoryMiB}
	for _, replica := range c.status(unit).Replicas {
		machine, listed := c.Machines.Get(replica.Runner)
		if listed && replica.Tier <= best.Tier {
			best = sleep.Place{Tier: replica.Tier, RunnerMiB: machine.MemoryMiB}
		}
	}
	return best
}

// inUse tells whether any node reported demand for the unit lately.
func (c *Coordinator) inUse(state *unitState, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, known := range state.reporters {
		waiting := 0
		for _, count := range known.report.Waiting {
			waiting += count
		}
		if now.Sub(known.at) < 2*floorEvery && waiting+known.report.Active > 0 {
			return true
		}
	}
	return false
}

// holdReady renews the protection from sleep of the replicas that make up the
// floor.
func (c *Coordinator) holdReady(ctx context.Context, unit catalog.Unit, floor int) {
	for _, replica := range c.status(unit).Replicas {
		if floor == 0 {
			return
		}
		if replica.State == wire.ReplicaReady || replica.State == wire.ReplicaLoading {
			floor--
			c.store(c.ask(ctx, unit.Name, itemOf(replica), hold))
		}
	}
}

func itemOf(replica wire.Replica) api.GrantItem {
	return api.GrantItem{Runner: replica.Runner, Incarnation: replica.Incarnation, Address: replica.Address, Zone: replica.Zone, Region: replica.Region}
}

// wake loads what is needed. Concurrent calls for one unit make one decision, so
// that a burst of demand at many nodes makes one load.
func (c *Coordinator) wake(ctx context.Context, unit catalog.Unit, now time.Time) {
	if !c.begin("wake/" + unit.Name) {
		return
	}
	defer c.end("wake/" + unit.Name)
	wanted, zone := c.wanted(unit, now)
	chosen := placement.Wake(c.status(unit).Replicas, wanted, zone)
	var group sync.WaitGroup
	for _, replica := range chosen {
		reason := fmt.Sprintf("%d replicas wanted: load on runner %s", wanted, replica.Runner)
		c.Log.Add("model/"+unit.Name, "wake", reason, c.Catalog.Revision())
		group.Go(func() { c.store(c.ask(ctx, unit.Name, itemOf(replica), load)) })
	}
	group.Wait()
}

// wanted returns how many replicas should be ready and the zone with most of the
// demand.
func (c *Coordinator) wanted(unit catalog.Unit, now time.Time) (int, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.state(unit.Name)
	waiting, active, slots := 0, 0, 1
	byZone := make(map[string]int)
	for node, known := range state.reporters {
		if now.Sub(known.at) > waitingExpires {
			continue
		}
		here := 0
		for _, count := range known.report.Waiting {
			here += count
		}
		waiting += here
		active += known.report.Active
		if member, ok := c.Membership.Get(node); ok {
			byZone[member.Zone] += here
		}
	}
	for _, known := range state.replicas {
		slots = max(slots, known.replica.Slots)
	}
	zone := ""
	for name, count := range byZone {
		if count > byZone[zone] {
			zone = name
		}
	}
	return placement.Wanted(state.floor, waiting, active, slots), zone
}

// pressing is the most pressing class that waits for a unit anywhere.
func (c *Coordinator) pressing(unit string) api.Class {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	most := api.ClassPatient
	for _, known := range c.state(unit).reporters {
		for class, count := range known.report.Waiting {
			if count > 0 {
				most = min(most, api.Class(class))
			}
		}
	}
	return most
}

func (c *Coordinator) begin(task string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, running := c.busy[task]; running {
		return false
	}
	c.busy[task] = struct{}{}
	return true
}

func (c *Coordinator) end(task string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.busy, task)
}

// keepGrants starts at most one change of the unit's grant: items confirmed gone
// leave, items on draining runners and surplus items are revoked, missing items
// are added.
func (c *Coordinator) keepGrants(ctx context.Context, unit catalog.Unit) {
	change := c.grantChange(unit)
	if change == nil || !c.begin("grant/"+unit.Name) {
		return
	}
	select {
	case c.changes <- struct{}{}:
	default:
		c.end("grant/" + unit.Name)
		return // the next tick tries again
	}
	go func() {
		defer c.end("grant/" + unit.Name)
		defer func() { <-c.changes }()
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		if err := change(ctx); err != nil {
			c.Logger.V(1).Info("grant not changed", "step", "change grant", "model", unit.Name, "error", err.Error())
		}
	}()
}

const grantTimeout = 10 * time.Second

type grantChange func(context.Context) error

func (c *Coordinator) grantChange(unit catalog.Unit) grantChange {
	for _, item := range unit.Grant.Items {
		if c.Machines.Terminated(item.Incarnation) {
			return func(ctx context.Context) error {
				c.explain(unit, "remove grant", "the platform confirmed that runner "+item.Runner+" is gone")
				return c.Grants.Remove(ctx, unit.Name, item)
			}
		}
	}
	if leaving := c.toRevoke(unit); len(leaving) > 0 {
		return func(ctx context.Context) error {
			c.explain(unit, "revoke grant", fmt.Sprintf("%d items are to be taken back, first runner %s", len(leaving), leaving[0].Runner))
			return c.Grants.Revoke(ctx, unit, leaving)
		}
	}
	if len(unit.Grant.Items) < unit.Replicas {
		return func(ctx context.Context) error { return c.addGrants(ctx, unit) }
	}
	return nil
}

func (c *Coordinator) explain(unit catalog.Unit, step, reason string) {
	c.Log.Add("model/"+unit.Name, step, reason, c.Catalog.Revision())
}

// toRevoke returns items not yet marked: all of a deleted unit, those on
// draining runners, the surplus, and those of an adapter whose base is not
// granted there any more.
func (c *Coordinator) toRevoke(unit catalog.Unit) []api.GrantItem {
	var open, leaving []api.GrantItem
	for _, item := range unit.Grant.Items {
		switch {
		case item.Revoking:
		case unit.Deleted || c.draining(item) || c.withoutBase(unit, item):
			leaving = append(leaving, item)
		default:
			open = append(open, item)
		}
	}
	if surplus := len(open) - unit.Replicas; surplus > 0 && !unit.Deleted {
		leaving = append(leaving, placement.Revoke(open, surplus, c.loadedOn(unit.Name))...)
	}
	return leaving
}

func (c *Coordinator) draining(item api.GrantItem) bool {
	machine, listed := c.Machines.Get(item.Runner)
	leaving := listed && machine.Incarnation == item.Incarnation && machine.State == machines.StateLeaving
	return leaving || c.Catalog.Drains(api.DrainRunner, item.Runner) || c.Catalog.Drains(api.DrainZone, item.Zone)
}

func (c *Coordinator) withoutBase(unit catalog.Unit, item api.GrantItem) bool {
	if unit.Base == "" {
		return false
	}
	base, known := c.Catalog.Unit(unit.Base)
	if !known {
		return true
	}
	baseItem, granted := base.Item(item.Runner)
	return !granted || baseItem.Revoking || baseItem.Incarnation != item.Incarnation
}

func (c *Coordinator) loadedOn(unit string) func(string) bool {
	loaded := make(map[string]bool)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, known := range c.state(unit).replicas {
		loaded[name] = known.replica.State == wire.ReplicaReady
	}
	return func(runner string) bool { return loaded[runner] }
}

func (c *Coordinator) addGrants(ctx context.Context, unit catalog.Unit) error {
	demand := placement.Demand{Unit: unit.Name, MemoryMiB: unit.MemoryMiB, Count: unit.Replicas - len(unit.Grant.Items)}
	for _, item := range unit.Grant.Items {
		demand.Held = append(demand.Held, item.Zone)
	}
	chosen := placement.Grants(demand, c.candidates(ctx, unit))
	if len(chosen) == 0 {
		c.setReason(unit.Name, "no runner is large enough and free to be granted the model")
		return nil
	}
	var items []api.GrantItem
	for _, candidate := range chosen {
		items = append(items, api.GrantItem{Runner: candidate.Runner, Incarnation: candidate.Incarnation, Address: candidate.Address, Zone: candidate.Zone, Region: candidate.Region})
	}
	c.setReason(unit.Name, "")
	if err := c.Grants.Add(ctx, unit, items); err != nil {
		return err
	}
	c.explain(unit, "add grant", fmt.Sprintf("%d of %d replicas granted, first runner %s", len(items), unit.Replicas, items[0].Runner))
	if updated, known := c.Catalog.Unit(unit.Name); known {
		c.learn(ctx, updated, time.Now())
		c.push(updated)
	}
	return nil
}

func (c *Coordinator) setReason(unit, reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state(unit).reason = reason
}

// candidates lists the runners that may be granted a unit. An adapter goes only
// where its base is granted.
func (c *Coordinator) candidates(ctx context.Context, unit catalog.Unit) []placement.Candidate {
	var candidates []placement.Candidate
	base, _ := c.Catalog.Unit(unit.Base)
	for _, machine := range c.Machines.All() {
		if _, held := unit.Item(machine.Name); held {
			continue
		}
		if unit.Base != "" {
			item, granted := base.Item(machine.Name)
			if !granted || item.Revoking || item.Incarnation != machine.Incarnation {
				continue
			}
		}
		candidates = append(candidates, c.candidate(machine))
	}
	return c.withTiers(ctx, unit, candidates)
}

func (c *Coordinator) candidate(machine machines.Machine) placement.Candidate {
	item := api.GrantItem{Runner: machine.Name, Incarnation: machine.Incarnation, Zone: machine.Zone}
	var granted int64
	for _, unit := range c.Catalog.GrantedOn(machine.Name) {
		granted += unit.MemoryMiB
	}
	return placement.Candidate{
		Runner: machine.Name, Incarnation: machine.Incarnation, Address: machine.Address, Zone: machine.Zone, Region: machine.Region,
		MemoryMiB: machine.MemoryMiB, GrantedMiB: granted, Tier: wire.TierRemote, Draining: c.draining(item),
	}
}

// sampledTiers bounds how many runners are asked where a checkpoint is.
const sampledTiers = 12

// withTiers asks the owners of the candidates that rank first without knowledge
// of tiers whether they reach the runner and have the unit's checkpoint there.
func (c *Coordinator) withTiers(ctx context.Context, unit catalog.Unit, candidates []placement.Candidate) []placement.Candidate {
	sample := placement.Grants(placement.Demand{Unit: unit.Name, MemoryMiB: unit.MemoryMiB, Count: sampledTiers + unit.Replicas}, candidates)
	var group sync.WaitGroup
	for index := range sample {
		group.Go(func() {
			candidate := &sample[index]
			item := api.GrantItem{Runner: candidate.Runner, Incarnation: candidate.Incarnation, Address: candidate.Address, Zone: candidate.Zone, Region: candidate.Region}
			replica := c.ask(ctx, unit.Name, item, look)
			candidate.Unreachable = replica.State == wire.ReplicaUnreachable
			candidate.Tier = replica.Tier
		})
	}
	group.Wait()
	return sample
}
