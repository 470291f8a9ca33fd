package runner

import (
	"sync"

	"golang.org/x/time/rate"
)

// LoadLimiter keeps a node's loads within its share of what the weight store
// allows: a rate of new loads and a number under way at once.
type LoadLimiter struct {
	mutex   sync.Mutex
	starts  *rate.Limiter
	maximum int
	running map[loadKey]struct{}
}

type loadKey struct {
	incarnation string
	unit        string
}

// NewLoadLimiter allows perSecond new loads a second and maximum at once.
func NewLoadLimiter(perSecond float64, maximum int) *LoadLimiter {
	burst := max(1, int(perSecond))
	return &LoadLimiter{
		starts: rate.NewLimiter(rate.Limit(perSecond), burst), maximum: maximum,
		running: make(map[loadKey]struct{}),
	}
}

func (l *LoadLimiter) acquire(incarnation, unit string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := loadKey{incarnation, unit}
	if _, already := l.running[key]; already {
		return true
	}
	if len(l.running) >= l.maximum || !l.starts.Allow() {
		return false
	}
	l.running[key] = struct{}{}
	return true
}

// retain frees the places of a runner's loads that are no longer under way.
func (l *LoadLimiter) retain(incarnation string, underWay func(unit string) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for key := range l.running {
		if key.incarnation == incarnation && !underWay(key.unit) {
			delete(l.running, key)
		}
	}
}

func (l *LoadLimiter) releaseAll(incarnation string) {
	l.retain(incarnation, func(string) bool { return false })
}

// SetShare changes the limits when the number of nodes that share the weight
// store changes.
func (l *LoadLimiter) SetShare(perSecond float64, maximum int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts.SetLimit(rate.Limit(perSecond))
	l.maximum = max(1, maximum)
}
