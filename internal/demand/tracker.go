// Package demand tracks what the requests at this node need: which units they wait for, and
// how much each unit is used.
package demand

import (
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// Key identifies the requests for a unit of a service that have the same homes (place.Homes).
type Key struct {
	Service string
	Unit    backend.Unit
	// Homes are the only regions in which the requests may be served.
	Homes place.Homes
}

// Waiting summarizes the requests that wait for a unit at this node.
type Waiting struct {
	Key
	// Count is the number of requests.
	Count int
	// Deadline is the earliest time by which one of them must have begun.
	Deadline time.Time
	// Priority is the most urgent priority among them.
	Priority int
}

// Usage is how much a unit was used since the last call of TakeUsage.
type Usage struct {
	Key
	// Requests is the number of requests.
	Requests int
	// Tokens is the number of prompt tokens to process.
	Tokens int
}

// Tracker collects the demand of one node. Its methods may be called concurrently.
type Tracker struct {
	mutex sync.Mutex
	// lastID is the number given to the latest waiting request; waiting holds the requests by
	// that number.
	lastID  int
	waiting map[Key]map[int]waitingRequest
	usage   map[Key]*Usage
	// urgent holds a channel for each service, signalled when requests begin to wait for one
	// of its units.
	urgent map[string]chan struct{}
}

// waitingRequest is one request that waits for a unit.
type waitingRequest struct {
	deadline time.Time
	priority int
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{waiting: make(map[Key]map[int]waitingRequest), usage: make(map[Key]*Usage), urgent: make(map[string]chan struct{})}
}

// Urgent returns the channel that is signalled when a request waits for a unit of the
// service that no request waited for before. The channel supports a single reader.
func (tr *Tracker) Urgent(service string) <-chan struct{} {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.urgentOf(service)
}

// urgentOf returns a service's channel. The caller holds mutex.
func (tr *Tracker) urgentOf(service string) chan struct{} {
	if tr.urgent[service] == nil {
		tr.urgent[service] = make(chan struct{}, 1)
	}
	return tr.urgent[service]
}

// RequestReport signals a service's channel, so that its reader reports the demand at once.
func (tr *Tracker) RequestReport(service string) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	tr.signal(service)
}

// AddWaiting records that a request waits for a unit until deadline. The returned function
// removes the request again.
func (tr *Tracker) AddWaiting(key Key, deadline time.Time, priority int) (end func()) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	tr.lastID++
	id := tr.lastID
	if tr.waiting[key] == nil {
		tr.waiting[key] = make(map[int]waitingRequest)
		tr.signal(key.Service)
	}
	tr.waiting[key][id] = waitingRequest{deadline: deadline, priority: priority}
	return func() { tr.end(key, id) }
}

// end removes a waiting request.
func (tr *Tracker) end(key Key, id int) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	delete(tr.waiting[key], id)
	if len(tr.waiting[key]) == 0 {
		delete(tr.waiting, key)
	}
}

// signal notifies a service's reader. The caller holds mutex.
func (tr *Tracker) signal(service string) {
	select {
	case tr.urgentOf(service) <- struct{}{}:
	default:
	}
}

// Use records a request for a unit and the number of tokens in its prompt.
func (tr *Tracker) Use(key Key, tokens int) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	usage := tr.usage[key]
	if usage == nil {
		usage = &Usage{Key: key}
		tr.usage[key] = usage
	}
	usage.Requests++
	usage.Tokens += tokens
}

// Waits reports whether any request waits for a unit of a service.
func (tr *Tracker) Waits(service string) bool {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	for key := range tr.waiting {
		if key.Service == service {
			return true
		}
	}
	return false
}

// Waiting returns a summary for each key that requests wait for now, in no particular order.
func (tr *Tracker) Waiting() []Waiting {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	list := make([]Waiting, 0, len(tr.waiting))
	for key, requests := range tr.waiting {
		list = append(list, summarize(key, requests))
	}
	return list
}

func summarize(key Key, requests map[int]waitingRequest) Waiting {
	summary := Waiting{Key: key, Count: len(requests)}
	first := true
	for _, w := range requests {
		if first || w.deadline.Before(summary.Deadline) {
			summary.Deadline = w.deadline
		}
		if first || w.priority < summary.Priority {
			summary.Priority = w.priority
		}
		first = false
	}
	return summary
}

// TakeUsage returns a service's usage since the last call, in no particular order.
func (tr *Tracker) TakeUsage(service string) []Usage {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	var list []Usage
	for key, usage := range tr.usage {
		if key.Service == service {
			list = append(list, *usage)
			delete(tr.usage, key)
		}
	}
	return list
}
