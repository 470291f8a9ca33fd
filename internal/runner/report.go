package runner

import (
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/engine"
	"lilacvane/internal/wire"
)

// confirmRevocations reports the revoking grant items that the runner has
// confirmed: the unit is gone and no order under the item will be accepted.
func (o *owner) confirmRevocations() {
	o.mutex.Lock()
	state := o.state
	o.mutex.Unlock()
	for _, unit := range o.catalog.GrantedOn(o.machine.Name) {
		item, granted := unit.Item(o.machine.Name)
		if !granted || !item.Revoking || item.Incarnation != state.Incarnation {
			continue
		}
		_, present := state.Find(unit.Name)
		if !present && state.Revoked[unit.Name] >= item.Generation {
			o.revoked(unit.Name, item)
		}
	}
}

// wish records that a coordinator wants to hear of a unit and, if load is set,
// wants it ready; it returns the owner's view.
func (o *owner) wish(unit, coordinator string, load bool, class api.Class, keepFor time.Duration) wire.Replica {
	o.mutex.Lock()
	if coordinator != "" {
		o.watchers[unit] = coordinator
	}
	if load {
		now := time.Now()
		entry, known := o.wishes[unit]
		if !known {
			entry = &wish{}
			o.wishes[unit] = entry
		}
		if slept, gone := o.lastUse[unit]; gone {
			delete(o.lastUse, unit)
			o.keep.ObserveGap(unit, now.Sub(slept))
		}
		entry.coordinator = coordinator
		entry.class = class
		if !now.Before(entry.loadUntil) {
			entry.since = now
		}
		entry.loadUntil = now.Add(loadPatience)
		if until := now.Add(keepFor); until.After(entry.keepUntil) {
			entry.keepUntil = until
		}
	}
	view := o.view(unit)
	o.mutex.Unlock()
	if load && view.State != wire.ReplicaReady {
		o.wake()
	}
	return view
}

func (o *owner) wake() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// view describes a unit on this runner. It is called with the mutex held.
func (o *owner) view(unit string) wire.Replica {
	replica := wire.Replica{
		Unit: unit, Runner: o.machine.Name, Incarnation: o.machine.Incarnation, Address: o.machine.Address,
		Zone: o.machine.Zone, Region: o.machine.Region, Owner: o.node, Active: o.state.Active, Slots: o.state.Slots,
	}
	if o.ledger != nil {
		replica.FreeMiB = o.ledger.Free()
	}
	if declared, ok := o.catalog.Unit(unit); ok {
		replica.Version = declared.Version
		replica.Tier = o.tierOf(declared)
	}
	loaded, present := o.state.Find(unit)
	switch {
	case !o.fenced || !o.reachable:
		replica.State = wire.ReplicaUnreachable
	case o.state.Role == engine.RoleDraining:
		replica.State = wire.ReplicaDraining
	case present:
		replica.State = stateOf(loaded.State)
		if loaded.Version != replica.Version {
			replica.State = wire.ReplicaUnloading
		}
		replica.Version = loaded.Version
		replica.ReadyIn = loaded.ReadyIn
		replica.IdleSince = time.Now().UnixMilli() - loaded.LastUsedAgo
	case o.isWished(unit):
		replica.State = wire.ReplicaLoading
	}
	return replica
}

func (o *owner) isWished(unit string) bool {
	wish, wished := o.wishes[unit]
	if !wished || time.Now().After(wish.loadUntil) {
		return false
	}
	_, _, allowed := o.allowed(unit)
	return allowed
}

func stateOf(state engine.UnitState) wire.ReplicaState {
	switch state {
	case engine.UnitLoading:
		return wire.ReplicaLoading
	case engine.UnitReady:
		return wire.ReplicaReady
	default:
		return wire.ReplicaUnloading
	}
}

// reportChanges tells the coordinators of units whose state changed since they
// were last told. A loaded unit's load wish has been fulfilled.
func (o *owner) reportChanges() {
	o.mutex.Lock()
	var changed []wire.Replica
	for unit := range o.watchers {
		replica := o.view(unit)
		if replica.State == wire.ReplicaReady {
			o.fulfil(unit)
		}
		if last, known := o.reported[unit]; known && last == replica.State {
			continue
		}
		o.reported[unit] = replica.State
		changed = append(changed, replica)
	}
	coordinators := make([]string, len(changed))
	for index, replica := range changed {
		coordinators[index] = o.watchers[replica.Unit]
	}
	o.mutex.Unlock()
	for index, replica := range changed {
		o.report(coordinators[index], replica)
	}
}

func (o *owner) fulfil(unit string) {
	if wish, ok := o.wishes[unit]; ok {
		wish.loadUntil = time.Time{}
	}
}

// status describes the runner with everything granted or loaded on it.
func (o *owner) status() wire.RunnerStatus {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	status := wire.RunnerStatus{
		Runner: o.machine.Name, Incarnation: o.machine.Incarnation, Address: o.machine.Address,
		Zone: o.machine.Zone, Region: o.machine.Region, Owner: o.node, Epoch: o.epoch, MemoryMiB: o.state.MemoryMiB,
	}
	switch {
	case !o.fenced || !o.reachable:
		status.State = "unreachable"
	default:
		status.State = string(o.state.Role)
	}
	if o.ledger != nil {
		status.ReservedMiB = o.ledger.Reserved()
	}
	for _, unit := range o.catalog.GrantedOn(o.machine.Name) {
		status.Replicas = append(status.Replicas, o.view(unit.Name))
	}
	return status
}
