package fleet

import (
	"time"

	"lilacvane/internal/place"
)

// StateCounts counts listed runners by state; each counts once.
type StateCounts struct {
	Ready    int
	Cold     int
	Draining int
}

// Total is the number of runners.
func (s StateCounts) Total() int { return s.Ready + s.Cold + s.Draining }

// Zones returns the listed runners of each zone, counted by state.
func (f *Fleet) Zones() map[place.Zone]StateCounts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	zones := make(map[place.Zone]StateCounts)
	for _, known := range f.runners {
		if !known.present {
			continue
		}
		zone := place.Zone(known.listed.Zone)
		counts := zones[zone]
		f.addState(&counts, known)
		zones[zone] = counts
	}
	return zones
}

// addState counts a runner under its state. mutex must be held.
func (f *Fleet) addState(counts *StateCounts, known *runner) {
	switch {
	case f.isDraining(known) || f.rules.Drained(known.listed.Name(), known.listed.Zone):
		counts.Draining++
	case f.coldRemaining(known) > 0:
		counts.Cold++
	default:
		counts.Ready++
	}
}

// Cold returns the names of the listed runners that are cold, and for how much longer.
func (f *Fleet) Cold() map[string]time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cold := make(map[string]time.Duration)
	for _, known := range f.runners {
		if left := f.coldRemaining(known); known.present && left > 0 {
			cold[known.listed.Name()] = left
		}
	}
	return cold
}

// coldRemaining is how much longer a runner stays cold, as shown to operators; zero if it is
// not cold. mutex must be held.
func (f *Fleet) coldRemaining(known *runner) time.Duration {
	if terms := f.terms(known); terms.Rate > 0 {
		return max(f.coldUntil(known, terms).Sub(f.now()), 0)
	}
	return 0
}
