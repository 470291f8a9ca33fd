package runnerstub

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lilacvane/internal/lab/journal"
)

// PathCold takes a Cold.
const PathCold = "/lab/cold"

// coldWindow is the sliding window in which requests at a cold runner are counted.
const coldWindow = time.Second

// Cold tells a runner for how many milliseconds it is cold from now on.
type Cold struct {
	Ms int64 `json:"ms"`
}

// crowd counts the requests that arrive while the runner is cold. Runner.mutex guards it.
type crowd struct {
	until    time.Time
	arrivals []time.Time
	// most is the largest number of them within a window.
	most int
}

func (r *Runner) handleCold(w http.ResponseWriter, request *http.Request) {
	var cold Cold
	if err := json.NewDecoder(request.Body).Decode(&cold); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Chill(time.Duration(cold.Ms) * time.Millisecond)
}

// Chill makes the runner cold from now on, as its row then tells.
func (r *Runner) Chill(lasting time.Duration) {
	r.mutex.Lock()
	r.crowd = crowd{until: time.Now().Add(lasting)}
	r.record(journal.Record{Event: journal.EventCold, Detail: lasting.String()})
	r.mutex.Unlock()
	r.Announce()
}

// coldFor is how much longer the runner is cold. mutex is held.
func (r *Runner) coldFor() time.Duration { return max(time.Until(r.crowd.until), 0) }

// arrive counts a request and journals each new most within a window. mutex is held.
func (r *Runner) arrive(now time.Time) {
	c := &r.crowd
	if !now.Before(c.until) {
		return
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > coldWindow {
		c.arrivals = c.arrivals[1:]
	}
	if len(c.arrivals) > c.most {
		c.most = len(c.arrivals)
		r.record(journal.Record{Event: journal.EventCrowd, Detail: strconv.Itoa(c.most)})
	}
}
