package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/place"
	"lilacvane/internal/tunnel"
	"lilacvane/internal/wire"
)

// TestPeersOfEachRegionAreNamed: a request may be passed on in its homes only, and the holder named
// none of another region where its own has zones enough. Each peer is named with its region.
func TestPeersOfEachRegionAreNamed(t *testing.T) {
	places := make(nodePlaces)
	regionOf := make(map[string]place.Region)
	for _, region := range []place.Region{"north", "south", "west"} {
		for zone := range 5 {
			at := nodePlace{region: region, zone: place.Zone(fmt.Sprintf("%s-%d", region, zone))}
			for number := range 4 {
				address := fmt.Sprintf("%s:%d", at.zone, number)
				places[at] = append(places[at], address)
				regionOf[address] = region
			}
		}
	}
	for range 50 {
		addresses, regions := places.tunnelPeers(wire.SyncRequest{Region: "north", Zone: "north-0", Address: "north-0:0"})
		named := make(map[place.Region]int)
		for i, peer := range tunnelPeersOf(wire.SyncResponse{TunnelPeers: addresses, TunnelRegions: regions}) {
			assert.Equal(t, peer.Region, regionOf[peer.Address])
			assert.Assert(t, peer.Address != "north-0:0")
			assert.Assert(t, i >= tunnelPeersNear || peer.Region == "north", "%v", addresses)
			named[peer.Region]++
		}
		assert.DeepEqual(t, named, map[place.Region]int{"north": tunnelPeersNear + tunnelPeersFar, "south": tunnelPeersAbroad, "west": tunnelPeersAbroad})
	}
}

// TestPeersOfAnOlderHolderHaveNoRegion: a holder that states no regions, or too few, leaves those of its
// peers unknown.
func TestPeersOfAnOlderHolderHaveNoRegion(t *testing.T) {
	peers := tunnelPeersOf(wire.SyncResponse{TunnelPeers: []string{"a", "b"}, TunnelRegions: []string{"north"}})
	assert.DeepEqual(t, peers, []tunnel.Peer{{Address: "a", Region: "north"}, {Address: "b"}})
}
