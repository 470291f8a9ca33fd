package fleet

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

const (
	// assumedWay is how much longer an answer from another region takes until a runner
	// there was asked: two round trips, one for a new connection, over some hundred
	// kilometres of fibre and the machines between.
	assumedWay = 40 * time.Millisecond
	// wayRise moves the time of a region by each answer that took longer: a loss or a
	// busy machine makes a few answers slow, a longer way all of them.
	wayRise = 0.02
)

// ways are how long runners of the regions take to answer a question, the least lately.
// Fleet.mutex guards them but for own, which does not change.
type ways struct {
	// own is this node's region; empty when it is not known, and all runners are near.
	own   place.Region
	least map[place.Region]time.Duration
}

// near reports whether a runner lies in this node's region, or nothing else is known.
func (w *ways) near(runner *backend.Runner) bool {
	return w.own == "" || runner.Region == "" || place.Region(runner.Region) == w.own
}

// beyond is how much longer an answer from a runner takes than one from a near runner.
func (w *ways) beyond(runner *backend.Runner) time.Duration {
	if w.near(runner) {
		return 0
	}
	least, known := w.least[place.Region(runner.Region)]
	if !known {
		return assumedWay
	}
	return max(least-w.least[w.own], 0)
}

// note follows the least time that answers from a region took lately.
func (w *ways) note(region place.Region, took time.Duration) {
	if w.least == nil {
		w.least = make(map[place.Region]time.Duration)
	}
	least, known := w.least[region]
	if !known || took < least {
		w.least[region] = took
		return
	}
	w.least[region] = least + time.Duration(wayRise*float64(took-least))
}

// Answered notes how long a runner took to tell its load.
func (f *Fleet) Answered(id string, took time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[id]; known != nil && known.listed.Region != "" {
		f.ways.note(place.Region(known.listed.Region), took)
	}
}

// Beyond is how much longer than near ones the farthest of some runners takes to answer.
func (f *Fleet) Beyond(runners []backend.Runner) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	longest := time.Duration(0)
	for i := range runners {
		longest = max(longest, f.ways.beyond(&runners[i]))
	}
	return longest
}

// costOfWay is the cost in milliseconds of sending a request to where a runner lies.
func (f *Fleet) costOfWay(runner *backend.Runner) float64 {
	switch {
	case !f.ways.near(runner):
		return costOtherZone + milliseconds(f.ways.beyond(runner))
	case runner.Zone != f.zone:
		return costOtherZone
	default:
		return 0
	}
}
