package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/config"
	"lilacvane/internal/evacuation"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
	"lilacvane/internal/wire"
)

// wireZoneStates maps evacuation states to the states that operators see.
var wireZoneStates = map[evacuation.State]wire.ZoneState{
	evacuation.Leaving: wire.ZoneLeaving, evacuation.Out: wire.ZoneOut, evacuation.Returning: wire.ZoneReturning,
}

// zoneState returns the operators' decision about a zone and when it was made, or the zero time if
// unknown. Any further way to take zones out or back belongs here.
func (n *Node) zoneState(zone place.Zone) (wire.ZoneState, time.Time) {
	if state, since := n.zones.since(zone); state != evacuation.In {
		return wireZoneStates[state], since
	}
	configuration := n.configuration.Load()
	if configuration == nil || !configuration.Drains[zoneDrain(zone)] {
		return wire.ZoneIn, time.Time{}
	}
	return wire.ZoneDrained, n.drainedSince(zone)
}

func zoneDrain(zone place.Zone) api.Drain {
	return api.Drain{Target: api.DrainZone, Name: string(zone)}
}

// drainedSince returns when the drain of a zone took effect, as far as the kept history shows.
func (n *Node) drainedSince(zone place.Zone) time.Time {
	for _, object := range n.catalog.List(api.KindDrain) {
		drain, err := api.Decode[api.Drain](object)
		if err != nil || drain != zoneDrain(zone) {
			continue
		}
		return createdAt(n.catalog.History(api.KindDrain, object.Name), object.Key())
	}
	return time.Time{}
}

// createdAt returns when an object was created after its last deletion.
func createdAt(entries []wire.Entry, key api.Key) time.Time {
	var created time.Time
	for _, entry := range entries {
		for _, change := range entry.Changes {
			switch {
			case change.Object.Key() != key:
			case change.Deleted:
				created = time.Time{}
			case created.IsZero():
				created = entry.Time
			}
		}
	}
	return created
}

// Zones describes the zones in the settings, those with runners or nodes, and those that operators
// decided about.
func (n *Node) Zones(ctx context.Context) []wire.ZoneStatus {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return n.zoneStates(n.fleet.Zones(), n.nodesByZone(ctx))
}

// zoneStates describes each zone with its runners and nodes.
func (n *Node) zoneStates(runners map[place.Zone]fleet.StateCounts, nodes map[place.Zone]int) []wire.ZoneStatus {
	states := []wire.ZoneStatus{}
	for _, zone := range n.knownZones(runners, nodes) {
		state, since := n.zoneState(zone)
		status := wire.ZoneStatus{
			Zone: zone, Region: n.regionOf(zone), State: state, Nodes: nodes[zone],
			Ready: runners[zone].Ready, Cold: runners[zone].Cold, Draining: runners[zone].Draining,
		}
		if !since.IsZero() {
			status.Since = &since
		}
		states = append(states, status)
	}
	return states
}

// knownZones lists all known zones, sorted.
func (n *Node) knownZones(runners map[place.Zone]fleet.StateCounts, nodes map[place.Zone]int) []place.Zone {
	known := make(map[place.Zone]bool)
	for zone := range n.settings.Load().Zones {
		known[zone] = true
	}
	for zone := range runners {
		known[zone] = true
	}
	for zone := range nodes {
		known[zone] = true
	}
	for _, zone := range drainedZones(n.configuration.Load()) {
		known[zone] = true
	}
	for _, status := range n.zones.table.Load().Zones(time.Now()) {
		known[status.Zone] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// drainedZones lists the zones that are being drained, sorted.
func drainedZones(configuration *config.Configuration) []place.Zone {
	var zones []place.Zone
	if configuration == nil {
		return nil
	}
	for drain := range configuration.Drains {
		if drain.Target == api.DrainZone {
			zones = append(zones, place.Zone(drain.Name))
		}
	}
	slices.Sort(zones)
	return zones
}

// regionOf returns the region of a zone, or an empty region if unknown.
func (n *Node) regionOf(zone place.Zone) place.Region {
	s := n.settings.Load()
	if string(zone) == s.Zone {
		return cmp.Or(s.Zones.Region(zone), place.Region(s.Region))
	}
	return s.Zones.Region(zone)
}

// nodesByZone counts the nodes that report to lease holders, and always includes this one.
func (n *Node) nodesByZone(ctx context.Context) map[place.Zone]int {
	s := n.settings.Load()
	counts := map[place.Zone]int{place.Zone(s.Zone): 1}
	for _, member := range n.members(ctx) {
		if member.Node != s.Node {
			counts[place.Zone(member.Zone)]++
		}
	}
	return counts
}

// recordZoneDrains records the zone drains that a new configuration began or ended.
func (n *Node) recordZoneDrains(old, composed *config.Configuration) {
	before, after := drainedZones(old), drainedZones(composed)
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			n.recordZoneDecision(zone, "drain zone", "a planned stop is in force", composed.ObjectRevision)
		}
	}
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			n.recordZoneDecision(zone, "end drain of zone", "the planned stop has ended", composed.ObjectRevision)
		}
	}
}

// recordZoneDecision records a decision about a zone and the state of its runners.
func (n *Node) recordZoneDecision(zone place.Zone, step, reason string, revision uint64) {
	runners := n.fleet.Zones()[zone]
	n.log.Info("zone changed", "zone", string(zone), "step", step, "runners", runners.Total(), "revision", revision)
	n.recordDecision("zone/"+string(zone), step, reason+" at revision "+strconv.FormatUint(revision, 10)+"; its runners: ready "+strconv.Itoa(runners.Ready)+
		", cold "+strconv.Itoa(runners.Cold)+", draining "+strconv.Itoa(runners.Draining))
}
