package upstream

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/link"
	"lilacvane/internal/place"
	"lilacvane/internal/traffic"
)

// TestMeteredConnectionsAreReused checks that a byte counter around a connection hides neither that
// it is quiescent nor the limits set on it, so that it is used again.
func TestMeteredConnectionsAreReused(t *testing.T) {
	s := serveAll(t, "whole")
	pool := NewPool(internalNames)
	pool.Links = &link.Record{}
	bytes := make(chan int, 64)
	meter := traffic.NewMeter("north", func(_ traffic.Purpose, _ traffic.Direction, count int) { bytes <- count })
	pool.Wrap = func(_ string, conn net.Conn) net.Conn { return meter.Connection(conn, place.Region("south")) }
	client := &http.Client{Transport: pool}
	for range 3 {
		assert.NilError(t, post(t, client, s).Body.Close())
	}
	dialed := uint64(0)
	pool.Links.Kinds(func(kind link.Kind, count uint64) {
		if kind == link.Runner {
			dialed = count
		}
	})
	assert.Equal(t, dialed, uint64(1))
	assert.Assert(t, len(bytes) > 0)
}
