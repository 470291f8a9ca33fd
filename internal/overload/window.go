package overload

import (
	"slices"
	"time"

	"lilacvane/internal/place"
)

const (
	// windowSize is the number of measurements from which a median is taken. One pause of the process,
	// or one stop by a quota, does not change it much.
	windowSize = 9
	// minMeasurements is the number of measurements below which there is no median.
	minMeasurements = 3
	// windowAge is how long a measurement counts. It is longer than what a measurement takes in a
	// process that is very late.
	windowAge = 2 * time.Second
)

// window holds the newest measurements.
type window struct {
	values [windowSize]measurement
	next   int
}

// measurement is a delay measured at a time.
type measurement struct {
	at    time.Time
	delay time.Duration
}

// add adds a measurement.
func (w *window) add(now time.Time, delay time.Duration) {
	w.values[w.next%windowSize] = measurement{at: now, delay: delay}
	w.next++
}

// median returns the median of the measurements that still count, or zero if there are too few.
func (w *window) median(now time.Time) time.Duration {
	var delays []time.Duration
	for _, value := range w.values {
		if !value.at.IsZero() && now.Sub(value.at) < windowAge {
			delays = append(delays, value.delay)
		}
	}
	if len(delays) < minMeasurements {
		return 0
	}
	slices.Sort(delays)
	return delays[len(delays)/2]
}

// floorAge is the time after which the usual time to connect to a region is determined anew, as
// paths change.
const floorAge = 30 * time.Second

// floors are the shortest times in which connection attempts succeeded lately, by region.
type floors map[place.Region]*floor

// floor is the shortest time to connect to one region since a time, and in the period before that.
type floor struct {
	since             time.Time
	shortest, earlier time.Duration
}

// observe records a connection attempt and returns the shortest time to its region.
func (f floors) observe(now time.Time, region place.Region, took time.Duration) time.Duration {
	known := f[region]
	if known == nil {
		known = &floor{since: now, shortest: took, earlier: took}
		f[region] = known
	}
	if now.Sub(known.since) > floorAge {
		known.since, known.earlier, known.shortest = now, known.shortest, took
	}
	known.shortest = min(known.shortest, took)
	return min(known.shortest, known.earlier)
}
