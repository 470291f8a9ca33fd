// Package weightstub emulates the platform's weight store: a rate of new loads,
// a number of loads that run at full speed at once, and a slow-down.
package weightstub

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const progressStep = 10 * time.Millisecond

// Limits of the store.
type Limits struct {
	LoadsPerSecond float64
	Concurrency    int
	MiBPerSecond   float64
}

// Store is the emulated store. It is safe for concurrent use.
type Store struct {
	limits Limits
	starts *rate.Limiter
	mutex  sync.Mutex
	active int
	peak   int
	loads  int
	slow   float64
}

// New returns a store.
func New(limits Limits) *Store {
	burst := max(1, int(limits.LoadsPerSecond))
	return &Store{limits: limits, starts: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), burst), slow: 1}
}

// Transfer takes as long as the store needs for a number of MiB.
func (s *Store) Transfer(ctx context.Context, mib float64) error {
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	s.change(1)
	defer s.change(-1)
	ticker := time.NewTicker(progressStep)
	defer ticker.Stop()
	last := time.Now()
	for mib > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			mib -= s.speed() * now.Sub(last).Seconds()
			last = now
		}
	}
	return nil
}

func (s *Store) change(by int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active += by
	s.peak = max(s.peak, s.active)
	if by > 0 {
		s.loads++
	}
}

func (s *Store) speed() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share := min(1, float64(s.limits.Concurrency)/float64(max(1, s.active)))
	return s.limits.MiBPerSecond * share / s.slow
}

// Slow divides the store's speed by a factor from now on.
func (s *Store) Slow(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slow = max(factor, 1)
}

// Counts are figures of the store since it started.
type Counts struct {
	Loads  int `json:"loads"`
	Peak   int `json:"peak"`
	Active int `json:"active"`
}

// Handler is the HTTP form: GET /v1/weights/NAME?mib=N answers when the transfer
// is done.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		mib, err := strconv.ParseFloat(r.URL.Query().Get("mib"), 64)
		if err != nil {
			http.Error(w, "mib must be a number", http.StatusBadRequest)
			return
		}
		if err := s.Transfer(r.Context(), mib); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /lab/slow", func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		if err != nil {
			http.Error(w, "factor must be a number", http.StatusBadRequest)
			return
		}
		s.Slow(factor)
	})
	mux.HandleFunc("GET /lab/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(Counts{Loads: s.loads, Peak: s.peak, Active: s.active})
	})
	return mux
}
