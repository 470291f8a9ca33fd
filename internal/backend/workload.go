package backend

import (
	"strconv"
	"strings"
)

// Workload is the load that a runner reports at one moment.
type Workload struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// Slowness is how long work currently takes there, relative to the usual time; 1 if not
	// reported. For a runner that shares its machine it changes many times a second.
	Slowness float64
}

const (
	// usualTime is the reported figure for work that takes the usual time.
	usualTime = 100
	// maxTime is the largest figure that is accepted.
	maxTime = 100 * usualTime
)

// ParseWorkload parses "running,waiting,slots" or "running,waiting,slots,time", where time is
// how long work takes in hundredths of the usual time. It returns false if the text is no
// valid load; a time that cannot be parsed counts as the usual one.
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
	if time, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64); err == nil && time > 0 && time <= maxTime {
		load.Slowness = time / usualTime
	}
	return load, true
}
