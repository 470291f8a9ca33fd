// Package decision keeps a bounded log of what a node decided and why, from
// which operators' questions are answered.
package decision

import (
	"sync"
	"time"

	"lilacvane/internal/wire"
)

// Log is a ring of decisions. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	node    string
	entries []wire.Decision
	next    int
}

// NewLog returns a log of the newest capacity decisions of a node.
func NewLog(node string, capacity int) *Log {
	return &Log{node: node, entries: make([]wire.Decision, 0, capacity)}
}

// Add records a decision about a subject: model/NAME, replica/RUNNER, zone/NAME or
// request/ID. Revision is the configuration it was based on.
func (l *Log) Add(subject, step, reason string, revision uint64) {
	entry := wire.Decision{Time: time.Now().UTC(), Node: l.node, Subject: subject, Step: step, Reason: reason, Revision: revision}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.entries) < cap(l.entries) {
		l.entries = append(l.entries, entry)
		return
	}
	l.entries[l.next] = entry
	l.next = (l.next + 1) % len(l.entries)
}

// Find returns up to limit decisions about a subject, newest first.
func (l *Log) Find(subject string, limit int) []wire.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []wire.Decision
	for offset := len(l.entries) - 1; offset >= 0 && len(found) < limit; offset-- {
		entry := l.entries[(l.next+offset)%len(l.entries)]
		if entry.Subject == subject {
			found = append(found, entry)
		}
	}
	return found
}
