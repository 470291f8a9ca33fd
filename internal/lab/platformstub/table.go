// Package platformstub emulates the platform: a rate-limited transactional table
// with outages, slowness and lost answers, and a lagging machine list.
package platformstub

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// Faults are what the table suffers from now on.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMilliseconds is added to every call.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LoseAnswers carries out this many of the next transactions and drops the
	// connection instead of answering.
	LoseAnswers int `json:"loseAnswers"`
	// HoldMilliseconds carries out a transaction only after the connection was
	// dropped, for LoseAnswers transactions.
	HoldMilliseconds int `json:"holdMilliseconds"`
}

// Table is the emulated table. It is safe for concurrent use.
type Table struct {
	mutex    sync.Mutex
	rows     map[string]table.Row
	revision uint64
	faults   Faults
	limiter  *rate.Limiter
	counts   TableCounts
}

// TableCounts are the calls since the start.
type TableCounts struct {
	Gets    int `json:"gets"`
	Lists   int `json:"lists"`
	Commits int `json:"commits"`
	Limited int `json:"limited"`
}

// NewTable returns an empty table that allows a number of calls a second.
func NewTable(callsPerSecond float64) *Table {
	return &Table{rows: make(map[string]table.Row), limiter: rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond)))}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(faults Faults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// Handler is the HTTP form.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows/{key}", t.guard(t.get))
	mux.HandleFunc("GET /v1/rows", t.guard(t.list))
	mux.HandleFunc("POST /v1/transactions", t.guard(t.commit))
	mux.HandleFunc("POST /lab/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(faults)
	})
	mux.HandleFunc("GET /lab/counts", func(w http.ResponseWriter, _ *http.Request) {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(t.counts)
	})
	return mux
}

func (t *Table) guard(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.mutex.Lock()
		faults := t.faults
		t.mutex.Unlock()
		time.Sleep(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
		if faults.Down {
			fault.Write(w, fault.New(fault.CodeStoreUnavailable, "table", "the table is down"))
			return
		}
		if !t.limiter.Allow() {
			t.mutex.Lock()
			t.counts.Limited++
			t.mutex.Unlock()
			fault.Write(w, fault.New(fault.CodeRateLimited, "table", "too many calls").WithRetryAfter(time.Second))
			return
		}
		handler(w, r)
	}
}

func (t *Table) get(w http.ResponseWriter, r *http.Request) {
	t.mutex.Lock()
	t.counts.Gets++
	row, ok := t.rows[r.PathValue("key")]
	t.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	tag := `"` + strconv.FormatUint(row.Revision, 10) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(row.Value)
}

func (t *Table) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		fault.Write(w, fault.New(fault.CodeInvalid, "list rows", "limit must be a number above 0"))
		return
	}
	t.mutex.Lock()
	t.counts.Lists++
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows := make([]table.Row, 0, min(limit, len(keys)))
	for _, key := range keys[:min(limit, len(keys))] {
		rows = append(rows, t.rows[key])
	}
	t.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(rows)
}

func (t *Table) commit(w http.ResponseWriter, r *http.Request) {
	var transaction table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		fault.Write(w, fault.New(fault.CodeInvalid, "commit transaction", "%v", err))
		return
	}
	lose, hold := t.takeLoss()
	if lose && hold > 0 {
		go func() {
			time.Sleep(hold)
			t.apply(transaction)
		}()
		drop(w)
		return
	}
	committed := t.apply(transaction)
	if lose {
		drop(w)
		return
	}
	if !committed {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

func (t *Table) takeLoss() (bool, time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.faults.LoseAnswers == 0 {
		return false, 0
	}
	t.faults.LoseAnswers--
	return true, time.Duration(t.faults.HoldMilliseconds) * time.Millisecond
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func (t *Table) apply(transaction table.Transaction) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Commits++
	for _, condition := range transaction.Conditions {
		if t.rows[condition.Key].Revision != condition.Revision {
			return false
		}
	}
	t.revision++
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Revision: t.revision}
	}
	return true
}
