// Package decision keeps a bounded log of a node's decisions and their reasons, from which
// operators' questions are answered.
package decision

import (
	"sync"
	"time"

	"lilacvane/internal/wire"
)

// Log is a ring buffer of decisions. It is safe for concurrent use.
type Log struct {
	mutex sync.Mutex
	// node is the name of the node that decides.
	node    string
	entries []wire.Decision
	// next is the index of the oldest entry, which the next one replaces once the log is full.
	next int
}

// NewLog returns a log that keeps the newest decisions of a node, at most capacity of them.
func NewLog(node string, capacity int) *Log {
	return &Log{node: node, entries: make([]wire.Decision, 0, capacity)}
}

// Add records a decision and sets its time and node. The caller sets the subject, which is
// model/NAME, replica/RUNNER, zone/NAME or request/ID, and the revision of the configuration
// on which the decision was based.
func (l *Log) Add(entry wire.Decision) {
	entry.Time, entry.Node = time.Now().UTC(), l.node
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
