package node

import (
	"sync"
	"time"
)

// muted remembers for a while which peers did not answer: longer each time that they do
// not in a row, as a peer may be gone for good. Its methods may be called concurrently.
type muted struct {
	// first is the first pause, each further one twice as long up to longest.
	first   time.Duration
	longest time.Duration
	now     func() time.Time

	mutex sync.Mutex
	peers map[string]mutedPeer
}

type mutedPeer struct {
	pause time.Duration
	until time.Time
	// tried is set while one caller asks it again.
	tried bool
}

func newMuted(first, longest time.Duration, now func() time.Time) *muted {
	return &muted{first: first, longest: longest, now: now, peers: make(map[string]mutedPeer)}
}

// add notes that a peer did not answer. Questions that were under way together count once.
func (m *muted) add(address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peer := m.peers[address]
	if m.now().Before(peer.until) && !peer.tried {
		return
	}
	peer.tried = false
	peer.pause = min(max(2*peer.pause, m.first), m.longest)
	peer.until = m.now().Add(peer.pause)
	m.peers[address] = peer
}

// clear notes that a peer answered.
func (m *muted) clear(address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.peers, address)
}

// holds reports whether a peer is not to be asked now. When a pause is over, one caller
// is told so and the others wait for its answer.
func (m *muted) holds(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peer, known := m.peers[address]
	if !known {
		return false
	}
	if m.now().Before(peer.until) {
		return true
	}
	peer.until, peer.tried = m.now().Add(m.first), true
	m.peers[address] = peer
	return false
}
