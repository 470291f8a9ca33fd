package fleet

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

const (
	// assumedExtraLatency is how much longer an answer from another region is assumed to take
	// until a runner there was asked: two round trips, one of them for a new connection, over
	// some hundred kilometres of fibre and network equipment.
	assumedExtraLatency = 40 * time.Millisecond
	// latencyRiseWeight is the weight of each slower answer in the latency of a region. Packet
	// loss or a busy machine makes a few answers slow; a longer network path makes all of them
	// slow.
	latencyRiseWeight = 0.02
)

// regionLatencies tracks the lowest recent time in which runners of each region answer a
// question. Fleet.mutex guards all fields but local, which does not change.
type regionLatencies struct {
	// local is this node's region; if it is empty, not known, all runners count as local.
	local  place.Region
	lowest map[place.Region]time.Duration
}

// isLocal reports whether a runner is in this node's region, or whether one of the regions is
// not known.
func (l *regionLatencies) isLocal(runner *backend.Runner) bool {
	return l.local == "" || runner.Region == "" || place.Region(runner.Region) == l.local
}

// extra is how much longer an answer from a runner takes than one from a local runner.
func (l *regionLatencies) extra(runner *backend.Runner) time.Duration {
	if l.isLocal(runner) {
		return 0
	}
	lowest, ok := l.lowest[place.Region(runner.Region)]
	if !ok {
		return assumedExtraLatency
	}
	return max(lowest-l.lowest[l.local], 0)
}

// observe updates the lowest recent latency of a region.
func (l *regionLatencies) observe(region place.Region, took time.Duration) {
	if l.lowest == nil {
		l.lowest = make(map[place.Region]time.Duration)
	}
	lowest, ok := l.lowest[region]
	if !ok || took < lowest {
		l.lowest[region] = took
		return
	}
	l.lowest[region] = lowest + time.Duration(latencyRiseWeight*float64(took-lowest))
}

// ObserveLatency records how long a runner took to answer a question for its load.
func (f *Fleet) ObserveLatency(id string, took time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[id]; known != nil && known.listed.Region != "" {
		f.latencies.observe(place.Region(known.listed.Region), took)
	}
}

// ExtraLatency returns how much longer than local runners the farthest of the given runners
// takes to answer.
func (f *Fleet) ExtraLatency(runners []backend.Runner) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	longest := time.Duration(0)
	for i := range runners {
		longest = max(longest, f.latencies.extra(&runners[i]))
	}
	return longest
}

// locationCost is the cost in milliseconds of sending a request to the zone and region of a
// runner.
func (f *Fleet) locationCost(runner *backend.Runner) float64 {
	switch {
	case !f.latencies.isLocal(runner):
		return costOtherZone + milliseconds(f.latencies.extra(runner))
	case runner.Zone != f.zone:
		return costOtherZone
	default:
		return 0
	}
}
