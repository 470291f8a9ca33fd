package storestub

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lilacvane/platform/protocol"
)

// The paths of calls that only the lab makes.
const (
	PathFaults  = "/lab/faults"
	PathForget  = "/lab/forget"
	PathLapse   = "/lab/lapse"
	PathRestore = "/lab/restore"
	PathPut     = "/lab/rows"
	PathCounts  = "/lab/counts"
)

// Late writes are executed after minLateDelay plus a random part of lateDelayRange.
const (
	minLateDelay   = time.Second
	lateDelayRange = 2 * time.Second
)

// Handler serves the store's interface and the lab's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathTransaction, s.withFaults(true, s.handleTransaction))
	mux.HandleFunc("GET "+protocol.PathRows, s.withFaults(false, s.handleRead))
	mux.HandleFunc("GET "+protocol.PathFeed, s.withFaults(false, s.handleFeed))
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decodeJSON(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST "+PathForget, func(http.ResponseWriter, *http.Request) { s.Forget() })
	mux.HandleFunc("POST "+PathLapse, func(w http.ResponseWriter, r *http.Request) {
		var table string
		if decodeJSON(w, r, &table) {
			s.Lapse(table)
		}
	})
	mux.HandleFunc("POST "+PathRestore, func(w http.ResponseWriter, r *http.Request) {
		var restore Restore
		if decodeJSON(w, r, &restore) {
			s.Restore(restore)
		}
	})
	mux.HandleFunc("POST "+PathPut, func(w http.ResponseWriter, r *http.Request) {
		var rows []protocol.Row
		if decodeJSON(w, r, &rows) {
			s.Put(rows)
		}
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	return mux
}

// withFaults wraps the handler of a call: it counts the call, delays it and applies the
// injected rejections and the rate limit.
func (s *Store) withFaults(writes bool, call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		faults, away := s.faults, s.away
		w.Header().Set(protocol.HeaderStoreEpoch, strconv.FormatUint(s.epoch, 10))
		allowed := s.takeToken()
		if writes {
			s.counts.Writes++
		} else {
			s.counts.Reads++
		}
		s.mutex.Unlock()
		if faults.DelayMs > 0 {
			time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		}
		rejection := faults.rejection(r)
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case rejection == Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case rejection == TooManyRequests:
			w.WriteHeader(http.StatusTooManyRequests)
		case rejection == Reset:
			panic(http.ErrAbortHandler)
		case rejection == Silent:
			<-r.Context().Done()
		case !allowed:
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			call(w, r)
		}
	}
}

// rejection returns how the caller of r is rejected; empty if it is not.
func (f Faults) rejection(r *http.Request) Rejection {
	if len(f.Only) == 0 {
		return f.Down
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !slices.Contains(f.Only, host) {
		return ""
	}
	return f.Down
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t protocol.Transaction
	if !decodeJSON(w, r, &t) {
		return
	}
	s.mutex.Lock()
	unanswered := s.random.Float64() < s.faults.LostShare
	late := !unanswered && s.random.Float64() < s.faults.LateShare
	delay := minLateDelay + time.Duration(s.random.Int64N(int64(lateDelayRange)))
	s.mutex.Unlock()
	if late {
		time.AfterFunc(delay, func() { s.transact(t) })
		<-r.Context().Done()
		return
	}
	status, done := s.transact(t)
	if unanswered {
		// The caller gets no response although the write is done.
		<-r.Context().Done()
		return
	}
	writeAnswer(w, status, done)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get(protocol.QueryLimit))
	writeAnswer(w, http.StatusOK, s.read(query.Get(protocol.QueryTable), query.Get(protocol.QueryFrom), query.Get(protocol.QueryTo), limit))
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(protocol.QueryAfter), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get(protocol.QueryWait))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	left := s.left
	s.mutex.Unlock()
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maximumWait))
	defer timer.Stop()
	for {
		changes, kept, changed := s.changesSince(query.Get(protocol.QueryTable), after)
		if !kept {
			writeAnswer(w, http.StatusGone, changes)
			return
		}
		if len(changes.Rows) > 0 {
			writeAnswer(w, http.StatusOK, changes)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-left:
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-timer.C:
			writeAnswer(w, http.StatusOK, changes)
			return
		}
	}
}

func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, status int, a answer) {
	w.Header().Set(protocol.HeaderStoreEpoch, strconv.FormatUint(a.epoch, 10))
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
