package fleet

import (
	"time"

	"lilacvane/internal/place"
)

// Standing counts listed runners by their own state; each counts once.
type Standing struct {
	Ready    int
	Cold     int
	Draining int
}

// Total is how many runners there are.
func (s Standing) Total() int { return s.Ready + s.Cold + s.Draining }

// Zones counts the listed runners of each zone.
func (f *Fleet) Zones() map[place.Zone]Standing {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	zones := make(map[place.Zone]Standing)
	for _, known := range f.runners {
		if !known.present {
			continue
		}
		zone := place.Zone(known.listed.Zone)
		standing := zones[zone]
		f.stand(&standing, known)
		zones[zone] = standing
	}
	return zones
}

// stand adds a runner to a count. mutex is held.
func (f *Fleet) stand(standing *Standing, known *runner) {
	switch {
	case f.leaves(known) || f.rules.Drained(known.listed.Name(), known.listed.Zone):
		standing.Draining++
	case f.coldFor(known) > 0:
		standing.Cold++
	default:
		standing.Ready++
	}
}

// Cold returns the names of the listed runners that are cold, and for how long they still are.
func (f *Fleet) Cold() map[string]time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cold := make(map[string]time.Duration)
	for _, known := range f.runners {
		if left := f.coldFor(known); known.present && left > 0 {
			cold[known.listed.Name()] = left
		}
	}
	return cold
}

// coldFor is how much longer a runner stays cold, for what operators are shown; zero when
// it is not. mutex is held.
func (f *Fleet) coldFor(known *runner) time.Duration {
	if terms := f.terms(known); terms.Rate > 0 {
		return max(f.coldUntil(known, terms).Sub(f.now()), 0)
	}
	return 0
}
