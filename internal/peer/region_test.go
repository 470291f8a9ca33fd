package peer

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

// serve starts a peer in a region that answers MethodSpend, or fails if fails is set, and returns
// its address.
func serve(t *testing.T, region place.Region, fails bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer("there", nil)
	server.SetRegion(region)
	Handle(server, wire.MethodSpend, func(context.Context, wire.SpendRequest) (wire.SpendResponse, error) {
		if fails {
			return wire.SpendResponse{}, fault.New(fault.CodeNotReady, wire.MethodSpend, "not now")
		}
		return wire.SpendResponse{Spent: true}, nil
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestCallsToOtherRegionsAreCounted checks that the first call to a peer learns its region, that
// calls to other regions are counted in both directions even if they fail, and that calls within
// the region are not counted.
func TestCallsToOtherRegionsAreCounted(t *testing.T) {
	sums := make(map[traffic.Direction]int)
	client := NewClient("here", nil)
	defer client.Close()
	client.SetMeter(traffic.NewMeter("north", func(purpose traffic.Purpose, direction traffic.Direction, bytes int) {
		assert.Equal(t, purpose, traffic.Limits)
		sums[direction] += bytes
	}))
	call := func(address string) error {
		var response wire.SpendResponse
		return client.Call(t.Context(), address, wire.MethodSpend, wire.SpendRequest{Tenant: "t", Cost: 1}, &response)
	}
	for _, region := range []place.Region{"north", ""} {
		address := serve(t, region, false)
		assert.NilError(t, call(address))
		assert.NilError(t, call(address))
	}
	assert.Equal(t, len(sums), 0)
	far := serve(t, "south", false)
	assert.NilError(t, call(far))
	sent, received := sums[traffic.Sent], sums[traffic.Received]
	assert.Assert(t, sent > 0 && received > 0)
	assert.NilError(t, call(far))
	assert.Equal(t, sums[traffic.Sent], 2*sent)
	assert.Equal(t, sums[traffic.Received], 2*received)
	assert.Assert(t, fault.IsCode(call(serve(t, "south", true)), fault.CodeNotReady))
	assert.Equal(t, sums[traffic.Sent], 3*sent)
}
