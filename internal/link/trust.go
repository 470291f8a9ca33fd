package link

import (
	"sync"
	"time"
)

const (
	// silenceWindow is the time in which silent connections count together. A cause that silences
	// connections without a reset, such as a NAT that lost its table, affects all at once, but each
	// is detected at its next use. Connections are not idle for longer than about 20 s.
	silenceWindow = 20 * time.Second
	// minSilentPeers is how many peers must be silent before all are distrusted. A single peer may
	// have stopped by itself.
	minSilentPeers = 2
)

// Scope is the set of peers whose idle connections must not be used again.
type Scope uint8

// The scopes.
const (
	// NoPeer is no peer: the connections were already dropped after the silent one was taken.
	NoPeer Scope = iota
	// OnePeer is the peer whose connection was silent.
	OnePeer
	// AllPeers is all peers.
	AllPeers
)

// Trust determines from silent connections whether other connections that were idle as long can be
// trusted. It is safe for concurrent use.
type Trust struct {
	now func() time.Time

	mutex sync.Mutex
	// silent maps peers to their last connection that was found silent.
	silent map[string]silence
	// dropped is when all peers were last distrusted.
	dropped time.Time
}

// silence describes a silent connection: when it was taken for use, and when it was found silent.
type silence struct {
	taken time.Time
	at    time.Time
}

// NewTrust returns a Trust without any observations.
func NewTrust(now func() time.Time) *Trust {
	return &Trust{now: now, silent: make(map[string]silence)}
}

// Silent records that a connection to the peer, taken for use at the given time, was silent. It
// returns whose idle connections to drop.
func (t *Trust) Silent(peer string, taken time.Time) Scope {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	for other, known := range t.silent {
		if now.Sub(known.at) > silenceWindow {
			delete(t.silent, other)
		}
	}
	if t.dropped.After(taken) || t.silent[peer].at.After(taken) {
		return NoPeer
	}
	t.silent[peer] = silence{taken: taken, at: now}
	if len(t.silent) < minSilentPeers {
		return OnePeer
	}
	clear(t.silent)
	t.dropped = now
	return AllPeers
}

// Suspects reports whether a connection that has been idle since the given time may be silent too,
// because a connection to another peer was found silent after that. A single silent peer may have
// stopped by itself, so only requests that must not be lost avoid such connections. Without this
// check, requests that may not be repeated were lost in 5 of 48 runs in which all connections went
// silent.
func (t *Trust) Suspects(idleSince time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.silent {
		if idleSince.Before(known.at) && t.now().Sub(known.at) <= silenceWindow {
			return true
		}
	}
	return false
}

// Answered records an answer on a connection that had been idle since the given time. If it was
// idle before a silent connection was taken and works, not all connections are silent. One that
// became idle later may have been made since and shows nothing; counting it made nodes that had
// detected one silent runner keep trusting the others.
func (t *Trust) Answered(idleSince time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for peer, known := range t.silent {
		if idleSince.Before(known.taken) {
			delete(t.silent, peer)
		}
	}
}
