package dispatch

import (
	"math/rand/v2"

	"lilacvane/internal/config"
)

// splitter divides a route's requests between services exactly by weight (smooth weighted round
// robin), from a random start on each node.
type splitter struct {
	credit map[string]int
}

// pick returns the service that gets the next request. At least one weight must be above zero.
func (s *splitter) pick(backends []config.Backend) string {
	total := 0
	for _, backend := range backends {
		total += backend.Weight
	}
	if s.credit == nil {
		s.credit = make(map[string]int, len(backends))
		for _, backend := range backends {
			s.credit[backend.Service] = rand.IntN(total)
		}
	}
	best := -1
	for i, backend := range backends {
		s.credit[backend.Service] += backend.Weight
		if backend.Weight == 0 {
			continue
		}
		if best < 0 || s.credit[backend.Service] > s.credit[backends[best].Service] {
			best = i
		}
	}
	s.credit[backends[best].Service] -= total
	return backends[best].Service
}
