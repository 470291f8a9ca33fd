package runnerstub

import (
	"net/http"
	"strconv"

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
}

// wantRest asks in a refusal for a time without requests.
func (r *Runner) wantRest(header http.Header, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faults.Rest != "" && status == http.StatusServiceUnavailable {
		header.Set("Retry-After", r.faults.Rest)
	}
}

// noteArrival journals a request at a runner that leaves or asks for rests.
func (r *Runner) noteArrival(this *run, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.draining || r.faults.Leaving || r.faults.Rest != "" {
		r.record(journal.Record{Event: journal.EventArrival, Unit: this.model, Request: this.id, Detail: strconv.Itoa(status)})
	}
}
