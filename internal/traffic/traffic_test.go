package traffic

import (
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/place"
)

type key struct {
	purpose   Purpose
	direction Direction
}

func testMeter(own string) (*Meter, map[key]int) {
	sums := make(map[key]int)
	return NewMeter(place.Region(own), func(purpose Purpose, direction Direction, bytes int) { sums[key{purpose, direction}] += bytes }), sums
}

// TestOnlyOtherRegionsCount checks that calls to peers in the same region and to peers whose
// region is not known are not counted, and that a node without a region counts nothing.
func TestOnlyOtherRegionsCount(t *testing.T) {
	meter, sums := testMeter("north")
	assert.Assert(t, !meter.Knows("far:1"))
	for address, region := range map[string]string{"far:1": "south", "near:1": "north", "none:1": ""} {
		meter.Learn(address, place.Region(region))
		assert.Assert(t, meter.Knows(address))
	}
	for _, address := range []string{"far:1", "near:1", "none:1", "new:1"} {
		meter.Exchanged(address, Demand, 10, 300)
	}
	assert.DeepEqual(t, sums, map[key]int{{Demand, Sent}: 10, {Demand, Received}: 300})
	unplaced, none := testMeter("")
	unplaced.Learn("far:1", "south")
	unplaced.Exchanged("far:1", Demand, 10, 300)
	assert.Assert(t, unplaced.Knows("any:1") && len(none) == 0)
}

// TestPeersAreBounded checks that a node stores at most maximumPeers addresses.
func TestPeersAreBounded(t *testing.T) {
	meter, _ := testMeter("north")
	for number := range 3 * maximumPeers {
		meter.Learn(string(rune(number+1000)), "south")
		assert.Assert(t, len(meter.peers) <= maximumPeers)
	}
}

// TestConnectionCounts checks that a connection to another region counts both directions and
// still gives access to its descriptor, and that other connections are returned unchanged.
func TestConnectionCounts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.Copy(conn, io.LimitReader(conn, 5))
			_ = conn.Close()
		}
	}()
	plain, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer plain.Close()
	meter, sums := testMeter("north")
	assert.Equal(t, meter.Connection(plain, "north"), plain)
	assert.Equal(t, meter.Connection(plain, ""), plain)
	conn := meter.Connection(plain, "south")
	_, err = conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	_, err = conn.Write([]byte("hello"))
	assert.NilError(t, err)
	content, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "hello")
	assert.DeepEqual(t, sums, map[key]int{{Requests, Sent}: 5, {Requests, Received}: 5})
}
