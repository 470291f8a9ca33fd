// Package demand keeps what the requests of this node ask for: which units are
// waited for, and how much each is used.
package demand

import (
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/place"
)

// Key names a unit of a service, and where alone it may be served.
type Key struct {
	Service string
	Unit    backend.Unit
	// Homes are those of the requests.
	Homes place.Homes
}

// Waiting is what waits for a unit at one node.
type Waiting struct {
	Key
	Count int
	// Deadline is the earliest time by which one of them must have begun.
	Deadline time.Time
	// Priority is the most urgent priority among them.
	Priority int
}

// Usage is how often a unit was asked for since the last account.
type Usage struct {
	Key
	Requests int
	// Tokens counts prompt tokens to be read.
	Tokens int
}

// Book collects the demand of one node. Its methods may be called concurrently.
type Book struct {
	mutex   sync.Mutex
	next    int
	waiting map[Key]map[int]waiter
	usage   map[Key]*Usage
	// urgent holds a channel for each service, signalled when one of its units
	// begins to be waited for.
	urgent map[string]chan struct{}
}

type waiter struct {
	deadline time.Time
	priority int
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{waiting: make(map[Key]map[int]waiter), usage: make(map[Key]*Usage), urgent: make(map[string]chan struct{})}
}

// Urgent returns the channel that is signalled when a unit of the service that
// nobody waited for is waited for. It has one reader.
func (b *Book) Urgent(service string) <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.urgentOf(service)
}

// urgentOf returns a service's channel; mutex is held.
func (b *Book) urgentOf(service string) chan struct{} {
	if b.urgent[service] == nil {
		b.urgent[service] = make(chan struct{}, 1)
	}
	return b.urgent[service]
}

// Nudge asks a service's reader for a report at once.
func (b *Book) Nudge(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.signal(service)
}

// Wait notes that a request waits for a unit until deadline. The function
// returned ends that.
func (b *Book) Wait(key Key, deadline time.Time, priority int) (end func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.next++
	id := b.next
	if b.waiting[key] == nil {
		b.waiting[key] = make(map[int]waiter)
		b.signal(key.Service)
	}
	b.waiting[key][id] = waiter{deadline: deadline, priority: priority}
	return func() { b.end(key, id) }
}

func (b *Book) end(key Key, id int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.waiting[key], id)
	if len(b.waiting[key]) == 0 {
		delete(b.waiting, key)
	}
}

// signal tells a service's reader; mutex is held.
func (b *Book) signal(service string) {
	select {
	case b.urgentOf(service) <- struct{}{}:
	default:
	}
}

// Use notes a request for a unit and the tokens of its prompt.
func (b *Book) Use(key Key, tokens int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	usage := b.usage[key]
	if usage == nil {
		usage = &Usage{Key: key}
		b.usage[key] = usage
	}
	usage.Requests++
	usage.Tokens += tokens
}

// Waits reports whether anything waits at a service.
func (b *Book) Waits(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key := range b.waiting {
		if key.Service == service {
			return true
		}
	}
	return false
}

// Waiting returns what waits now.
func (b *Book) Waiting() []Waiting {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	list := make([]Waiting, 0, len(b.waiting))
	for key, waiters := range b.waiting {
		list = append(list, summarize(key, waiters))
	}
	return list
}

func summarize(key Key, waiters map[int]waiter) Waiting {
	summary := Waiting{Key: key, Count: len(waiters)}
	first := true
	for _, w := range waiters {
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

// TakeUsage returns a service's usage since the last call.
func (b *Book) TakeUsage(service string) []Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []Usage
	for key, usage := range b.usage {
		if key.Service == service {
			list = append(list, *usage)
			delete(b.usage, key)
		}
	}
	return list
}
