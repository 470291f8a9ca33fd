package node

import "lilacvane/internal/place"

// operatorRules are what operators decided about runners and zones, as this node knows it.
type operatorRules Node

// Drained reports whether a planned stop of a runner or its zone is in force.
func (r *operatorRules) Drained(runner, zone string) bool {
	configuration := r.configuration.Load()
	return configuration != nil && configuration.Drained(runner, zone)
}

// ZoneOut reports whether a zone is taken out, so that nothing new may go there.
func (r *operatorRules) ZoneOut(place.Zone) bool { return false }
