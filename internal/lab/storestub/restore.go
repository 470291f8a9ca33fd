package storestub

import (
	"time"

	"lilacvane/platform/protocol"
)

// Restore is a return of the store with an older copy of its content.
type Restore struct {
	// AgeMs is the age of the copy. It is as old as the history reaches back at most.
	AgeMs int `json:"ageMs"`
	// AwayMs is how long the store is away before it returns. If Abrupt is set, calls that wait for
	// changes are not ended by that.
	AwayMs int  `json:"awayMs"`
	Abrupt bool `json:"abrupt"`
	// RewriteMs is how long after the return operators and runners write again what the copy lacks;
	// below zero if they do not.
	RewriteMs int `json:"rewriteMs"`
}

// awayPollInterval is how often a write that waits for the store's return looks for it.
const awayPollInterval = 5 * time.Millisecond

// Restore goes away, returns with the copy as a new epoch, and makes operators and runners write
// again. It returns once the store has returned.
func (s *Store) Restore(r Restore) {
	s.mutex.Lock()
	s.awaitReturn()
	s.away = true
	if !r.Abrupt {
		close(s.left)
		s.left = make(chan struct{})
	}
	s.mutex.Unlock()
	time.Sleep(milliseconds(r.AwayMs))
	s.mutex.Lock()
	s.loadCopy(milliseconds(r.AgeMs + r.AwayMs))
	s.away = false
	s.notify()
	s.mutex.Unlock()
	if r.RewriteMs >= 0 {
		time.AfterFunc(milliseconds(r.RewriteMs), s.rewrite)
	}
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// awaitReturn waits until the store is not away. The caller holds s.mutex, which is released
// meanwhile.
func (s *Store) awaitReturn() {
	for s.away {
		s.mutex.Unlock()
		time.Sleep(awayPollInterval)
		s.mutex.Lock()
	}
}

// loadCopy replaces the content by that of some time ago. The caller holds s.mutex.
func (s *Store) loadCopy(age time.Duration) {
	s.rows, s.version = s.asOf(age)
	for len(s.history) > 0 && s.history[len(s.history)-1].row.Version > s.version {
		s.history = s.history[:len(s.history)-1]
	}
	s.forgotten = min(s.forgotten, s.version)
	s.epoch++
}

// rewrite writes the rows of operators and runners that the store lacks or has in another state.
func (s *Store) rewrite() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.awaitReturn()
	for key, row := range s.written {
		current, exists := s.rows[key]
		if exists == !row.Deleted && string(current.Value) == string(row.Value) {
			continue
		}
		s.version++
		s.writeRow(row)
	}
	s.notify()
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) map[string]protocol.Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := make(map[string]protocol.Row)
	for key, row := range s.rows {
		if key.table == table {
			rows[key.key] = row
		}
	}
	return rows
}
