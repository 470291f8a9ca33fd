package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"lilacvane/internal/orders"
	"lilacvane/internal/place"
	"lilacvane/internal/statement"
	"lilacvane/internal/tunnel"
	"lilacvane/internal/wire"
)

const (
	// brokenPathPause is how long a runner counts as busy that this node does not reach by itself:
	// longer than a load elsewhere takes.
	brokenPathPause = 10 * time.Second
	// tunnelPeersNear is how many nodes of its own zone a node is told to reach runners through,
	// tunnelPeersFar how many of other zones of its region, tunnelPeersAbroad how many of each other
	// region: requests whose homes lie there may go through no others.
	tunnelPeersNear   = 3
	tunnelPeersFar    = 3
	tunnelPeersAbroad = 2
)

// pauseOf returns how long a runner accepts nothing from this node: it asked for a rest, or this
// node does not reach it by itself, as orders must.
func (c *Controller) pauseOf(ledger *orders.Ledger, stated statement.State) time.Duration {
	if _, broken := c.Reach.BrokenSince(ledger.Runner.Name()); broken {
		return max(stated.Rest, brokenPathPause)
	}
	return stated.Rest
}

// nodePlace is where a node is.
type nodePlace struct {
	region place.Region
	zone   place.Zone
}

// nodePlaces are the addresses of the nodes that are not cut off from the runners, by place.
type nodePlaces map[nodePlace][]string

// reaching returns where the nodes are that are not cut off from the runners.
func (d *demandTracker) reaching() nodePlaces {
	places := make(nodePlaces)
	for _, report := range d.reports {
		if !report.cutOff && report.address != "" {
			at := nodePlace{region: report.region, zone: place.Zone(report.zone)}
			places[at] = append(places[at], report.address)
		}
	}
	return places
}

// tunnelPeers draws nodes through which a node may reach runners, and returns their addresses and
// regions: of its own zone first, then of other zones, as all of a zone may be cut off, those of its
// region first.
func (p nodePlaces) tunnelPeers(asker wire.SyncRequest) (addresses, regions []string) {
	own := nodePlace{region: place.Region(asker.Region), zone: place.Zone(asker.Zone)}
	peers := tunnelPeersAt(own, draw(p[own], tunnelPeersNear, asker.Address))
	// The zones come in another order each time.
	drawn := make(map[place.Region]int)
	var far, abroad []tunnel.Peer
	for at, nodes := range p {
		switch {
		case at == own:
		case at.region == own.region && len(far) < tunnelPeersFar:
			far = append(far, tunnelPeersAt(at, draw(nodes, 1, asker.Address))...)
		case at.region != own.region && drawn[at.region] < tunnelPeersAbroad:
			found := draw(nodes, 1, asker.Address)
			drawn[at.region] += len(found)
			abroad = append(abroad, tunnelPeersAt(at, found)...)
		}
	}
	for _, peer := range slices.Concat(peers, far, abroad) {
		addresses, regions = append(addresses, peer.Address), append(regions, string(peer.Region))
	}
	return addresses, regions
}

// tunnelPeersAt returns the nodes of a place as peers.
func tunnelPeersAt(at nodePlace, addresses []string) []tunnel.Peer {
	peers := make([]tunnel.Peer, 0, len(addresses))
	for _, address := range addresses {
		peers = append(peers, tunnel.Peer{Address: address, Region: at.region})
	}
	return peers
}

// tunnelPeersOf returns the peers that a response names. An older holder states no regions.
func tunnelPeersOf(response wire.SyncResponse) []tunnel.Peer {
	peers := make([]tunnel.Peer, len(response.TunnelPeers))
	for i, address := range response.TunnelPeers {
		peers[i].Address = address
		if i < len(response.TunnelRegions) {
			peers[i].Region = place.Region(response.TunnelRegions[i])
		}
	}
	return peers
}

// draw returns up to count of the addresses other than one, beginning anywhere.
func draw(addresses []string, count int, except string) []string {
	drawn := make([]string, 0, count)
	if len(addresses) == 0 {
		return drawn
	}
	first := rand.IntN(len(addresses))
	for step := range addresses {
		if len(drawn) == count {
			break
		}
		if address := addresses[(first+step)%len(addresses)]; address != except {
			drawn = append(drawn, address)
		}
	}
	return drawn
}
