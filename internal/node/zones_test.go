package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/evacuation"
	"lilacvane/internal/feed"
	"lilacvane/internal/place"
	"lilacvane/internal/settings"
	"lilacvane/internal/table"
)

// evacuationNode returns a node that follows only zone evacuations. The key of a row is the name of
// the zone.
func evacuationNode() *Node {
	n := &Node{followers: &followers{}}
	n.platform.EvacuatedZone = func(key string) (place.Zone, bool) { return place.Zone(key), key != "configuration" }
	n.platform.ConfigurationKey = "none"
	defaults := settings.Default()
	n.settings.Store(&defaults)
	n.zones = newZones(n)
	n.followers.configuration = feed.NewFollower(nil, (*configurationHandler)(n), feed.Options{}, logr.Discard())
	return n
}

// Every zone is out until the table was read completely. A complete read replaces the earlier
// state.
func TestZonesFollowTheOperatorsTable(t *testing.T) {
	n := evacuationNode()
	handler, rules, placement := (*configurationHandler)(n), (*operatorRules)(n), placementRules{(*operatorRules)(n)}
	assert.Assert(t, rules.ZoneOut("a") && placement.ZoneOut("a"))
	handler.ApplySnapshot([]feed.Row{{Key: "configuration", Revision: 3}, {Key: "a", Revision: 4}}, 0)
	assert.Assert(t, rules.ZoneOut("a") && !rules.ZoneOut("b"))
	handler.ApplySnapshot([]feed.Row{{Key: "b", Revision: 7}}, time.Second)
	assert.Assert(t, !rules.ZoneOut("a") && rules.ZoneOut("b"))
	assert.Equal(t, n.zones.state("a"), evacuation.Returning)
	handler.ApplyChanges([]feed.Row{{Key: "b", Revision: 9, Deleted: true}})
	assert.Assert(t, !rules.ZoneOut("b"))
}

// While a zone is being evacuated, requests may still be sent there but models may not be loaded.
func TestLoadsStopBeforeRequestsInLeavingZone(t *testing.T) {
	n := evacuationNode()
	n.zones.applySnapshot(nil)
	n.zones.applyChanges([]evacuation.Row{{Zone: "a", Revision: 4}}, 0)
	assert.Assert(t, !(*operatorRules)(n).ZoneOut("a"))
	assert.Assert(t, placementRules{(*operatorRules)(n)}.ZoneOut("a"))
}

// TestZoneThatWasOutCameBackFromCopy: a restored table that lacks the row of a zone counted as the
// operator's return of the zone.
func TestZoneThatWasOutCameBackFromCopy(t *testing.T) {
	n := evacuationNode()
	handler := (*configurationHandler)(n)
	handler.ApplySnapshot([]feed.Row{{Key: "out", Revision: 7}, {Key: "back", Revision: 8}}, 0)
	handler.ApplyChanges([]feed.Row{{Key: "back", Revision: 9, Deleted: true}})
	assert.DeepEqual(t, handler.Keys(), []string{"out"})
	restored := []feed.Row{{Key: "back", Revision: table.NewRevision(2, 3)}, {Key: "out", Revision: table.NewRevision(2, 5), Deleted: true}, {Key: "third", Revision: table.NewRevision(2, 4)}}
	deferred := handler.ApplyRestored(restored)
	assert.Equal(t, n.zones.state("out"), evacuation.Out)
	assert.Equal(t, n.zones.state("back"), evacuation.Returning)
	assert.Assert(t, n.zones.state("third") == evacuation.Leaving || n.zones.state("third") == evacuation.Out)
	assert.DeepEqual(t, deferred, feed.Defer(restored[:2], table.SettlingPeriod))
	handler.ApplyChanges(restored[:2])
	assert.Equal(t, n.zones.state("out"), evacuation.Returning)
	assert.Assert(t, n.zones.state("back") == evacuation.Leaving || n.zones.state("back") == evacuation.Out)
}
