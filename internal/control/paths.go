package control

import (
	"math/rand/v2"
	"time"

	"lilacvane/internal/orders"
	"lilacvane/internal/place"
	"lilacvane/internal/statement"
	"lilacvane/internal/wire"
)

const (
	// brokenPathPause is how long a runner counts as busy that this node does not reach by itself:
	// longer than a load elsewhere takes.
	brokenPathPause = 10 * time.Second
	// tunnelPeersNear is how many nodes of its own zone a node is told to reach runners through,
	// tunnelPeersFar how many of other zones.
	tunnelPeersNear = 3
	tunnelPeersFar  = 3
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

// tunnelPeers draws nodes through which a node may reach runners: of its own zone first, then of
// others, as all of a zone may be cut off, those of its region first.
func (p nodePlaces) tunnelPeers(asker wire.SyncRequest) []string {
	own := nodePlace{region: place.Region(asker.Region), zone: place.Zone(asker.Zone)}
	peers := draw(p[own], tunnelPeersNear, asker.Address)
	for _, inRegion := range []bool{true, false} {
		for at, addresses := range p {
			if len(peers) == tunnelPeersNear+tunnelPeersFar {
				return peers
			}
			if at != own && (at.region == own.region) == inRegion {
				peers = append(peers, draw(addresses, 1, asker.Address)...)
			}
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
