package node

import (
	"lilacvane/internal/evacuation"
	"lilacvane/internal/place"
)

// operatorRules are what operators decided about runners and zones, as this node knows it.
type operatorRules Node

// Drained reports whether a planned stop of a runner or its zone is in force.
func (r *operatorRules) Drained(runner, zone string) bool {
	configuration := r.configuration.Load()
	return configuration != nil && configuration.Drained(runner, zone)
}

// ZoneOut reports whether a zone is taken out, so that nothing new may go there; also
// while the operators' table was not read, as any zone may be out then.
func (r *operatorRules) ZoneOut(zone place.Zone) bool { return r.zones.state(zone) == evacuation.Out }

// stayingRules are operatorRules for what is to last, such as loads: a zone is out for it
// from the moment at which this node hears of it.
type stayingRules struct{ *operatorRules }

// ZoneOut reports whether a zone is taken out, or about to be left for that.
func (r stayingRules) ZoneOut(zone place.Zone) bool {
	state := r.zones.state(zone)
	return state == evacuation.Out || state == evacuation.Leaving
}
