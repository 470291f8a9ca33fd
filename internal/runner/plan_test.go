package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/engine"
	"lilacvane/internal/ledger"
	"lilacvane/internal/machines"
	"lilacvane/internal/sleep"
	"lilacvane/internal/wire"
)

const testRunner = "runner-1"

// fixedKeep is a keep-alive time for all units.
type fixedKeep time.Duration

func (k fixedKeep) For(catalog.Unit, sleep.Place) time.Duration { return time.Duration(k) }
func (k fixedKeep) ObserveGap(string, time.Duration)            {}

// testOwner returns an owner of a runner with 1000 MiB on which units of 400 MiB
// are granted.
func testOwner(t *testing.T, units ...string) *owner {
	t.Helper()
	c := catalog.New()
	var changes []wire.Change
	for _, name := range units {
		version := name + "-v1"
		for _, object := range []api.Object{
			api.NewObject(api.KindVersion, version, api.Version{Model: name, Checkpoint: version, MemoryMiB: 400}),
			api.NewObject(api.KindModel, name, api.Model{ActiveVersion: version, Replicas: 1}),
			api.NewObject(api.KindGrant, name, api.Grant{Items: []api.GrantItem{{Runner: testRunner, Incarnation: "i", Generation: 1}}}),
		} {
			object.Generation = 1
			changes = append(changes, wire.Change{Object: object})
		}
	}
	assert.Equal(t, c.Apply([]wire.Entry{{Revision: 1, Changes: changes}}), 1)
	return &owner{
		machine: machines.Machine{Name: testRunner, Incarnation: "i", MemoryMiB: 1000}, catalog: c,
		ledger: ledger.New(1000), keep: fixedKeep(time.Hour), fenced: true, reachable: true,
		wantRole:   func(machines.Machine) engine.Role { return engine.RoleServing },
		wishes:     make(map[string]*wish),
		readySince: make(map[string]time.Time),
		state:      engine.State{Incarnation: "i", Role: engine.RoleServing, MemoryMiB: 1000, Slots: 8},
	}
}

// hold makes the owner's runner report a unit as ready since a time.
func (o *owner) hold(name string, since time.Time, active int) {
	o.state.Units = append(o.state.Units, engine.Unit{Name: name, Version: name + "-v1", State: engine.UnitReady, MemoryMiB: 400, Active: active})
	o.readySince[name] = since
	o.stateAt = time.Now()
	o.ledger.Confirm(memoryByUnit(o.state))
}

func (o *owner) want(name string, since time.Time) {
	o.wishes[name] = &wish{since: since, loadUntil: time.Now().Add(time.Hour)}
}

func unloads(orders []engine.Order) []string {
	var names []string
	for _, order := range orders {
		if order.Kind == engine.OrderUnload {
			names = append(names, order.Unit)
		}
	}
	return names
}

// TestFreshReplicaIsNotEvictedBeforeFirstUse: failed first with two models that
// evicted each other every 0.2 s before the requests they were loaded for came.
func TestFreshReplicaIsNotEvictedBeforeFirstUse(t *testing.T) {
	now := time.Now()
	o := testOwner(t, "a", "b", "c")
	o.hold("a", now.Add(-100*time.Millisecond), 0)
	o.hold("b", now.Add(-100*time.Millisecond), 0)
	o.want("c", now)
	assert.Equal(t, len(o.plan(now)), 0)
	later := now.Add(firstUse)
	assert.Equal(t, len(unloads(o.plan(later))), 1)
}

// TestOneReplicaMakesRoomForOneLoad: two loads that wait for memory do not count
// on the same replica.
func TestOneReplicaMakesRoomForOneLoad(t *testing.T) {
	now := time.Now()
	o := testOwner(t, "a", "b", "c", "d")
	long := now.Add(-time.Minute)
	o.hold("a", long, 0)
	o.hold("b", long, 0)
	o.want("c", now)
	o.want("d", now)
	names := unloads(o.plan(now))
	assert.Equal(t, len(names), 2, "%v", names)
	assert.Assert(t, names[0] != names[1])
}

// TestReplicaInUseGivesWayAfterAWhile: a load that has waited makes a replica in
// use give way, one that just came does not.
func TestReplicaInUseGivesWayAfterAWhile(t *testing.T) {
	now := time.Now()
	o := testOwner(t, "a", "b", "c")
	o.hold("a", now.Add(-time.Minute), 2)
	o.hold("b", now.Add(-2*time.Minute), 2)
	o.want("c", now)
	assert.Equal(t, len(o.plan(now)), 0)
	assert.DeepEqual(t, unloads(o.plan(now.Add(2*preemptAfter))), []string{"b"})
}

// TestPlanFollowsGrants: nothing is loaded without a grant for this incarnation,
// and what is being revoked is revoked.
func TestPlanFollowsGrants(t *testing.T) {
	now := time.Now()
	o := testOwner(t, "a")
	o.want("a", now)
	orders := o.plan(now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, engine.OrderLoad)
	o.machine.Incarnation = "other"
	assert.Equal(t, len(o.plan(now)), 0)
	revoking := api.NewObject(api.KindGrant, "a", api.Grant{Items: []api.GrantItem{{Runner: testRunner, Incarnation: "i", Generation: 1, Revoking: true}}})
	revoking.Generation = 2
	o.machine.Incarnation = "i"
	o.catalog.Apply([]wire.Entry{{Revision: 2, Changes: []wire.Change{{Object: revoking}}}})
	orders = o.plan(now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, engine.OrderRevoke)
}
