package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxDurations is how many of a route's latest durations are kept, minDurations how many suffice for an
	// expectation.
	maxDurations = 32
	minDurations = 4
	// expectedShare is the share of requests that take no longer than expected.
	expectedShare = 0.9
	// maxTimedRoutes bounds the routes whose durations are kept. Beyond it they are collected anew.
	maxTimedRoutes = 1024
)

// durations holds how long the latest requests of each route took from their first send to their end. The zero value
// is ready for use.
type durations struct {
	mutex  sync.Mutex
	routes map[string]*routeDurations
}

// routeDurations is a ring of the latest durations of a route.
type routeDurations struct {
	latest []time.Duration
	next   int
}

// observe records how long a request took.
func (d *durations) observe(route string, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.routes == nil || len(d.routes) >= maxTimedRoutes && d.routes[route] == nil {
		d.routes = make(map[string]*routeDurations)
	}
	known := d.routes[route]
	if known == nil {
		known = &routeDurations{}
		d.routes[route] = known
	}
	if len(known.latest) < maxDurations {
		known.latest = append(known.latest, took)
		return
	}
	known.latest[known.next] = took
	known.next = (known.next + 1) % maxDurations
}

// expect returns how long a request of a route takes at most, as a rule; zero if that is not known.
func (d *durations) expect(route string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.routes[route]
	if known == nil || len(known.latest) < minDurations {
		return 0
	}
	sorted := slices.Sorted(slices.Values(known.latest))
	return sorted[int(math.Ceil(expectedShare*float64(len(sorted))))-1]
}
