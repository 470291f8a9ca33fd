package runnerstub

import (
	"encoding/json"
	"net/http"

	"lilacvane/internal/lab/journal"
	"lilacvane/platform/protocol"
)

// leaves is what a runner says of itself that leaves.
const leaves = "1"

// state writes what the runner states in all its answers.
func (r *Runner) state(header http.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.draining || r.faults.Leaving {
		header.Set(protocol.HeaderLeaving, leaves)
	}
	if r.faults.Limit != "" {
		header.Set(protocol.HeaderLimit, r.faults.Limit)
	}
}

// wantRest asks in a refusal for a time without requests.
func (r *Runner) wantRest(header http.Header, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faults.Rest != "" && status == http.StatusServiceUnavailable {
		header.Set("Retry-After", r.faults.Rest)
	}
}

// noteArrival journals a request at a runner that leaves, asks for rests or names a limit.
func (r *Runner) noteArrival(this *run, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	leaving := r.draining || r.faults.Leaving
	if !leaving && r.faults.Rest == "" && r.faults.Limit == "" {
		return
	}
	detail, err := json.Marshal(Arrival{Status: status, Leaving: leaving, Rest: r.faults.Rest, Limit: r.faults.Limit, Born: r.settings.Born})
	if err != nil {
		return
	}
	r.record(journal.Record{Event: journal.EventArrival, Unit: this.model, Request: this.id, Detail: string(detail)})
}

// Arrival is the detail of a journaled request at a runner that states something of itself.
type Arrival struct {
	// Status is that by which it was turned away; zero where it ran.
	Status int `json:"status"`
	// Leaving, Rest and Limit are what the answer states, Born tells incarnations apart.
	Leaving bool   `json:"leaving"`
	Rest    string `json:"rest"`
	Limit   string `json:"limit"`
	Born    int64  `json:"born"`
}
