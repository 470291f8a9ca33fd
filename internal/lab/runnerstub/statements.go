package runnerstub

import (
	"encoding/json"
	"net/http"

	"lilacvane/internal/lab/journal"
	"lilacvane/platform/protocol"
)

// leavingValue is the header value of a runner that is about to leave.
const leavingValue = "1"

// setStatementHeaders sets the headers in which the runner announces in every response
// that it is about to leave and its rate limit, or that it
// is brittle.
func (r *Runner) setStatementHeaders(header http.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.draining || r.faults.Leaving {
		header.Set(protocol.HeaderLeaving, leavingValue)
	}
	if r.faults.Limit != "" {
		header.Set(protocol.HeaderLimit, r.faults.Limit)
	}
	if r.faults.Brittle != "" {
		header.Set(protocol.HeaderBrittle, r.faults.Brittle)
	}
}

// setRetryAfter sets Retry-After in a refusal with 503.
func (r *Runner) setRetryAfter(header http.Header, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faults.Rest != "" && status == http.StatusServiceUnavailable {
		header.Set("Retry-After", r.faults.Rest)
	}
}

// recordArrival journals a request at a runner that is about to leave, sends Retry-After
// or announces a rate limit.
func (r *Runner) recordArrival(j *job, status int) {
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
	r.record(journal.Record{Event: journal.EventArrival, Unit: j.model, Request: j.id, Detail: string(detail)})
}

// Arrival is the detail of an EventArrival record: what the runner announces in its
// response.
type Arrival struct {
	// Status is the HTTP status of the refusal; zero if the request ran.
	Status int `json:"status"`
	// Leaving, Rest and Limit are the announcements. Born, the start time in Unix milliseconds,
	// distinguishes incarnations.
	Leaving bool   `json:"leaving"`
	Rest    string `json:"rest"`
	Limit   string `json:"limit"`
	Born    int64  `json:"born"`
}
