package quarantine

import (
	"sync"
	"time"

	"lilacvane/internal/poison"
)

const (
	// controlWindow is how long before a part becomes suspected a request without it may have succeeded:
	// less than runners that all ended take to serve again.
	controlWindow = 3 * time.Second
	// keptSuccesses bounds the successes that are kept of each service.
	keptSuccesses = 8
)

// success is a request that succeeded, with the names of the parts of its prompt that others share.
type success struct {
	at    time.Time
	parts []string
}

// successes are the last ones of each service. Its methods may be called concurrently.
type successes struct {
	mutex sync.Mutex
	last  map[string][]success
}

// add keeps a success.
func (s *successes) add(service string, parts []string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.last == nil {
		s.last = make(map[string][]success)
	}
	kept := append(s.last[service], success{at: now, parts: parts})
	s.last[service] = kept[max(len(kept)-keptSuccesses, 0):]
}

// control returns findings of the suspected parts without which a request succeeded within controlWindow.
func (s *successes) control(marks *poison.Marks, now time.Time) []poison.Finding {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var controlled []poison.Finding
	for service, kept := range s.last {
		for _, one := range kept {
			if now.Sub(one.at) <= controlWindow {
				controlled = append(controlled, marks.Control(service, poison.PartIdentities(service, one.parts))...)
			}
		}
	}
	return controlled
}

// Controlled records that a request of a service succeeded, by the names of the parts of its prompt that
// others share: it shows of suspected parts that it does not hold that not all requests fail. The
// neighbors are told.
func (q *Quarantine) Controlled(service string, parts []string) {
	q.successes.add(service, parts, time.Now())
	if q.Idle() {
		return
	}
	findings := q.marks.Control(service, poison.PartIdentities(service, parts))
	if len(findings) == 0 {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.apply(findings, SourceCount)
	q.queue(findings)
}
