package node

import (
	"sync"
	"time"
)

// muted remembers for a while which peers did not answer. Its methods may be called
// concurrently.
type muted struct {
	pause time.Duration

	mutex sync.Mutex
	until map[string]time.Time
}

func newMuted(pause time.Duration) *muted {
	return &muted{pause: pause, until: make(map[string]time.Time)}
}

func (m *muted) add(address string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.until[address] = time.Now().Add(m.pause)
}

// holds reports whether a peer did not answer just now.
func (m *muted) holds(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	until, known := m.until[address]
	if known && time.Now().After(until) {
		delete(m.until, address)
		return false
	}
	return known
}
