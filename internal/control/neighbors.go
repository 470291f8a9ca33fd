package control

import (
	"slices"

	"lilacvane/internal/ring"
	"lilacvane/internal/wire"
)

// addresses returns the addresses of the nodes that reported recently, in order.
func (d *demandTracker) addresses() []string {
	addresses := make([]string, 0, len(d.reports))
	for _, report := range d.reports {
		if report.address != "" {
			addresses = append(addresses, report.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// changedNeighbors returns the neighbors of a node that reports, unless it knows them.
func (s nodeSummary) changedNeighbors(request wire.SyncRequest) []string {
	neighbors := ring.Neighbors(s.addresses, request.Address)
	if len(neighbors) == 0 || wire.NeighborsDigest(neighbors) == request.NeighborsDigest {
		return nil
	}
	return neighbors
}
