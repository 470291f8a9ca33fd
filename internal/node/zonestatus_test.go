package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/catalog"
	"lilacvane/internal/config"
	"lilacvane/internal/decision"
	"lilacvane/internal/fleet"
	"lilacvane/internal/logging"
	"lilacvane/internal/place"
	"lilacvane/internal/settings"
	"lilacvane/internal/wire"
)

// nodeWithDrain returns a node of zone a in region north, with zones a and b and a drain of one
// zone.
func nodeWithDrain(t *testing.T, drained place.Zone) *Node {
	t.Helper()
	log, err := logging.NewBounded("error", t.Output())
	assert.NilError(t, err)
	n := &Node{catalog: catalog.New(), decisions: decision.NewLog("n1", 10), log: log}
	n.zones = newZones(n)
	n.zones.applySnapshot(nil)
	n.settings.Store(&settings.Settings{Node: "n1", Zone: "a", Region: "north", Zones: place.Map{"b": "south"}})
	n.fleet = fleet.New("a", time.Now, (*operatorRules)(n))
	n.configuration.Store(&config.Configuration{Drains: map[api.Drain]bool{zoneDrain(drained): true, {Target: api.DrainRunner, Name: "r1"}: true}})
	return n
}

// Zones of settings, runners, nodes and drains are all listed, with the start time of a drain.
func TestZoneStatesIncludeEveryKnownZone(t *testing.T) {
	n := nodeWithDrain(t, "d")
	at := time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	object := api.NewObject(api.KindDrain, "any", zoneDrain("d"))
	other := api.NewObject(api.KindDrain, "other", zoneDrain("c"))
	n.catalog.Apply([]wire.Entry{
		{Revision: 1, Time: at, Changes: []wire.Change{{Object: object}}},
		{Revision: 2, Time: at.Add(time.Minute), Changes: []wire.Change{{Object: object, Deleted: true}}},
		{Revision: 3, Time: at.Add(2 * time.Minute), Changes: []wire.Change{{Object: object}, {Object: other}}},
		{Revision: 4, Time: at.Add(3 * time.Minute), Changes: []wire.Change{{Object: object}}},
	})
	since := at.Add(2 * time.Minute)
	states := n.zoneStates(map[place.Zone]fleet.StateCounts{"c": {Ready: 3, Cold: 2, Draining: 1}}, map[place.Zone]int{"a": 2})
	assert.DeepEqual(t, states, []wire.ZoneStatus{
		{Zone: "a", Region: "north", State: wire.ZoneIn, Nodes: 2},
		{Zone: "b", Region: "south", State: wire.ZoneIn},
		{Zone: "c", State: wire.ZoneIn, Ready: 3, Cold: 2, Draining: 1},
		{Zone: "d", State: wire.ZoneDrained, Since: &since},
	})
}

// The start and the end of a drain are recorded once each.
func TestZoneDrainIsRecorded(t *testing.T) {
	n := nodeWithDrain(t, "b")
	drained, none := n.configuration.Load(), &config.Configuration{ObjectRevision: 8}
	n.recordZoneDrains(nil, none)
	n.recordZoneDrains(none, drained)
	n.recordZoneDrains(drained, drained)
	n.recordZoneDrains(drained, none)
	found := n.decisions.Find("zone/b", 10)
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].Step, "end drain of zone")
	assert.Equal(t, found[1].Step, "drain zone")
}
