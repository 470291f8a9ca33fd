// Package feed follows a table of the platform: it reads the whole table, then its
// changes, and applies no data older than the newest revision that it has seen.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
)

// Row is one row of a followed table.
type Row struct {
	Key      string
	Value    []byte
	Revision table.Revision
	// Deleted is set in changes that remove the row.
	Deleted bool
}

// Batch is a whole table, or its changes, up to Revision. Revisions come from one counter for all
// tables.
type Batch struct {
	Rows     []Row
	Revision table.Revision
	// Age is the time since the store provided the data; zero if the store itself answered.
	Age time.Duration
}

// Source reads one table.
type Source interface {
	// Read returns all rows as of one revision, which may be older than revisions seen before.
	Read(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision as soon as there are any, and an empty batch after
	// wait. It fails with fault.CodeCompacted if the changes are no longer kept.
	Watch(ctx context.Context, after table.Revision, wait time.Duration) (Batch, error)
}

// Handler processes the data of a followed table.
type Handler interface {
	// ApplySnapshot processes all rows. gap is the time since the source last answered; zero for
	// the first read.
	ApplySnapshot(rows []Row, gap time.Duration)
	// ApplyChanges processes changed rows in the order of their changes. Each key occurs once, with
	// its state at the end of the batch.
	ApplyChanges(rows []Row)
	// ApplyRestored processes rows that differ, or may differ, after the store returned with an older
	// copy. They may go back, and those that the copy lacks are Deleted, until operators and runners
	// have written them again. It returns those that it does not apply yet. What has not changed when
	// its time is over is passed to ApplyChanges then.
	ApplyRestored(rows []Row) (deferred []Deferred)
	// Keys returns the keys of the applied rows that a restored table may lack.
	Keys() []string
}

// Options configures a Follower.
type Options struct {
	// Name is the name of the table in logs.
	Name string
	// Wait is how long one watch call waits for a change.
	Wait time.Duration
	// Interval is the minimum time between two watch calls, so that changes are batched.
	Interval time.Duration
	// Pace returns the minimum of Wait, and of Interval if that is set. It grows with the number of
	// nodes that call the same source. A nil Pace is zero.
	Pace func() time.Duration
	// RetrySignal returns a channel that is closed once the source may answer again, which ends the
	// backoff after an error. It is nil for a source without such a signal.
	RetrySignal func() <-chan struct{}
	// Timeout is how long a call may take beyond its wait.
	Timeout time.Duration
	// ReadTimeout bounds a read of the whole table if it is longer than Timeout.
	ReadTimeout time.Duration
}

// The pause after an error doubles from minBackoff to maxBackoff; up to half of it is random.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Follower follows one table.
type Follower struct {
	source  Source
	handler Handler
	options Options
	log     logr.Logger

	// newestRevision is the newest revision seen; older data is not applied.
	newestRevision table.Revision
	// position is the revision up to which snapshot and changes were applied. It is valid if
	// hasSnapshot is set; otherwise the whole table is read next.
	position    table.Revision
	hasSnapshot bool
	// mutex guards the fields up to cancelCall. lastResponse is when the source last answered, and
	// asOf when the store provided that answer. applied is the revision up to which the handler has
	// processed changes, and delivering that of the newest rows passed to it. reread is set when
	// the table is to be read anew. cancelCall cancels the current watch call.
	mutex        sync.Mutex
	lastResponse time.Time
	asOf         time.Time
	applied      table.Revision
	delivering   table.Revision
	reread       bool
	cancelCall   context.CancelFunc
	settling     settling
	// sourceLost is set while calls fail, backoff is the current pause after an error.
	sourceLost bool
	backoff    time.Duration
}

// NewFollower returns a follower. Run starts it.
func NewFollower(source Source, handler Handler, options Options, log logr.Logger) *Follower {
	return &Follower{source: source, handler: handler, options: options, log: log.WithValues("table", options.Name)}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started, retry := time.Now(), f.retrySignal()
		f.settle()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.consumeReread() {
			f.hasSnapshot = false
			continue
		}
		f.logSourceState(err)
		if err != nil {
			f.backOff(ctx, retry, time.Since(started))
			continue
		}
		if pause := f.interval() - time.Since(started); pause > 0 {
			wait.For(ctx, pause)
		}
	}
}

func (f *Follower) retrySignal() <-chan struct{} {
	if f.options.RetrySignal == nil {
		return nil
	}
	return f.options.RetrySignal()
}

// backOff pauses after an error, or until retry is closed, but at least for minBackoff. The call that
// failed counts towards the pause.
func (f *Follower) backOff(ctx context.Context, retry <-chan struct{}, took time.Duration) {
	pause := max(f.nextBackoff()-took, minBackoff)
	wait.For(ctx, minBackoff)
	if pause <= minBackoff {
		return
	}
	timer := time.NewTimer(pause - minBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-retry:
	}
}

// wait returns how long a watch call currently waits for a change: no longer than the settling period.
func (f *Follower) wait() time.Duration {
	return f.settling.limit(max(f.options.Wait, f.pace()))
}

// interval returns the current minimum time between two watch calls.
func (f *Follower) interval() time.Duration {
	if f.options.Interval == 0 {
		return 0
	}
	return max(f.options.Interval, f.pace())
}

func (f *Follower) pace() time.Duration {
	if f.options.Pace == nil {
		return 0
	}
	return f.options.Pace()
}

// step reads the whole table or waits for its next changes, and passes them to the handler.
func (f *Follower) step(ctx context.Context) error {
	if !f.hasSnapshot {
		return f.read(ctx)
	}
	return f.watch(ctx)
}

// Reread causes the table to be read anew, at once.
func (f *Follower) Reread() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reread = true
	if f.cancelCall != nil {
		f.cancelCall()
	}
}

// consumeReread reports whether the table is to be read anew, and resets the request.
func (f *Follower) consumeReread() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	reread := f.reread
	f.reread = false
	return reread
}

// watchContext returns a context for a watch call, which ends at the timeout of the call or on
// Reread.
func (f *Follower) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, f.wait()+f.options.Timeout)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancelCall = cancel
	if f.reread {
		cancel()
	}
	return ctx, cancel
}

func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, max(f.options.Timeout, f.options.ReadTimeout))
	defer cancel()
	batch, err := f.source.Read(ctx)
	if err != nil {
		return err
	}
	if batch.Revision < f.newestRevision {
		return fault.New(fault.CodeStale, "read table", "revision %v is older than %v", batch.Revision, f.newestRevision)
	}
	gap := time.Duration(0)
	if last := f.LastResponse(); !last.IsZero() {
		gap = time.Since(last)
	}
	f.log.Info("table read", "revision", batch.Revision, "rows", len(batch.Rows), "gapMs", gap.Milliseconds())
	f.setDelivering(batch.Revision)
	if f.isRestored(batch) || f.settling.active() {
		f.applyRestored(f.withMissing(batch))
	} else {
		f.handler.ApplySnapshot(batch.Rows, gap)
	}
	f.hasSnapshot = true
	f.advance(batch)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := f.watchContext(ctx)
	defer cancel()
	batch, err := f.source.Watch(ctx, f.position, f.wait())
	if fault.IsCode(err, fault.CodeCompacted) {
		f.log.Info("history gone, reading the table anew", "after", f.position)
		f.hasSnapshot = false
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Revision < f.position {
		return fault.New(fault.CodeStale, "watch table", "revision %v is older than %v", batch.Revision, f.position)
	}
	rows := latestPerKey(batch.Rows)
	switch {
	case f.isRestored(batch):
		f.setDelivering(batch.Revision)
		f.applyRestored(rows)
	case len(rows) > 0:
		f.setDelivering(batch.Revision)
		f.settling.forget(rows)
		f.handler.ApplyChanges(rows)
	}
	f.advance(batch)
	return nil
}

// latestPerKey keeps the last change of each key. A key that was removed and written again, as the
// keys of all runners are after a store outage, must not count as removed in a handler that
// processes removals last.
func latestPerKey(rows []Row) []Row {
	last := make(map[string]int, len(rows))
	for i, row := range rows {
		last[row.Key] = i
	}
	kept := make([]Row, 0, len(last))
	for i, row := range rows {
		if last[row.Key] == i {
			kept = append(kept, row)
		}
	}
	return kept
}

func (f *Follower) advance(batch Batch) {
	f.position = batch.Revision
	f.newestRevision = max(f.newestRevision, batch.Revision)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastResponse = time.Now()
	f.asOf = f.lastResponse.Add(-batch.Age)
	f.applied = batch.Revision
}

// setDelivering records the revision of rows that are about to be passed to the handler.
func (f *Follower) setDelivering(revision table.Revision) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delivering = revision
}

// AppliedRevision returns the revision up to which the handler has processed all changes.
func (f *Follower) AppliedRevision() table.Revision {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.applied
}

// DeliveringRevision returns a revision up to which all changes have been passed to the handler.
// The handler may still be processing them.
func (f *Follower) DeliveringRevision() table.Revision {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.delivering
}

// LastResponse returns when the source last answered. The handler has processed that answer.
func (f *Follower) LastResponse() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastResponse
}

// AsOf returns when the store provided the newest answer, as far as the source knows. The handler
// has processed all changes acknowledged before that time. It is the zero time until the table has
// been read.
func (f *Follower) AsOf() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asOf
}

// Read reports whether the table has been read.
func (f *Follower) Read() bool { return !f.LastResponse().IsZero() }

// logSourceState logs the loss and the recovery of the source once each.
func (f *Follower) logSourceState(err error) {
	if err == nil {
		if f.sourceLost {
			f.log.Info("dependency regained", "position", f.position)
		}
		f.sourceLost = false
		f.backoff = 0
		return
	}
	if !f.sourceLost {
		f.log.Info("dependency lost", "position", f.position, "error", err.Error())
	}
	f.sourceLost = true
}

// nextBackoff returns the pause after another error.
func (f *Follower) nextBackoff() time.Duration {
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	return f.backoff/2 + rand.N(f.backoff/2)
}
