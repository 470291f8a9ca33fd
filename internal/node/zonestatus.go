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

// toldZoneStates are how a zone that was taken out is told of.
var toldZoneStates = map[evacuation.State]wire.ZoneState{
	evacuation.Leaving: wire.ZoneLeaving, evacuation.Out: wire.ZoneOut, evacuation.Returning: wire.ZoneReturning,
}

// zoneState is what operators decided about a zone, and since when; the zero time when that
// is not known. Whatever else takes zones out or back joins here.
func (n *Node) zoneState(zone place.Zone) (wire.ZoneState, time.Time) {
	if state, since := n.zones.since(zone); state != evacuation.In {
		return toldZoneStates[state], since
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

// drainedSince is when the planned stop of a zone came into force, as far as the kept
// history tells.
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

// createdAt is when an object was written first after it was last deleted.
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

// Zones describes the zones that the settings name, and those in which runners or nodes
// are or that operators decided about.
func (n *Node) Zones(ctx context.Context) []wire.ZoneStatus {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return n.zoneStates(n.fleet.Zones(), n.nodesByZone(ctx))
}

// zoneStates describes each zone by the runners and nodes there.
func (n *Node) zoneStates(runners map[place.Zone]fleet.Standing, nodes map[place.Zone]int) []wire.ZoneStatus {
	states := []wire.ZoneStatus{}
	for _, zone := range n.knownZones(runners, nodes) {
		word, since := n.zoneState(zone)
		status := wire.ZoneStatus{
			Zone: zone, Region: n.regionOf(zone), State: word, Nodes: nodes[zone],
			Ready: runners[zone].Ready, Cold: runners[zone].Cold, Draining: runners[zone].Draining,
		}
		if !since.IsZero() {
			status.Since = &since
		}
		states = append(states, status)
	}
	return states
}

// knownZones lists the zones of which anything is known, sorted.
func (n *Node) knownZones(runners map[place.Zone]fleet.Standing, nodes map[place.Zone]int) []place.Zone {
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

// drainedZones lists the zones that planned stops empty, sorted.
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

// regionOf is the region of a zone; empty when it is not known.
func (n *Node) regionOf(zone place.Zone) place.Region {
	s := n.settings.Load()
	if string(zone) == s.Zone {
		return cmp.Or(s.Zones.Region(zone), place.Region(s.Region))
	}
	return s.Zones.Region(zone)
}

// nodesByZone counts the nodes that report, this one always.
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

// decideZones remembers which planned stops of zones a new configuration began or ended.
func (n *Node) decideZones(old, composed *config.Configuration) {
	before, after := drainedZones(old), drainedZones(composed)
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			n.decideZone(zone, "drain zone", "a planned stop is in force", composed.ObjectRevision)
		}
	}
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			n.decideZone(zone, "end drain of zone", "the planned stop has ended", composed.ObjectRevision)
		}
	}
}

// decideZone remembers a decision about a zone, with the runners that it concerns.
func (n *Node) decideZone(zone place.Zone, step, reason string, revision uint64) {
	runners := n.fleet.Zones()[zone]
	n.log.Info("zone changed", "zone", string(zone), "step", step, "runners", runners.Total(), "revision", revision)
	n.decide("zone/"+string(zone), step, reason+" at revision "+strconv.FormatUint(revision, 10)+"; its runners: ready "+strconv.Itoa(runners.Ready)+
		", cold "+strconv.Itoa(runners.Cold)+", draining "+strconv.Itoa(runners.Draining))
}
