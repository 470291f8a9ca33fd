package node

import (
	"lilacvane/internal/evacuation"
	"lilacvane/internal/place"
)

// operatorRules are the operators' decisions about runners and zones, as known to this node.
type operatorRules Node

// Drained reports whether a runner or its zone is being drained.
func (r *operatorRules) Drained(runner, zone string) bool {
	configuration := r.configuration.Load()
	return configuration != nil && configuration.Drained(runner, zone)
}

// ZoneOut reports whether a zone is evacuated, so that nothing new may go there. It also returns
// true before the operators' table was read, as any zone may be evacuated then.
func (r *operatorRules) ZoneOut(zone place.Zone) bool { return r.zones.state(zone) == evacuation.Out }

// placementRules are operatorRules for long-lived placements such as model loads: a zone is out
// from the moment this node learns of its evacuation.
type placementRules struct{ *operatorRules }

// ZoneOut reports whether a zone is evacuated or about to be.
func (r placementRules) ZoneOut(zone place.Zone) bool {
	state := r.zones.state(zone)
	return state == evacuation.Out || state == evacuation.Leaving
}
