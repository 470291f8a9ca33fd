// Package permits schedules loads from a region's weight store as one resource:
// one node of the region, chosen by rendezvous hashing, hands out permits within
// the store's rate and concurrency, the most pressing load first. Permits are
// soft state. Without the scheduler each node falls back to its share.
package permits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lilacvane/internal/api"
)

const (
	// pendingFor is how long a refused asker counts as waiting.
	pendingFor = time.Second
	// heldFor is how long a permit counts when its holder is never heard of
	// again.
	heldFor    = 5 * time.Minute
	retryAfter = 200 * time.Millisecond
)

// Limits of a weight store.
type Limits struct {
	// LoadsPerSecond is the rate of new loads.
	LoadsPerSecond float64
	// Concurrency is how many loads run at full speed at once.
	Concurrency int
}

// Scheduler hands out permits. It is safe for concurrent use.
type Scheduler struct {
	mutex   sync.Mutex
	limits  Limits
	starts  *rate.Limiter
	held    map[string]time.Time
	pending map[string]asker
}

type asker struct {
	class api.Class
	at    time.Time
}

// NewScheduler returns a scheduler with no permit handed out.
func NewScheduler(limits Limits) *Scheduler {
	burst := max(1, int(limits.LoadsPerSecond))
	return &Scheduler{
		limits: limits, starts: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), burst),
		held: make(map[string]time.Time), pending: make(map[string]asker),
	}
}

// Acquire asks for a permit for a holder's load. It returns zero when the permit
// is held, else when to ask again.
func (s *Scheduler) Acquire(holder string, class api.Class, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.prune(now)
	if _, already := s.held[holder]; already {
		return 0
	}
	free := s.limits.Concurrency - len(s.held)
	if free <= s.ahead(holder, class) || !s.starts.AllowN(now, 1) {
		s.pending[holder] = asker{class: class, at: now}
		return retryAfter
	}
	delete(s.pending, holder)
	s.held[holder] = now.Add(heldFor)
	return 0
}

// ahead counts the waiting askers of more pressing classes.
func (s *Scheduler) ahead(holder string, class api.Class) int {
	count := 0
	for name, waiting := range s.pending {
		if name != holder && waiting.class < class {
			count++
		}
	}
	return count
}

func (s *Scheduler) prune(now time.Time) {
	for holder, until := range s.held {
		if now.After(until) {
			delete(s.held, holder)
		}
	}
	for holder, waiting := range s.pending {
		if now.Sub(waiting.at) > pendingFor {
			delete(s.pending, holder)
		}
	}
}

// Release gives a permit back.
func (s *Scheduler) Release(holder string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.held, holder)
	delete(s.pending, holder)
}
