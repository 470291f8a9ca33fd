package runner

import (
	"sort"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/engine"
	"lilacvane/internal/sleep"
	"lilacvane/internal/wire"
)

// KeepAlive tells how long a replica without work stays loaded.
type KeepAlive interface {
	// For returns the time for a unit at a place.
	For(unit catalog.Unit, place sleep.Place) time.Duration
	// ObserveGap hears how long a loaded unit stood idle before it was used
	// again.
	ObserveGap(unit string, gap time.Duration)
}

// plan decides the orders of one round from the runner's state, the committed
// grants and the wishes. It makes no calls.
func (o *owner) plan(now time.Time) []engine.Order {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var orders []engine.Order
	if role := o.wantRole(o.machine); role != o.state.Role {
		orders = append(orders, engine.Order{Kind: engine.OrderRole, Role: role})
	}
	orders = append(orders, o.planRevocations()...)
	orders = append(orders, o.planSleep(now)...)
	if o.state.Role != engine.RoleDraining {
		orders = append(orders, o.planLoads(now)...)
	}
	return orders
}

// planRevocations revokes what the grants no longer allow: items marked as
// revoking, and replicas that no item covers.
func (o *owner) planRevocations() []engine.Order {
	var orders []engine.Order
	for _, unit := range o.catalog.GrantedOn(o.machine.Name) {
		item, granted := unit.Item(o.machine.Name)
		if !granted || item.Incarnation != o.machine.Incarnation || !item.Revoking {
			continue
		}
		if o.carriesAdapter(unit.Name) {
			continue // their grants go first, since they need this one
		}
		_, present := o.state.Find(unit.Name)
		if present || o.state.Revoked[unit.Name] < item.Generation {
			orders = append(orders, engine.Order{Kind: engine.OrderRevoke, Unit: unit.Name, GrantGeneration: item.Generation})
		}
	}
	return withoutRunning(orders, o.state)
}

// withoutRunning leaves out revocations the runner has already accepted and is
// still carrying out.
func withoutRunning(orders []engine.Order, state engine.State) []engine.Order {
	var open []engine.Order
	for _, order := range orders {
		unit, present := state.Find(order.Unit)
		accepted := state.Revoked[order.Unit] >= order.GrantGeneration
		if present && accepted && unit.State == engine.UnitUnloading {
			continue
		}
		open = append(open, order)
	}
	return open
}

// planSleep unloads replicas of an old version, replicas on a draining runner
// and those idle for longer than their keep-alive time. A base takes its idle
// adapters along: they go first, the base in a later round.
func (o *owner) planSleep(now time.Time) []engine.Order {
	var orders []engine.Order
	sleepy := make(map[string]struct{})
	for _, loaded := range o.state.Units {
		if loaded.State == engine.UnitReady && o.shouldSleep(loaded, now) {
			sleepy[loaded.Name] = struct{}{}
		}
	}
	for _, loaded := range o.state.Units {
		_, own := sleepy[loaded.Name]
		_, withBase := sleepy[loaded.Base]
		idleAdapter := withBase && loaded.State == engine.UnitReady && loaded.Active == 0
		if idleAdapter || own && !o.carriesAdapter(loaded.Name) {
			orders = append(orders, engine.Order{Kind: engine.OrderUnload, Unit: loaded.Name})
		}
	}
	return orders
}

func (o *owner) shouldSleep(loaded engine.Unit, now time.Time) bool {
	unit, known := o.catalog.Unit(loaded.Name)
	if !known || unit.Deleted {
		return false // the revocation of its grant unloads it
	}
	if unit.Version != loaded.Version {
		return true
	}
	if loaded.Active > 0 {
		return false
	}
	if o.state.Role == engine.RoleDraining {
		return true
	}
	if o.isKept(loaded.Name, now) {
		return false
	}
	idle := time.Duration(loaded.LastUsedAgo)*time.Millisecond + now.Sub(o.stateAt)
	return idle > o.keep.For(unit, sleep.Place{Tier: o.tierOf(unit), RunnerMiB: o.state.MemoryMiB})
}

// tierOf tells where a unit's checkpoint is for this runner.
func (o *owner) tierOf(unit catalog.Unit) wire.Tier {
	if tier, cached := o.state.Cached[unit.Checkpoint]; cached {
		return wire.Tier(tier)
	}
	return wire.TierRemote
}

func (o *owner) carriesAdapter(base string) bool {
	for _, unit := range o.state.Units {
		if unit.Base == base {
			return true
		}
	}
	return false
}

// planLoads orders the wished units that are not there: within the grants,
// within the memory, within the weight store's rate. Where memory is short it
// evicts what has been idle longest.
func (o *owner) planLoads(now time.Time) []engine.Order {
	var orders []engine.Order
	free := o.ledger.Free()
	evicted := make(map[string]struct{})
	for _, name := range o.wished(now) {
		unit, item, allowed := o.allowed(name)
		_, present := o.state.Find(name)
		if !allowed || present || !o.baseReady(unit) {
			continue
		}
		if unit.MemoryMiB > free {
			orders = append(orders, o.evict(name, unit.MemoryMiB-free, evicted, now)...)
			free = 0
			continue
		}
		free -= unit.MemoryMiB
		orders = append(orders, engine.Order{
			Kind: engine.OrderLoad, Unit: name, Version: unit.Version, Checkpoint: unit.Checkpoint,
			Base: unit.Base, MemoryMiB: unit.MemoryMiB, GrantGeneration: item.Generation,
		})
	}
	return orders
}

// wished returns the units to be loaded, with the bases of wished adapters
// before them.
func (o *owner) wished(now time.Time) []string {
	names := make([]string, 0, len(o.wishes))
	for name, wish := range o.wishes {
		if now.After(wish.loadUntil) && now.After(wish.keepUntil) {
			delete(o.wishes, name)
			continue
		}
		if now.Before(wish.loadUntil) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var ordered []string
	for _, name := range names {
		if unit, ok := o.catalog.Unit(name); ok && unit.Base != "" {
			ordered = append(ordered, unit.Base)
		}
	}
	return append(ordered, names...)
}

// allowed returns the unit and this runner's grant item for it, if the item is
// for this incarnation and not being revoked.
func (o *owner) allowed(name string) (catalog.Unit, api.GrantItem, bool) {
	unit, known := o.catalog.Unit(name)
	if !known || unit.Deleted {
		return unit, api.GrantItem{}, false
	}
	item, granted := unit.Item(o.machine.Name)
	usable := granted && !item.Revoking && item.Incarnation == o.machine.Incarnation
	return unit, item, usable
}

func (o *owner) baseReady(unit catalog.Unit) bool {
	if unit.Base == "" {
		return true
	}
	base, present := o.state.Find(unit.Base)
	return present && base.State == engine.UnitReady
}

const (
	// preemptAfter is how long a load waits for memory before replicas in use
	// have to make room.
	preemptAfter = time.Second
	// residency is how long a replica in use is left alone.
	residency = 3 * time.Second
	// firstUse is how long a replica is left alone after it became ready, so
	// that the requests it was loaded for reach it.
	firstUse = 2 * time.Second
)

// evict unloads replicas until needed MiB will be free: idle ones, longest idle
// first; if that is not enough and the load has waited for a while, replicas in
// use, longest loaded first. Those finish their work; what comes for them waits
// its turn. It evicts nothing when all of that is not enough. What it evicts it
// adds to evicted, so that no replica makes room for two loads.
func (o *owner) evict(wished string, needed int64, evicted map[string]struct{}, now time.Time) []engine.Order {
	var idle, inUse []engine.Unit
	for _, unit := range o.state.Units {
		_, already := evicted[unit.Name]
		resident := now.Sub(o.readySince[unit.Name])
		switch {
		case already:
		case unit.State == engine.UnitUnloading:
			needed -= unit.MemoryMiB
		case unit.State != engine.UnitReady || o.isKept(unit.Name, now) || o.carriesAdapter(unit.Name):
		case unit.Active == 0 && resident > firstUse:
			idle = append(idle, unit)
		case resident > residency:
			inUse = append(inUse, unit)
		}
	}
	sort.Slice(idle, func(i, j int) bool { return idle[i].LastUsedAgo > idle[j].LastUsedAgo })
	sort.Slice(inUse, func(i, j int) bool {
		return o.readySince[inUse[i].Name].Before(o.readySince[inUse[j].Name])
	})
	candidates := idle
	if wish, known := o.wishes[wished]; known && now.Sub(wish.since) > preemptAfter {
		candidates = append(candidates, inUse...)
	}
	var orders []engine.Order
	for _, unit := range candidates {
		if needed <= 0 {
			break
		}
		needed -= unit.MemoryMiB
		orders = append(orders, engine.Order{Kind: engine.OrderUnload, Unit: unit.Name})
	}
	if needed > 0 {
		return nil
	}
	for _, order := range orders {
		evicted[order.Unit] = struct{}{}
	}
	return orders
}

// isKept tells whether a coordinator protects a replica for its floor.
func (o *owner) isKept(unit string, now time.Time) bool {
	wish, wished := o.wishes[unit]
	return wished && now.Before(wish.keepUntil)
}
