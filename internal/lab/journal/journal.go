// Package journal writes what emulated engines did as JSON lines, so that tests
// can check the whole history of a run, killed processes included.
package journal

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"
)

// Event names what happened.
type Event string

// The events of an engine.
const (
	EventStart     Event = "start"
	EventLoad      Event = "load"
	EventReady     Event = "ready"
	EventGone      Event = "gone"
	EventRun       Event = "run"
	EventFinished  Event = "finished"
	EventCanceled  Event = "canceled"
	EventRefused   Event = "refused"
	EventViolation Event = "violation"
	EventRole      Event = "role"
	EventRevoked   Event = "revoked"
	// EventCold is the begin of a time in which the engine is cold, EventCrowd a new most
	// (Detail) of requests within a second of it.
	EventCold  Event = "cold"
	EventCrowd Event = "crowd"
	// EventArrival is a request that reached an engine that leaves or asks for rests; Detail is
	// what the engine answered.
	EventArrival Event = "arrival"
	// EventPoison is a request that reached the engine and ends it if it runs, EventCrash
	// the end of the engine by it.
	EventPoison Event = "poison"
	EventCrash  Event = "crash"
)

// Record is one line. MemoryMiB is the unit's memory, TotalMiB all memory in use
// on the engine after the event.
type Record struct {
	Time        time.Time `json:"time"`
	Runner      string    `json:"runner"`
	Incarnation string    `json:"incarnation"`
	Event       Event     `json:"event"`
	Unit        string    `json:"unit,omitempty"`
	Version     string    `json:"version,omitempty"`
	MemoryMiB   int64     `json:"memoryMiB,omitempty"`
	TotalMiB    int64     `json:"totalMiB,omitempty"`
	Request     string    `json:"request,omitempty"`
	Prompt      string    `json:"prompt,omitempty"`
	Tenant      string    `json:"tenant,omitempty"`
	Detail      string    `json:"detail,omitempty"`
}

// Writer appends records to a stream. It is safe for concurrent use.
type Writer struct {
	mutex  sync.Mutex
	output io.Writer
}

// NewWriter returns a writer on output; nil discards.
func NewWriter(output io.Writer) *Writer { return &Writer{output: output} }

// Write appends a record in one write, so that a killed process leaves whole
// lines.
func (w *Writer) Write(record Record) {
	if w.output == nil {
		return
	}
	record.Time = time.Now()
	content, err := json.Marshal(record)
	if err != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = w.output.Write(append(content, '\n'))
}

// Read returns the records of a file.
func Read(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var records []Record
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, scanner.Err()
}
