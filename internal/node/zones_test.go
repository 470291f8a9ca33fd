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
)

// zonedNode is a node that follows only which zones are out; rows name a zone by their key.
func zonedNode() *Node {
	n := &Node{knowledge: &knowledge{}}
	n.platform.EvacuatedZone = func(key string) (place.Zone, bool) { return place.Zone(key), key != "configuration" }
	n.platform.ConfigurationKey = "none"
	defaults := settings.Default()
	n.settings.Store(&defaults)
	n.zones = newZones(n)
	n.knowledge.configuration = feed.NewFollower(nil, (*configurationHandler)(n), feed.Options{}, logr.Discard())
	return n
}

// TestZonesFollowTheOperatorsTable: every zone is out until the table was read whole; a
// whole read replaces what was known.
func TestZonesFollowTheOperatorsTable(t *testing.T) {
	n := zonedNode()
	handler, rules, staying := (*configurationHandler)(n), (*operatorRules)(n), stayingRules{(*operatorRules)(n)}
	assert.Assert(t, rules.ZoneOut("a") && staying.ZoneOut("a"))
	handler.Whole([]feed.Row{{Key: "configuration", Revision: 3}, {Key: "a", Revision: 4}}, 0)
	assert.Assert(t, rules.ZoneOut("a") && !rules.ZoneOut("b"))
	handler.Whole([]feed.Row{{Key: "b", Revision: 7}}, time.Second)
	assert.Assert(t, !rules.ZoneOut("a") && rules.ZoneOut("b"))
	assert.Equal(t, n.zones.state("a"), evacuation.Returning)
	handler.Changed([]feed.Row{{Key: "b", Revision: 9, Deleted: true}})
	assert.Assert(t, !rules.ZoneOut("b"))
}

// TestLoadsLeaveAZoneFirst: while a zone is left, requests may still go there and loads
// may not.
func TestLoadsLeaveAZoneFirst(t *testing.T) {
	n := zonedNode()
	n.zones.whole(nil)
	n.zones.changed([]evacuation.Row{{Zone: "a", Revision: 4}}, 0)
	assert.Assert(t, !(*operatorRules)(n).ZoneOut("a"))
	assert.Assert(t, stayingRules{(*operatorRules)(n)}.ZoneOut("a"))
}
