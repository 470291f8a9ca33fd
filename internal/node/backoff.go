package node

import (
	"sync"
	"time"
)

// peerBackoff tracks peers that did not answer, so that they are skipped for a while. The pause
// doubles with each failure in a row, as a peer may be gone for good. It is safe for concurrent
// use.
type peerBackoff struct {
	// initial is the first pause; each further one is twice as long, up to maxPause.
	initial  time.Duration
	maxPause time.Duration
	now      func() time.Time

	mutex sync.Mutex
	peers map[string]peerBackoffState
}

type peerBackoffState struct {
	pause time.Duration
	until time.Time
	// probing is set while one caller tries the peer again.
	probing bool
}

func newPeerBackoff(first, longest time.Duration, now func() time.Time) *peerBackoff {
	return &peerBackoff{initial: first, maxPause: longest, now: now, peers: make(map[string]peerBackoffState)}
}

// recordFailure records that a peer did not answer. Requests that failed concurrently count once.
func (b *peerBackoff) recordFailure(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	peer := b.peers[address]
	if b.now().Before(peer.until) && !peer.probing {
		return
	}
	peer.probing = false
	peer.pause = min(max(2*peer.pause, b.initial), b.maxPause)
	peer.until = b.now().Add(peer.pause)
	b.peers[address] = peer
}

// clear records that a peer answered.
func (b *peerBackoff) clear(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.peers, address)
}

// blocked reports whether a peer must be skipped now. Once a pause is over, one caller may probe
// the peer while the others keep skipping it.
func (b *peerBackoff) blocked(address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	peer, known := b.peers[address]
	if !known {
		return false
	}
	if b.now().Before(peer.until) {
		return true
	}
	peer.until, peer.probing = b.now().Add(b.initial), true
	b.peers[address] = peer
	return false
}
