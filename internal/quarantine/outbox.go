package quarantine

import (
	"slices"
	"time"

	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// outbox is what a neighbor is yet to be told. It gets one report at a time: what comes meanwhile is sent
// together in the next one, so that a node makes as many calls at once as it has neighbors, however many
// runners end. Quarantine.mutex guards it.
type outbox struct {
	// marks are the requests whose marks changed; they are sent as they are then.
	marks  map[poison.Identity]bool
	struck []wire.CrashesStruck
}

// tellMarks sends marks that changed to all neighbors. mutex is held.
func (q *Quarantine) tellMarks(changed []poison.Mark) {
	q.post(func(box *outbox) {
		for _, mark := range changed {
			box.marks[mark.Request] = true
		}
	})
}

// tellStruck sends crashes that no longer count to all neighbors. mutex is held.
func (q *Quarantine) tellStruck(struck wire.CrashesStruck) {
	q.post(func(box *outbox) { box.struck = newest(append(box.struck, struck)) })
}

// post adds something to the outboxes of all neighbors, and sends those of which no report is under way. mutex
// is held.
func (q *Quarantine) post(add func(*outbox)) {
	if q.ctx.Err() != nil {
		return
	}
	neighbors, self := q.nodes.Load().neighbors, q.Self()
	for i, address := range neighbors {
		if address == self || slices.Contains(neighbors[:i], address) {
			continue
		}
		box := q.outboxes[address]
		if box == nil {
			box = &outbox{marks: make(map[poison.Identity]bool)}
			q.outboxes[address] = box
			q.calls.Go(func() { q.deliver(address, box) })
		}
		add(box)
	}
}

// deliver sends reports to a neighbor until its outbox is empty.
func (q *Quarantine) deliver(address string, box *outbox) {
	for {
		report, ok := q.take(address, box)
		if !ok {
			return
		}
		q.send(address, report)
	}
}

// take empties an outbox into a report. If there is nothing to report, it removes the outbox and returns
// false.
func (q *Quarantine) take(address string, box *outbox) (report wire.PoisonReport, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	for request := range box.marks {
		if mark, known := q.marks.Find(request); known {
			report.Marks = append(report.Marks, wireMark(mark, now))
		}
	}
	report.Struck = box.struck
	clear(box.marks)
	box.struck = nil
	if q.ctx.Err() != nil || len(report.Marks)+len(report.Struck) == 0 {
		delete(q.outboxes, address)
		return wire.PoisonReport{}, false
	}
	return report, true
}
