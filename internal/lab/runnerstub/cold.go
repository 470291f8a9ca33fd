package runnerstub

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/lab/journal"
)

// PathCold is the path to which a Cold is posted.
const PathCold = "/lab/cold"

// coldWindow is the length of the sliding window over which the requests at a cold runner
// are counted.
const coldWindow = time.Second

// Cold makes a runner cold from now on.
type Cold struct {
	// ForMs is how long the runner is cold, in milliseconds; zero makes it warm.
	ForMs int64 `json:"forMs"`
	// Collapse is the number of requests within coldWindow above which the runner collapses,
	// that is, refuses all further requests; zero for no limit.
	Collapse int `json:"collapse"`
}

// coldPeriod counts the requests that arrive while the runner is cold. It is guarded by
// Runner.mutex.
type coldPeriod struct {
	until    time.Time
	collapse int
	// arrivals are the times of the requests in the last window, peak is the largest number
	// of requests in any window so far.
	arrivals []time.Time
	peak     int
}

func (r *Runner) handleCold(w http.ResponseWriter, request *http.Request) {
	var cold Cold
	if err := json.NewDecoder(request.Body).Decode(&cold); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetCold(cold)
}

// SetCold makes the runner cold or warm and publishes its row, which contains that state.
func (r *Runner) SetCold(cold Cold) {
	duration := time.Duration(cold.ForMs) * time.Millisecond
	r.mutex.Lock()
	r.cold = coldPeriod{until: time.Now().Add(duration), collapse: cold.Collapse}
	r.record(journal.Record{Event: journal.EventCold, Detail: duration.String()})
	r.mutex.Unlock()
	r.Announce()
}

// remaining returns for how much longer the runner is cold, in milliseconds.
func (c *coldPeriod) remaining() float64 {
	return max(float64(time.Until(c.until))/float64(time.Millisecond), 0)
}

// countColdArrival counts a request at a cold runner, journals each new peak and makes
// the runner collapse if there are too many in a window. The caller holds r.mutex.
func (r *Runner) countColdArrival(now time.Time) {
	c := &r.cold
	if !now.Before(c.until) {
		return
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > coldWindow {
		c.arrivals = c.arrivals[1:]
	}
	if len(c.arrivals) > c.peak {
		c.peak = len(c.arrivals)
		r.record(journal.Record{Event: journal.EventColdPeak, Detail: strconv.Itoa(c.peak)})
	}
	if c.collapse > 0 && len(c.arrivals) > c.collapse {
		r.collapsed = true
		r.record(journal.Record{Event: journal.EventViolation, Detail: strconv.Itoa(len(c.arrivals)) + " requests in one second while cold"})
	}
}
