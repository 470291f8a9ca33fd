// Package storestub emulates the platform's store: rows with versions,
// conditional transactions, a feed of changes with a bounded history, limits of
// calls, and the faults that the platform's store may suffer.
package storestub

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lilacvane/platform/protocol"
)

const (
	historyAge     = 20 * time.Second
	maximumChanges = 100
	maximumPage    = 500
	maximumWait    = 30 * time.Second
)

// Down is how the store turns calls away.
type Down string

// The ways.
const (
	// Busy answers 503, Many 429.
	Busy Down = "busy"
	Many Down = "many"
	// Reset closes the connection, Silent says nothing.
	Reset  Down = "reset"
	Silent Down = "silent"
)

// Faults are what the store suffers.
type Faults struct {
	// Down is empty or how calls are turned away.
	Down Down `json:"down,omitempty"`
	// Only are the hosts (IP) whose calls are turned away; empty for all.
	Only []string `json:"only,omitempty"`
	// DelayMs is added to each answer.
	DelayMs int `json:"delayMs,omitempty"`
	// LostShare of the writes are done and not answered; LateShare of the
	// writes are not answered and done 1 to 3 seconds later, if their
	// conditions still hold.
	LostShare float64 `json:"lostShare,omitempty"`
	LateShare float64 `json:"lateShare,omitempty"`
	// StaleMs is how far reads are behind.
	StaleMs int `json:"staleMs,omitempty"`
}

// Counts are the calls so far.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused are calls beyond the limits.
	Refused int `json:"refused"`
}

type rowKey struct {
	table string
	key   string
}

// change is one entry of the history.
type change struct {
	row protocol.Row
	at  time.Time
}

// Store is the emulated store. Its mutex guards all fields below it.
type Store struct {
	callsPerSecond float64

	mutex   sync.Mutex
	random  *rand.Rand
	version uint64
	rows    map[rowKey]protocol.Row
	history []change
	// compacted is the newest version whose change was dropped.
	compacted uint64
	// forgotten is the newest version that the feed no longer tells.
	forgotten uint64
	changed   chan struct{}
	faults    Faults
	counts    Counts
	tokens    float64
	refilled  time.Time
	began     time.Time
}

// New returns an empty store that allows a number of calls a second and draws
// its faults from a seed.
func New(callsPerSecond float64, seed uint64) *Store {
	now := time.Now()
	return &Store{
		callsPerSecond: callsPerSecond, random: rand.New(rand.NewPCG(seed, seed)), rows: make(map[rowKey]protocol.Row),
		changed: make(chan struct{}), tokens: callsPerSecond, refilled: now, began: now,
	}
}

// SetFaults changes what the store suffers.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Forget drops the history, so that all watchers must read anew, also those that
// had heard of every change. Stale reads still see what was before.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.forgotten = s.version
	s.notify()
}

// Lapse removes the rows of a table and writes them again, as the platform does
// with the runners' rows when it cannot hear them for a while.
func (s *Store) Lapse(table string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var rows []protocol.Row
	for key, row := range s.rows {
		if key.table == table {
			rows = append(rows, row)
		}
	}
	for _, row := range rows {
		s.version++
		s.write(protocol.Row{Table: row.Table, Part: row.Part, Key: row.Key, Deleted: true})
	}
	for _, row := range rows {
		s.version++
		s.write(row)
	}
	s.notify()
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Put writes rows without conditions or faults, as the operator and the runners
// do.
func (s *Store) Put(rows []protocol.Row) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	for _, row := range rows {
		s.write(row)
	}
	s.notify()
	return s.version
}

// write sets or removes a row at the newest version. mutex is held.
func (s *Store) write(row protocol.Row) {
	row.Version = s.version
	key := rowKey{row.Table, row.Key}
	if row.Deleted {
		row.Value = nil
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.history = append(s.history, change{row: row, at: time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyAge {
		s.compacted = s.history[0].row.Version
		s.history = s.history[1:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// take counts a call against the limits. mutex is held.
func (s *Store) take() bool {
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*s.callsPerSecond, s.callsPerSecond)
	s.refilled = now
	if s.tokens < 1 {
		s.counts.Refused++
		return false
	}
	s.tokens--
	return true
}

// transact carries out a transaction and returns the status of its answer.
func (s *Store) transact(t protocol.Transaction) (int, protocol.RowsAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(t.Expected)+len(t.Write)+len(t.Remove) > maximumChanges {
		return http.StatusBadRequest, protocol.RowsAnswer{}
	}
	for _, written := range t.Write {
		if written.Table == protocol.RunnerTable {
			return http.StatusForbidden, protocol.RowsAnswer{}
		}
	}
	for _, expected := range t.Expected {
		if s.rows[rowKey{expected.Table, expected.Key}].Version != expected.Version {
			return http.StatusPreconditionFailed, s.answer(s.current(t.Expected))
		}
	}
	s.version++
	for _, written := range t.Write {
		s.write(protocol.Row{Table: written.Table, Part: written.Part, Key: written.Key, Value: written.Value})
	}
	for _, removed := range t.Remove {
		s.write(protocol.Row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Deleted: true})
	}
	s.notify()
	return http.StatusOK, s.answer(nil)
}

func (s *Store) current(expected []protocol.ExpectedRow) []protocol.Row {
	var rows []protocol.Row
	for _, e := range expected {
		if row, there := s.rows[rowKey{e.Table, e.Key}]; there {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) answer(rows []protocol.Row) protocol.RowsAnswer {
	if rows == nil {
		rows = []protocol.Row{}
	}
	return protocol.RowsAnswer{Rows: rows, Version: s.version, NowMs: time.Since(s.began).Milliseconds()}
}

// read returns a page of a table, as of now or of before.
func (s *Store) read(table, from, to string, limit int) protocol.RowsAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows, version := s.asOf(time.Duration(s.faults.StaleMs) * time.Millisecond)
	var page []protocol.Row
	for key, row := range rows {
		if key.table == table && key.key >= from && (to == "" || key.key < to) {
			page = append(page, row)
		}
	}
	slices.SortFunc(page, func(a, b protocol.Row) int { return cmp.Compare(a.Key, b.Key) })
	if limit <= 0 || limit > maximumPage {
		limit = maximumPage
	}
	answer := s.answer(page[:min(limit, len(page))])
	answer.More = len(page) > limit
	answer.Version = version
	return answer
}

// asOf returns the rows as they were some time ago, as far as the history tells.
// mutex is held.
func (s *Store) asOf(behind time.Duration) (map[rowKey]protocol.Row, uint64) {
	if behind == 0 {
		return s.rows, s.version
	}
	rows := make(map[rowKey]protocol.Row)
	version := s.compacted
	first := make(map[rowKey]bool)
	for _, c := range s.history {
		key := rowKey{c.row.Table, c.row.Key}
		old := time.Since(c.at) >= behind
		if old {
			version = c.row.Version
		}
		if !first[key] || old {
			first[key] = true
			delete(rows, key)
			if old && !c.row.Deleted {
				rows[key] = c.row
			}
		}
	}
	for key, row := range s.rows {
		if !first[key] {
			rows[key] = row
		}
	}
	return rows, version
}

// since returns the changes of a table after a version, whether they are still
// kept, and a channel that is closed at the next change.
func (s *Store) since(table string, after uint64) (answer protocol.RowsAnswer, kept bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < max(s.compacted, s.forgotten) {
		return protocol.RowsAnswer{}, false, nil
	}
	var rows []protocol.Row
	for _, c := range s.history {
		if c.row.Table == table && c.row.Version > after {
			rows = append(rows, c.row)
		}
	}
	return s.answer(rows), true, s.changed
}
