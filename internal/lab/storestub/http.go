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

// The lab's own calls.
const (
	PathFaults = "/lab/faults"
	PathForget = "/lab/forget"
	PathLapse  = "/lab/lapse"
	PathPut    = "/lab/rows"
	PathCounts = "/lab/counts"
)

const (
	shortestLate = time.Second
	lateSpread   = 2 * time.Second
)

// Handler answers the store's calls and the lab's.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathTransaction, s.suffer(true, s.handleTransaction))
	mux.HandleFunc("GET "+protocol.PathRows, s.suffer(false, s.handleRead))
	mux.HandleFunc("GET "+protocol.PathFeed, s.suffer(false, s.handleFeed))
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if decode(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST "+PathForget, func(http.ResponseWriter, *http.Request) { s.Forget() })
	mux.HandleFunc("POST "+PathLapse, func(w http.ResponseWriter, r *http.Request) {
		var table string
		if decode(w, r, &table) {
			s.Lapse(table)
		}
	})
	mux.HandleFunc("POST "+PathPut, func(w http.ResponseWriter, r *http.Request) {
		var rows []protocol.Row
		if decode(w, r, &rows) {
			s.Put(rows)
		}
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, s.Counts()) })
	return mux
}

// suffer brings the faults before a call.
func (s *Store) suffer(writes bool, call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		faults := s.faults
		allowed := s.take()
		if writes {
			s.counts.Writes++
		} else {
			s.counts.Reads++
		}
		s.mutex.Unlock()
		if faults.DelayMs > 0 {
			time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		}
		down := faults.down(r)
		switch {
		case down == Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case down == Many:
			w.WriteHeader(http.StatusTooManyRequests)
		case down == Reset:
			panic(http.ErrAbortHandler)
		case down == Silent:
			<-r.Context().Done()
		case !allowed:
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			call(w, r)
		}
	}
}

// down is how a caller is turned away; empty when it is not.
func (f Faults) down(r *http.Request) Down {
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
	if !decode(w, r, &t) {
		return
	}
	s.mutex.Lock()
	lost := s.random.Float64() < s.faults.LostShare
	late := !lost && s.random.Float64() < s.faults.LateShare
	delay := shortestLate + time.Duration(s.random.Int64N(int64(lateSpread)))
	s.mutex.Unlock()
	if late {
		time.AfterFunc(delay, func() { s.transact(t) })
		<-r.Context().Done()
		return
	}
	status, answer := s.transact(t)
	if lost {
		// The connection says nothing further.
		<-r.Context().Done()
		return
	}
	write(w, status, answer)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get(protocol.QueryLimit))
	write(w, http.StatusOK, s.read(query.Get(protocol.QueryTable), query.Get(protocol.QueryFrom), query.Get(protocol.QueryTo), limit))
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(protocol.QueryAfter), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get(protocol.QueryWait))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maximumWait))
	defer end.Stop()
	for {
		answer, kept, changed := s.since(query.Get(protocol.QueryTable), after)
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(answer.Rows) > 0 {
			write(w, http.StatusOK, answer)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-end.C:
			write(w, http.StatusOK, answer)
			return
		}
	}
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
