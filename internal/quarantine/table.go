package quarantine

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/poison"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// writeTimeout bounds a write to the table, writeRetry follows one that
	// failed: it is soon enough for a store that is back to be told within the platform's
	// bound on news.
	writeTimeout = 800 * time.Millisecond
	writeRetry   = 300 * time.Millisecond
	// sweepEvery is how often the holder looks for marks that have expired.
	sweepEvery = time.Minute
	// batch bounds the rows of one transaction: the store takes a hundred.
	batch = 100
)

// Handler takes over the table of requests that are not run.
type Handler Quarantine

// Whole takes the whole table: what it does not hold any more was lifted.
func (h *Handler) Whole(rows []feed.Row, _ time.Duration) {
	q := (*Quarantine)(h)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lifted := q.written
	q.written = make(map[poison.Identity]bool)
	for _, request := range q.takeRows(rows) {
		delete(lifted, request)
	}
	for request := range lifted {
		q.forget(request)
	}
}

// Changed takes changed rows.
func (h *Handler) Changed(rows []feed.Row) {
	q := (*Quarantine)(h)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.takeRows(rows)
}

// takeRows takes rows over and returns the requests that they name. A row that cannot be
// read names none. mutex is held.
func (q *Quarantine) takeRows(rows []feed.Row) []poison.Identity {
	var findings []poison.Finding
	var named []poison.Identity
	for _, row := range rows {
		request, err := poison.ParseIdentity(row.Key)
		if err == nil && row.Deleted {
			q.removed(request)
			continue
		}
		var record wire.PoisonRecord
		if err == nil {
			err = wire.Decode(row.Value, "store", &record)
		}
		if err != nil {
			q.Log.Error(err, "row unreadable", "step", "follow quarantine", "key", row.Key, "revision", row.Revision)
			continue
		}
		q.written[request] = true
		named = append(named, request)
		findings = append(findings, poison.Finding{Request: request, Runners: record.Runners})
	}
	if len(findings) > 0 {
		q.take(findings)
		q.find(q.merge(findings))
	}
	return named
}

// merge adds what this node knows of requests to what rows tell of them, and returns what is
// news: nodes that reach the table but not each other find together what none finds alone.
// mutex is held.
func (q *Quarantine) merge(findings []poison.Finding) []poison.Finding {
	var news []poison.Finding
	for _, finding := range findings {
		if !q.tally.Knows(finding.Request) {
			continue
		}
		before := len(finding.Runners)
		merged := q.tally.Learn(finding, time.Now())
		if len(merged.Runners) > before {
			news = append(news, merged)
		}
	}
	return news
}

// removed takes over that a row was removed. mutex is held.
func (q *Quarantine) removed(request poison.Identity) {
	if mark, known := q.marks.Find(request); known && mark.Refused() {
		q.Log.Info("request no longer refused", "content", request.Short())
	}
	delete(q.written, request)
	q.forget(request)
}

// Run writes what is found, and lets marks expire, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	defer q.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			q.sweep()
		case <-q.due:
		}
		for ctx.Err() == nil {
			again, err := q.write(ctx)
			if err != nil {
				q.Log.Info("requests that end runners not written", "error", err.Error())
				wait.For(ctx, writeRetry)
			} else if !again {
				break
			}
		}
	}
}

// sweep forgets ends that are long past. The holder lifts marks that have expired, or that
// are too many.
func (q *Quarantine) sweep() {
	q.expire()
	if !q.Holds(*q.service.Load()) {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, request := range q.marks.Spare(time.Now()) {
		q.Log.Info("mark of a request expired", "content", request.Short())
		q.lift(request)
	}
}

// expire forgets ends that are long past, so that requests need not be known any more.
func (q *Quarantine) expire() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	left := q.tally.Expire(time.Now())
	q.watches.Store(left > 0 || !q.marks.Empty())
}

// write writes what is due, and reports whether something is left. Rows are written without
// a condition: what several nodes found of a request is equally true.
func (q *Quarantine) write(ctx context.Context) (again bool, err error) {
	writes := q.takeWrites()
	if len(writes) == 0 {
		return false, nil
	}
	var transaction table.Transaction
	for request, runners := range writes {
		row := table.Write{Key: request.String(), Delete: runners == nil}
		if runners != nil {
			if row.Value, err = wire.Encode(wire.PoisonRecord{Runners: runners}); err != nil {
				return false, err
			}
		}
		transaction.Writes = append(transaction.Writes, row)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := q.Rows.Commit(ctx, transaction); err != nil {
		q.putBack(writes)
		return true, fault.From(err, "write quarantine")
	}
	return true, nil
}

func (q *Quarantine) takeWrites() map[poison.Identity][]string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	writes := make(map[poison.Identity][]string)
	for request, runners := range q.writes {
		if len(writes) == batch {
			break
		}
		writes[request] = runners
		delete(q.writes, request)
	}
	return writes
}

// putBack lets writes that failed be made again, unless newer ones are due.
func (q *Quarantine) putBack(writes map[poison.Identity][]string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for request, runners := range writes {
		if _, newer := q.writes[request]; !newer {
			q.writes[request] = runners
		}
	}
}

// List returns the requests under which runners ended.
func (q *Quarantine) List() []wire.PoisonStatus {
	requests := []wire.PoisonStatus{}
	for _, mark := range q.marks.All() {
		status := wire.PoisonStatus{Request: mark.Request.String(), State: wire.PoisonSuspected, Runners: mark.Runners}
		if mark.Refused() {
			status.State, status.RefusedMs = wire.PoisonRefused, time.Since(mark.Since).Milliseconds()
		}
		requests = append(requests, status)
	}
	return requests
}

// Lift lets a request run again.
func (q *Quarantine) Lift(ctx context.Context, request poison.Identity) error {
	const step = "lift quarantine"
	if _, known := q.marks.Find(request); !known {
		return fault.New(fault.CodeNotFound, step, "request: no runner is known to have ended under %s", request)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := q.Rows.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: request.String(), Delete: true}}}); err != nil {
		return fault.From(err, step)
	}
	q.Log.Info("request no longer refused", "content", request.Short(), "reason", "an operator lifted it")
	q.Decide("content/"+request.Short(), "lift quarantine", "an operator lifted it")
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.forget(request)
	return nil
}
