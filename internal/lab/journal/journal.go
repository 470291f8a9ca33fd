// Package journal records the events of emulated runners as JSON lines, so that tests
// can check the whole history of a run, including that of killed processes.
package journal

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"
)

// Event is the kind of a record.
type Event string

// The events of a runner.
const (
	EventStart Event = "start"
	// EventLoad is the start of the load of a model or adapter, EventReady its end, and
	// EventUnloaded the time at which the unit's memory is free again.
	EventLoad     Event = "load"
	EventReady    Event = "ready"
	EventUnloaded Event = "gone"
	// EventRun is the start of a request, EventFinished its normal end, and EventCanceled any
	// other end.
	EventRun      Event = "run"
	EventFinished Event = "finished"
	EventCanceled Event = "canceled"
	// EventRefused is an order whose expected sequence number was not the current one.
	EventRefused Event = "refused"
	// EventViolation is an order or a request that exceeds a limit of the runner, which then
	// refuses all further requests.
	EventViolation Event = "violation"
	EventDraining  Event = "role"
	EventRevoked   Event = "revoked"
	// EventCold is the start of a period in which the runner is cold, EventColdPeak a new
	// maximum (in Detail) of requests within one second of it.
	EventCold     Event = "cold"
	EventColdPeak Event = "crowd"
	// EventArrival is a request that reached a runner that is draining, sends Retry-After or
	// announces a rate limit; Detail is a JSON object with the status and these statements.
	EventArrival Event = "arrival"
	// EventPoison is a request that reached the runner and would crash it when run;
	// EventCrash is the crash that a request or a load caused.
	EventPoison Event = "poison"
	EventCrash  Event = "crash"
	// EventFall is the end of a brittle runner that rejected too many requests within a second.
	EventFall Event = "fall"
)

// DetailBrokeOff is the detail of EventCanceled if the runner itself broke the answer off.
const DetailBrokeOff = "broke off"

// Record is one line of a journal. MemoryMiB is the memory of Unit, TotalMiB all memory
// in use on the runner after the event.
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

// Writer appends records to an output stream. It is safe for concurrent use.
type Writer struct {
	mutex  sync.Mutex
	output io.Writer
}

// NewWriter returns a Writer to output, which discards all records if output is nil.
func NewWriter(output io.Writer) *Writer { return &Writer{output: output} }

// Write sets the record's time and appends it in a single write call, so that a killed
// process leaves complete lines.
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

// Read returns the records of the journal file at path. A last line that is still being written is left
// out.
func Read(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var records []Record
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, err
		}
		var record Record
		if err := json.Unmarshal(line, &record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
}
