package node

import (
	"time"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/figures"
	"lilacvane/internal/place"
	"lilacvane/internal/wire"
)

// newFigures joins the figures to the node's parts.
func newFigures(n *Node) *figures.Figures {
	return figures.New(figures.Sources{
		Active:  func() int64 { return n.ingress.Active() },
		Runners: n.fleet.Count, RunnersByState: n.runnersByState, Partial: func() bool { return !n.fleet.Whole() },
		ListAge: n.listAge, ConfigurationAge: n.configurationAge,
		Resting:     func() int { return n.statements.CountResting() },
		Quarantined: func() int { return n.quarantine.CountRefused() },
		ZonesOut:    func() int { return n.zones.table.Load().CountOut() },
		Cold:        n.fleet.ColdFigures, LogDropped: n.log.Dropped, Revision: n.revisionInForce,
		Store:      func(value func(wire.StoreStatus) float64) float64 { return n.controls.sumStores(value) },
		LeasesHeld: func() int { return n.controls.countHeld() },
		Links:      n.platform.Links,
	})
}

// runnersByState counts the listed runners by state.
func (n *Node) runnersByState() map[string]int {
	return figures.CountStates(n.fleet.Zones(), func(zone place.Zone) bool {
		word, _ := n.zoneState(zone)
		return word == wire.ZoneOut || word == wire.ZoneLeaving
	})
}

// listAge is how long ago the list of runners was heard of; false as long as it was not read.
func (n *Node) listAge() (time.Duration, bool) {
	heard := n.knowledge.runners.Heard()
	return time.Since(heard), !heard.IsZero()
}

// configurationAge is how long ago the store told the configuration; false as long as it was not
// read.
func (n *Node) configurationAge() (time.Duration, bool) {
	told := n.knowledge.configuration.Told()
	return time.Since(told), !told.IsZero()
}

// knowledgeOfConfiguration is what the configuration is known from now.
func (n *Node) knowledgeOfConfiguration() dispatch.Knowledge {
	age, _ := n.configurationAge()
	return dispatch.Knowledge{Age: age, Source: n.relay.Upstream().String()}
}

// revisionInForce is that of the configuration in force; zero for none.
func (n *Node) revisionInForce() uint64 {
	if configuration := n.configuration.Load(); configuration != nil {
		return configuration.Revision
	}
	return 0
}
