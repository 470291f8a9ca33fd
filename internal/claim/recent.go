package claim

import (
	"sync"
	"time"
)

const (
	// recentPeriod is how long a node remembers claims. Copies of the store are some seconds old.
	recentPeriod = time.Minute
	// maxRecent is how many it remembers at most.
	maxRecent = 16_384
)

// row is a claim as it was written.
type row struct {
	key   string
	value []byte
}

// recentRow is a row with the time of its claim.
type recentRow struct {
	row
	at time.Time
}

// recent holds the newest claims that a node made or was told of, in the order in which it learned of them. It
// is safe for concurrent use.
type recent struct {
	mu   sync.Mutex
	rows []recentRow
	// keys are the keys of rows.
	keys map[string]struct{}
}

// add adds a claim that was made at a time, unless one of its key is known.
func (r *recent) add(claimed row, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.keys[claimed.key]; known {
		return
	}
	if r.keys == nil {
		r.keys = make(map[string]struct{})
	}
	r.rows = append(r.rows, recentRow{row: claimed, at: at})
	r.keys[claimed.key] = struct{}{}
	r.expire(time.Now())
}

// expire drops the first claims that are old or too many. The caller holds mu.
func (r *recent) expire(now time.Time) {
	dropped := max(len(r.rows)-maxRecent, 0)
	for dropped < len(r.rows) && now.Sub(r.rows[dropped].at) > recentPeriod {
		dropped++
	}
	for _, old := range r.rows[:dropped] {
		delete(r.keys, old.key)
	}
	r.rows = r.rows[dropped:]
}

// newestFirst returns the claims: the first ones are least likely in a copy of the store.
func (r *recent) newestFirst(now time.Time) []recentRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	rows := make([]recentRow, 0, len(r.rows))
	for i := len(r.rows) - 1; i >= 0; i-- {
		rows = append(rows, r.rows[i])
	}
	return rows
}

// forget drops the claim of a key.
func (r *recent) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, claimed := range r.rows {
		if claimed.key == key {
			r.rows = append(r.rows[:i:i], r.rows[i+1:]...)
			delete(r.keys, key)
			return
		}
	}
}
