// Package storestub emulates the platform's store: versioned rows, conditional
// transactions, a change feed with a bounded history, a rate limit, and the faults that
// the platform's store may have.
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

// Rejection is a way in which the store rejects calls; see Faults.Down.
type Rejection string

// The kinds of rejection.
const (
	// Busy responds with 503 (Service Unavailable), TooManyRequests with 429.
	Busy            Rejection = "busy"
	TooManyRequests Rejection = "many"
	// Reset closes the connection, Silent never responds.
	Reset  Rejection = "reset"
	Silent Rejection = "silent"
)

// Faults are the faults injected into the store.
type Faults struct {
	// Down is how calls are rejected; empty for not at all.
	Down Rejection `json:"down,omitempty"`
	// Only are the IP addresses whose calls are rejected; empty for all.
	Only []string `json:"only,omitempty"`
	// DelayMs delays each call.
	DelayMs int `json:"delayMs,omitempty"`
	// LostShare of the writes are executed but get no response. LateShare of the others get no
	// response and are executed 1 to 3 seconds later, if their conditions still hold.
	LostShare float64 `json:"lostShare,omitempty"`
	LateShare float64 `json:"lateShare,omitempty"`
	// StaleMs is the age of the state that reads return; the feed is not affected.
	StaleMs int `json:"staleMs,omitempty"`
}

// Counts are the numbers of calls so far.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused are the calls above the rate limit.
	Refused int `json:"refused"`
}

type rowKey struct {
	table string
	key   string
}

// change is an entry of the history.
type change struct {
	row protocol.Row
	at  time.Time
}

// Store is the emulated store. Its mutex guards the fields below it.
type Store struct {
	callsPerSecond float64

	mutex   sync.Mutex
	random  *rand.Rand
	version uint64
	rows    map[rowKey]protocol.Row
	history []change
	// compacted is the newest version whose change was dropped from the history.
	compacted uint64
	// forgotten is the newest version that the feed no longer serves although the history
	// may still have it.
	forgotten uint64
	changed   chan struct{}
	// epoch counts the restores; see restore.go. away is set while one is under way, and left is
	// closed when it begins. written are the rows that operators and runners wrote last, whether or
	// not the store still has them; deleted rows included.
	epoch     uint64
	away      bool
	left      chan struct{}
	written   map[rowKey]protocol.Row
	faults    Faults
	counts    Counts
	tokens    float64
	refilled  time.Time
	startedAt time.Time
}

// New returns an empty store that allows callsPerSecond, with a burst of as many calls,
// and selects the calls that faults affect by random numbers from seed.
func New(callsPerSecond float64, seed uint64) *Store {
	now := time.Now()
	return &Store{
		callsPerSecond: callsPerSecond, random: rand.New(rand.NewPCG(seed, seed)), rows: make(map[rowKey]protocol.Row),
		left: make(chan struct{}), written: make(map[rowKey]protocol.Row),
		changed: make(chan struct{}), tokens: callsPerSecond, refilled: now, startedAt: now,
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Forget drops the history of the feed, so that all watchers must read their tables again,
// also those that had received every change. Stale reads still return older rows.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.forgotten = s.version
	s.notify()
}

// Lapse removes the rows of a table and writes them again, as the platform does with the
// runners' rows when it receives nothing from the runners for a while.
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
		s.writeRow(protocol.Row{Table: row.Table, Part: row.Part, Key: row.Key, Deleted: true})
	}
	for _, row := range rows {
		s.version++
		s.writeRow(row)
	}
	s.notify()
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Put writes rows without conditions or faults and returns the new version. It stands for
// the writes of operators and runners. It waits while the store is away.
func (s *Store) Put(rows []protocol.Row) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.awaitReturn()
	s.version++
	for _, row := range rows {
		s.writeRow(row)
		s.written[rowKey{row.Table, row.Key}] = row
	}
	s.notify()
	return s.version
}

// writeRow sets or removes a row at the current version and drops expired entries of the
// history. The caller holds s.mutex.
func (s *Store) writeRow(row protocol.Row) {
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

// takeToken takes a token from the bucket of the rate limit and returns whether there was
// one. The caller holds s.mutex.
func (s *Store) takeToken() bool {
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

// transact executes a transaction and returns the HTTP status and the body of its
// response.
func (s *Store) transact(t protocol.Transaction) (int, answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(t.Expected)+len(t.Write)+len(t.Remove) > maximumChanges {
		return http.StatusBadRequest, s.newAnswer(nil)
	}
	for _, written := range t.Write {
		if written.Table == protocol.RunnerTable {
			return http.StatusForbidden, s.newAnswer(nil)
		}
	}
	for _, expected := range t.Expected {
		if s.rows[rowKey{expected.Table, expected.Key}].Version != expected.Version {
			return http.StatusPreconditionFailed, s.newAnswer(s.currentRows(t.Expected))
		}
	}
	s.version++
	for _, written := range t.Write {
		s.writeRow(protocol.Row{Table: written.Table, Part: written.Part, Key: written.Key, Value: written.Value})
	}
	for _, removed := range t.Remove {
		s.writeRow(protocol.Row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Deleted: true})
	}
	s.notify()
	return http.StatusOK, s.newAnswer(nil)
}

func (s *Store) currentRows(expected []protocol.ExpectedRow) []protocol.Row {
	var rows []protocol.Row
	for _, e := range expected {
		if row, exists := s.rows[rowKey{e.Table, e.Key}]; exists {
			rows = append(rows, row)
		}
	}
	return rows
}

// answer is the body of an answer and the epoch that it is of.
type answer struct {
	protocol.RowsAnswer
	epoch uint64
}

func (s *Store) newAnswer(rows []protocol.Row) answer {
	if rows == nil {
		rows = []protocol.Row{}
	}
	return answer{RowsAnswer: protocol.RowsAnswer{Rows: rows, Version: s.version, NowMs: time.Since(s.startedAt).Milliseconds()}, epoch: s.epoch}
}

// read returns a page of a table, as of now or of StaleMs ago.
func (s *Store) read(table, from, to string, limit int) answer {
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
	read := s.newAnswer(page[:min(limit, len(page))])
	read.More = len(page) > limit
	read.Version = version
	return read
}

// asOf returns the rows and the version of some time ago, as far as the history reaches
// back. The caller holds s.mutex.
func (s *Store) asOf(staleness time.Duration) (map[rowKey]protocol.Row, uint64) {
	if staleness == 0 {
		return s.rows, s.version
	}
	rows := make(map[rowKey]protocol.Row)
	version := s.compacted
	seen := make(map[rowKey]bool)
	for _, c := range s.history {
		key := rowKey{c.row.Table, c.row.Key}
		visible := time.Since(c.at) >= staleness
		if visible {
			version = c.row.Version
		}
		if !seen[key] || visible {
			seen[key] = true
			delete(rows, key)
			if visible && !c.row.Deleted {
				rows[key] = c.row
			}
		}
	}
	for key, row := range s.rows {
		if !seen[key] {
			rows[key] = row
		}
	}
	return rows, version
}

// changesSince returns the changes of a table after a version, whether the history still
// has them, and a channel that is closed at the next change.
func (s *Store) changesSince(table string, after uint64) (changes answer, kept bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < max(s.compacted, s.forgotten) || after > s.version {
		return s.newAnswer(nil), false, nil
	}
	var rows []protocol.Row
	for _, c := range s.history {
		if c.row.Table == table && c.row.Version > after {
			rows = append(rows, c.row)
		}
	}
	return s.newAnswer(rows), true, s.changed
}
