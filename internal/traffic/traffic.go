// Package traffic counts the bytes that a node exchanges with other regions, by purpose. Each
// exchange is counted, in both directions, by the node that started it.
package traffic

import (
	"net"
	"sync"

	"lilacvane/internal/place"
)

// Purpose is what bytes are exchanged for.
type Purpose string

// The purposes.
const (
	// Requests are requests sent to runners, with their answers.
	Requests Purpose = "requests"
	// Demand is what a node reports to a lease holder, with the views it gets back.
	Demand Purpose = "demand"
	// Relay is reads of the store's tables through another node.
	Relay Purpose = "relay"
	// Limits are queries to the nodes that lend shares of tenants' limits.
	Limits Purpose = "limits"
	// Operators are queries by operators that other nodes answer.
	Operators Purpose = "operators"
)

// Direction is the direction of a transfer.
type Direction string

// The directions, as seen by the node that started the exchange.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Count is called with bytes exchanged with another region. It may be called concurrently.
type Count func(purpose Purpose, direction Direction, bytes int)

// Meter tracks the regions of peers and counts the bytes exchanged with other regions. Its
// methods may be called concurrently.
type Meter struct {
	own   place.Region
	count Count

	mutex sync.Mutex
	// peers holds the regions of the peers that reported theirs, by address.
	peers map[string]place.Region
}

// NewMeter returns a meter for a node in region own. If that is empty, not known, nothing is
// counted.
func NewMeter(own place.Region, count Count) *Meter {
	return &Meter{own: own, count: count, peers: make(map[string]place.Region)}
}

// maximumPeers bounds the addresses that are stored; beyond it all are dropped and learned
// again.
const maximumPeers = 4096

// Learn stores the region of the peer at an address.
func (m *Meter) Learn(address string, region place.Region) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.peers) >= maximumPeers {
		clear(m.peers)
	}
	m.peers[address] = region
}

// Knows reports whether the region of the peer at an address is known, or not needed as this
// node has no region.
func (m *Meter) Knows(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, known := m.peers[address]
	return known || m.own == ""
}

// Exchanged counts a call to a peer and its answer; bytes are those of the messages alone.
func (m *Meter) Exchanged(address string, purpose Purpose, sent, received int) {
	m.mutex.Lock()
	region := m.peers[address]
	m.mutex.Unlock()
	if !m.isRemote(region) {
		return
	}
	m.count(purpose, Sent, sent)
	m.count(purpose, Received, received)
}

// isRemote reports whether a region is known to be another one.
func (m *Meter) isRemote(region place.Region) bool {
	return m.own != "" && region != "" && region != m.own
}

// Connection returns a connection that counts all bytes exchanged with a runner in a region.
// If that is not known to be another region, conn is returned unchanged.
func (m *Meter) Connection(conn net.Conn, region place.Region) net.Conn {
	if !m.isRemote(region) {
		return conn
	}
	return &countedConn{Conn: conn, count: m.count}
}

// PeerConnection returns a connection that counts all bytes exchanged over it with the peer at
// an address. If the peer is not known to be in another region, conn is returned unchanged; a
// nil Meter counts nothing.
func (m *Meter) PeerConnection(address string, conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	m.mutex.Lock()
	region := m.peers[address]
	m.mutex.Unlock()
	return m.Connection(conn, region)
}
