package backend

import (
	"strconv"
	"strings"
)

// Workload is what a runner tells of its load at a moment.
type Workload struct {
	// Running and Waiting are requests.
	Running int
	Waiting int
	// Slowness is how long work takes there at the moment, against the usual; 1 where the runner
	// does not tell. A runner that shares its machine changes it many times a second.
	Slowness float64
}

const (
	// usualTime is the figure of a load's text for work that takes as long as usual.
	usualTime = 100
	// longestTime bounds it: no more is believed.
	longestTime = 100 * usualTime
)

// ParseWorkload reads "running,waiting,slots" or "running,waiting,slots,time", the last being
// how long work takes in hundredths of the usual. It returns false when there is no load in
// it; a time that cannot be read counts as the usual one.
func ParseWorkload(text string) (Workload, bool) {
	fields := strings.Split(text, ",")
	if len(fields) < 2 {
		return Workload{}, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	if err != nil || running < 0 {
		return Workload{}, false
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err != nil || waiting < 0 {
		return Workload{}, false
	}
	load := Workload{Running: running, Waiting: waiting, Slowness: 1}
	if len(fields) < 4 {
		return load, true
	}
	if time, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64); err == nil && time > 0 && time <= longestTime {
		load.Slowness = time / usualTime
	}
	return load, true
}
