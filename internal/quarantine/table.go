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
	// WriteTimeout bounds a write to the table. writeRetry is the pause after a failed write. It
	// is short enough that a store that is back is updated within the platform's maximum
	// propagation delay.
	WriteTimeout = 800 * time.Millisecond
	writeRetry   = 300 * time.Millisecond
	// sweepInterval is how often the holder looks for expired marks.
	sweepInterval = time.Minute
	// batchSize bounds the rows of one transaction.
	batchSize = table.MaxEntries - table.FenceEntries
)

// rowChange is what to do with a row.
type rowChange uint8

// The changes.
const (
	putRow rowChange = iota
	deleteRow
)

// writtenRow is what a node remembers of a row in the table.
type writtenRow struct {
	// controlled is set if the row says of a part that it was controlled, see poison.Finding.
	controlled bool
}

// Handler applies the rows of the table of quarantined requests.
type Handler Quarantine

// ApplySnapshot applies the whole table. Requests that it no longer contains were lifted.
func (h *Handler) ApplySnapshot(rows []feed.Row, _ time.Duration) {
	q := (*Quarantine)(h)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lifted := q.written
	q.written = make(map[poison.Identity]writtenRow)
	for _, request := range q.applyRows(rows) {
		delete(lifted, request)
	}
	for request := range lifted {
		q.forget(request)
	}
}

// ApplyRestored applies the rows that a restored table has. Rows that it lacks are lost and not lifted;
// see repair.
func (h *Handler) ApplyRestored(rows []feed.Row) []feed.Deferred {
	q := (*Quarantine)(h)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var present []feed.Row
	for _, row := range rows {
		if !row.Deleted {
			present = append(present, row)
		} else if request, err := poison.ParseIdentity(row.Key); err == nil {
			delete(q.written, request)
		}
	}
	q.applyRows(present)
	return nil
}

// Keys returns the keys of the rows in the table.
func (h *Handler) Keys() []string {
	q := (*Quarantine)(h)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	keys := make([]string, 0, len(q.written))
	for request := range q.written {
		keys = append(keys, request.String())
	}
	return keys
}

// ApplyChanges applies changed rows.
func (h *Handler) ApplyChanges(rows []feed.Row) {
	q := (*Quarantine)(h)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.applyRows(rows)
}

// applyRows applies rows and returns the requests they contain. Unreadable rows are skipped.
// mutex is held.
func (q *Quarantine) applyRows(rows []feed.Row) []poison.Identity {
	now := time.Now()
	var findings []poison.Finding
	var requests []poison.Identity
	for _, row := range rows {
		if table.IsMarker(row.Key) {
			continue
		}
		request, err := poison.ParseIdentity(row.Key)
		if err == nil && row.Deleted {
			q.removeRow(request)
			continue
		}
		var record wire.PoisonRecord
		if err == nil {
			err = wire.Decode(row.Value, "store", &record)
		}
		if err != nil {
			q.Unreadable(row, fault.From(err, "follow quarantine"))
			continue
		}
		q.written[request] = writtenRow{controlled: record.Controlled}
		requests = append(requests, request)
		finding := poison.Finding{Request: request, Runners: record.Runners, Beside: record.Beside, Runs: parseRuns(record.Runs, now), BesideRuns: parseRuns(record.BesideRuns, now), Controlled: record.Controlled}
		findings = append(findings, finding.Adopted())
	}
	if len(findings) > 0 {
		q.dispute(findings)
		q.apply(findings, SourceTable)
		q.publish(q.merge(findings))
	}
	return requests
}

// merge combines findings from rows with what this node knows of these requests, and returns the
// findings that gained runners. Nodes that reach the table but not each other thereby detect
// together what none detects alone. mutex is held.
func (q *Quarantine) merge(findings []poison.Finding) []poison.Finding {
	var updated []poison.Finding
	for _, finding := range findings {
		if !q.tally.Contains(finding.Request) {
			continue
		}
		before := len(finding.Runners)
		merged := q.tally.Merge(finding, time.Now())
		if len(merged.Runners) > before {
			updated = append(updated, merged)
		}
	}
	return updated
}

// removeRow handles the removal of a row. mutex is held.
func (q *Quarantine) removeRow(request poison.Identity) {
	if mark, known := q.marks.Find(request); known && mark.Refused() {
		q.Log.Info("request no longer refused", "content", request.Short(), "reason", "its row was removed", "runners", mark.Runners)
	}
	delete(q.written, request)
	q.forget(request)
}

// Run writes findings to the table and lets marks expire, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	sweep, exchange := time.NewTicker(sweepInterval), time.NewTicker(exchangeInterval)
	defer sweep.Stop()
	defer exchange.Stop()
	exchanged := time.Now()
	defer q.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			q.sweep()
			continue
		case <-exchange.C:
			if time.Since(exchanged) > lateExchange {
				q.compare()
			}
			exchanged = time.Now()
			q.exchange()
			continue
		case <-q.due:
		}
		for ctx.Err() == nil {
			again, err := q.write(ctx)
			if err != nil {
				q.Log.Info("quarantine not written", "error", err.Error())
				wait.For(ctx, writeRetry)
			} else if !again {
				break
			}
		}
	}
}

// sweep removes expired crashes. The holder also lifts marks that have expired or that exceed
// their maximum number.
func (q *Quarantine) sweep() {
	q.expire()
	if !q.Holds(*q.service.Load()) {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, request := range q.marks.Evictable(time.Now()) {
		q.Log.Info("mark of a request expired", "content", request.Short())
		q.lift(request)
	}
}

// repair writes the marks that the table lacks, as the node that found them may have ended before it
// wrote them, and those whose rows don't say that they were controlled. It removes rows whose crashes no longer
// count. mutex is held.
func (q *Quarantine) repair() {
	for _, mark := range q.refused() {
		_, pending := q.pendingWrites[mark.Request]
		before, written := q.written[mark.Request]
		if !pending && (!written || before.controlled != mark.Controlled) {
			q.queue([]poison.Finding{mark.Finding})
		}
	}
	for request := range q.written {
		struck, discounted := q.tally.Struck(request)
		if _, marked := q.marks.Find(request); !marked && (len(struck) > 0 || len(discounted) > 0 && !q.tally.Contains(request)) {
			q.pendingWrites[request] = deleteRow
			q.signal()
		}
	}
}

// expire removes expired crashes, so that requests need not be identified once none are left.
func (q *Quarantine) expire() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	left := q.tally.Expire(time.Now())
	q.tracking.Store(left > 0 || !q.marks.Empty())
}

// write writes pending rows, and reports whether to call it again. Rows are written
// unconditionally: what several nodes found about a request is equally valid.
func (q *Quarantine) write(ctx context.Context) (again bool, err error) {
	writes := q.takeWrites()
	if len(writes) == 0 {
		return false, nil
	}
	rows, err := q.rows(writes)
	if err != nil || len(rows) == 0 {
		return err == nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	if _, err := q.Rows.Commit(ctx, table.Transaction{Writes: rows}); err != nil {
		q.requeue(writes)
		return true, fault.From(err, "write quarantine")
	}
	return true, nil
}

// rows returns the rows to write, by what is known now: a write may have waited for the store.
func (q *Quarantine) rows(writes map[poison.Identity]rowChange) ([]table.Write, error) {
	rows := make([]table.Write, 0, len(writes))
	for request, change := range writes {
		if change == deleteRow {
			rows = append(rows, table.Write{Key: request.String(), Delete: true})
			continue
		}
		mark, known := q.marks.Find(request)
		if !known {
			continue
		}
		value, err := wire.Encode(newRecord(mark.Finding))
		if err != nil {
			return nil, err
		}
		rows = append(rows, table.Write{Key: request.String(), Value: value})
	}
	return rows, nil
}

// takeWrites removes at most batchSize pending writes from the queue and returns them.
func (q *Quarantine) takeWrites() map[poison.Identity]rowChange {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	writes := make(map[poison.Identity]rowChange)
	for request, change := range q.pendingWrites {
		if len(writes) == batchSize {
			break
		}
		writes[request] = change
		delete(q.pendingWrites, request)
	}
	return writes
}

// requeue queues failed writes again, unless newer ones for the same request are pending.
func (q *Quarantine) requeue(writes map[poison.Identity]rowChange) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for request, change := range writes {
		if _, newer := q.pendingWrites[request]; !newer {
			q.pendingWrites[request] = change
		}
	}
}

// List returns the suspected and refused requests.
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

// Lift lets a request run again, as an operator asked for it. It returns an error with CodeNotFound
// if the request is neither suspected nor refused, or that of the write to the table.
func (q *Quarantine) Lift(ctx context.Context, request poison.Identity) error {
	const step = "lift quarantine"
	if _, known := q.marks.Find(request); !known {
		return fault.New(fault.CodeNotFound, step, "request: no runner is known to have ended under %s", request)
	}
	ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	if _, err := q.Rows.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: request.String(), Delete: true}}}); err != nil {
		return fault.From(err, step)
	}
	q.Log.Info("request no longer refused", "content", request.Short(), "reason", "an operator lifted it")
	q.RecordDecision("content/"+request.Short(), "lift quarantine", "an operator lifted it")
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.forget(request)
	return nil
}
