package node

import (
	"time"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/memory"
	"lilacvane/internal/metrics"
	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/wire"
)

// newMetrics returns metrics that read from the node's components.
func newMetrics(n *Node) *metrics.Metrics {
	return metrics.New(metrics.Sources{
		Active:  func() int64 { return n.ingress.Active() },
		Load:    n.load.Load,
		Runners: n.fleet.Count, RunnersByState: n.runnersByState, Partial: func() bool { return !n.fleet.Complete() },
		ListAge: n.listAge, ConfigurationAge: n.configurationAge,
		Reach:       func() reach.Figures { return n.reach.Figures() },
		Carried:     func() int { return n.tunnels.Count() },
		Resting:     func() int { return n.statements.CountResting() },
		Quarantined: func() int { return n.quarantine.CountRefused() },
		ZonesOut:    func() int { return n.zones.table.Load().CountOut() },
		Cold:        n.fleet.ColdFigures, LogDropped: n.log.Dropped, Revision: n.activeRevision,
		Store:      func(value func(wire.StoreStatus) float64) float64 { return n.controls.sumStores(value) },
		LeasesHeld: func() int { return n.controls.countHeld() },
		StoreEpoch: func() uint64 { return uint64(n.platform.Epochs.Newest()) },
		Links:      n.platform.Links,
		Memory: map[string]func() memory.Figures{
			"clients": func() memory.Figures { return n.guard.Figures() },
			"nodes":   func() memory.Figures { return n.peerGuard.Figures() },
		},
	})
}

// runnersByState counts the listed runners by state.
func (n *Node) runnersByState() map[string]int {
	return metrics.CountStates(n.fleet.Zones(), func(zone place.Zone) bool {
		state, _ := n.zoneState(zone)
		return state == wire.ZoneOut || state == wire.ZoneLeaving
	})
}

// listAge returns how long ago the list of runners was last confirmed, or false if it was never
// read.
func (n *Node) listAge() (time.Duration, bool) {
	lastResponse := n.followers.runners.LastResponse()
	return time.Since(lastResponse), !lastResponse.IsZero()
}

// configurationAge returns how long ago the store last confirmed the configuration, or false if it
// was never read.
func (n *Node) configurationAge() (time.Duration, bool) {
	asOf := n.followers.configuration.AsOf()
	return time.Since(asOf), !asOf.IsZero()
}

// configurationOrigin returns the current age and source of the configuration.
func (n *Node) configurationOrigin() dispatch.ConfigurationOrigin {
	age, _ := n.configurationAge()
	return dispatch.ConfigurationOrigin{Age: age, Source: n.relay.Upstream().String()}
}

// activeRevision returns the revision of the active configuration, or zero if there is none.
func (n *Node) activeRevision() uint64 {
	if configuration := n.configuration.Load(); configuration != nil {
		return configuration.Revision
	}
	return 0
}
