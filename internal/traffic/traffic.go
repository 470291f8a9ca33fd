// Package traffic counts the bytes that a node exchanges with other regions, by what they
// are for. Each exchange is counted by the node that began it, both ways.
package traffic

import (
	"net"
	"sync"

	"lilacvane/internal/place"
)

// Purpose says what bytes are for.
type Purpose string

// The purposes.
const (
	// Requests are those sent to runners, and their answers.
	Requests Purpose = "requests"
	// Demand is what a node tells a lease holder, and the accounts it gets back.
	Demand Purpose = "demand"
	// Relay is what is read of the store's tables through another node.
	Relay Purpose = "relay"
	// Limits are questions to lenders of tenants' limits.
	Limits Purpose = "limits"
	// Operators are operators' questions that other nodes answer.
	Operators Purpose = "operators"
)

// Direction is the way that bytes take.
type Direction string

// The directions, as the node that began an exchange sees them.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Count takes over bytes exchanged with another region. It may be called concurrently.
type Count func(purpose Purpose, direction Direction, bytes int)

// Meter knows where peers are and counts what goes to other regions and comes from them.
// Its methods may be called concurrently.
type Meter struct {
	own   place.Region
	count Count

	mutex sync.Mutex
	// peers are the regions of the peers that told theirs, by address.
	peers map[string]place.Region
}

// NewMeter returns a meter for a node in a region; empty when that is not known, and
// nothing is counted.
func NewMeter(own place.Region, count Count) *Meter {
	return &Meter{own: own, count: count, peers: make(map[string]place.Region)}
}

// maximumPeers bounds the addresses that are remembered; beyond, they are learned anew.
const maximumPeers = 4096

// Learn notes the region of the peer at an address.
func (m *Meter) Learn(address string, region place.Region) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.peers) >= maximumPeers {
		clear(m.peers)
	}
	m.peers[address] = region
}

// Knows reports whether the peer at an address told its region.
func (m *Meter) Knows(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, known := m.peers[address]
	return known || m.own == ""
}

// Exchanged counts a call to a peer and its answer, in bytes of the messages alone.
func (m *Meter) Exchanged(address string, purpose Purpose, sent, received int) {
	m.mutex.Lock()
	region := m.peers[address]
	m.mutex.Unlock()
	if !m.far(region) {
		return
	}
	m.count(purpose, Sent, sent)
	m.count(purpose, Received, received)
}

// far reports whether a region is known to be another one.
func (m *Meter) far(region place.Region) bool { return m.own != "" && region != "" && region != m.own }

// Connection counts all bytes of a connection to a runner in a region; one that is not
// known to be another is returned as it is.
func (m *Meter) Connection(conn net.Conn, region place.Region) net.Conn {
	if !m.far(region) {
		return conn
	}
	return &counted{Conn: conn, count: m.count}
}
