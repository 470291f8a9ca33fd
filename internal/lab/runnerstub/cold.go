package runnerstub

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/lab/journal"
)

// PathCold is the lab's call that makes a runner cold.
const PathCold = "/lab/cold"

// Cold makes a runner cold for a time; none makes it warm.
type Cold struct {
	ForMs int `json:"forMs"`
	// Collapse is the number of requests within one second above which it falls over.
	Collapse int `json:"collapse"`
}

// coldness is what a runner bears while it is cold. Runner.mutex guards it.
type coldness struct {
	until    time.Time
	collapse int
	// arrivals are those of the last second.
	arrivals []time.Time
}

// SetCold makes the runner cold, or warm, and says so in its row.
func (r *Runner) SetCold(cold Cold) {
	r.mutex.Lock()
	r.cold = coldness{until: time.Now().Add(time.Duration(cold.ForMs) * time.Millisecond), collapse: cold.Collapse}
	r.mutex.Unlock()
	r.Announce()
}

// left is how much longer it is cold, in milliseconds.
func (c *coldness) left() float64 {
	return max(float64(time.Until(c.until))/float64(time.Millisecond), 0)
}

// arrive counts a request and reports whether the runner bears it.
func (c *coldness) arrive(now time.Time) bool {
	if !now.Before(c.until) {
		return true
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > time.Second {
		c.arrivals = c.arrivals[1:]
	}
	return len(c.arrivals) <= c.collapse
}

// collapsed notes an arrival, and that the runner falls over when it is one too many.
// mutex is held.
func (r *Runner) collapsed() bool {
	if r.cold.arrive(time.Now()) {
		return false
	}
	r.fallen = true
	r.record(journal.Record{Event: journal.EventViolation, Detail: strconv.Itoa(len(r.cold.arrivals)) + " requests in one second while cold"})
	return true
}

func (r *Runner) handleCold(w http.ResponseWriter, request *http.Request) {
	var cold Cold
	if err := json.NewDecoder(request.Body).Decode(&cold); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetCold(cold)
}
