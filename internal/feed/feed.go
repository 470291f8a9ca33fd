// Package feed follows a table of the platform: it reads the table whole, then
// its changes, and never steps back behind the newest revision it has seen.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/wait"
)

// Row is one row of a followed table.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	// Deleted is set in changes that remove the row.
	Deleted bool
}

// Batch is the whole of a table, or its changes, up to Revision. Revisions are
// drawn from one counter for all tables.
type Batch struct {
	Rows     []Row
	Revision uint64
	// Age is how long ago the store told it; zero where the store itself answered.
	Age time.Duration
}

// Source reads one table.
type Source interface {
	// Read returns all rows as of one revision, which may be older than others
	// that were seen.
	Read(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision as soon as there are any, and
	// an empty batch after wait. It fails with fault.CodeCompacted when the
	// changes are no longer kept.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Handler takes what was read.
type Handler interface {
	// Whole takes all rows. gap is how long nothing was heard before; zero for
	// the first read.
	Whole(rows []Row, gap time.Duration)
	// Changed takes changed rows in the order of their changes, each key once, as
	// it is at the end of the batch.
	Changed(rows []Row)
}

// Options tune a follower.
type Options struct {
	// Name names the table in logs.
	Name string
	// Wait is how long one watch call waits for a change.
	Wait time.Duration
	// Interval is the least time between two watch calls, so that changes are
	// gathered.
	Interval time.Duration
	// Pace returns what Wait, and Interval where there is one, are at least: the more nodes
	// ask the same source, the longer. Not set for nothing.
	Pace func() time.Duration
	// Woken returns a channel that is closed once the source may answer again, which ends the
	// pause after an error. Not set for a source that does not tell.
	Woken func() <-chan struct{}
	// Timeout is how long a call may take beyond its wait.
	Timeout time.Duration
	// ReadTimeout is the same of a read of the whole table, where that takes longer.
	ReadTimeout time.Duration
}

const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
)

// Follower follows one table.
type Follower struct {
	source  Source
	handler Handler
	options Options
	log     logr.Logger

	// newest is the newest revision seen; nothing older is taken over.
	newest uint64
	// position is the revision up to which changes were taken over, if the
	// table was read whole.
	position uint64
	whole    bool
	// mutex guards the fields up to stop. heard is when the source last answered, told when the
	// store had told that, taken the revision up to which the handler has taken changes, taking that of the newest rows
	// that it was given. reread is set when the table is to be read anew; stop ends the
	// call that is under way.
	mutex   sync.Mutex
	heard   time.Time
	told    time.Time
	taken   uint64
	taking  uint64
	reread  bool
	stop    context.CancelFunc
	lost    bool
	backoff time.Duration
}

// NewFollower returns a follower. Run starts it.
func NewFollower(source Source, handler Handler, options Options, log logr.Logger) *Follower {
	return &Follower{source: source, handler: handler, options: options, log: log.WithValues("table", options.Name)}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started, woken := time.Now(), f.woken()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.takeReread() {
			f.whole = false
			continue
		}
		f.note(err)
		if err != nil {
			f.backOff(ctx, woken)
			continue
		}
		if pause := f.interval() - time.Since(started); pause > 0 {
			wait.For(ctx, pause)
		}
	}
}

func (f *Follower) woken() <-chan struct{} {
	if f.options.Woken == nil {
		return nil
	}
	return f.options.Woken()
}

// backOff pauses after an error, at least for firstBackoff, until woken is closed.
func (f *Follower) backOff(ctx context.Context, woken <-chan struct{}) {
	pause := f.nextBackoff()
	wait.For(ctx, min(pause, firstBackoff))
	timer := time.NewTimer(pause - min(pause, firstBackoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-woken:
	}
}

// wait is how long a watch call waits for a change now.
func (f *Follower) wait() time.Duration { return max(f.options.Wait, f.pace()) }

// interval is the least time between two watch calls now.
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

func (f *Follower) step(ctx context.Context) error {
	if !f.whole {
		return f.read(ctx)
	}
	return f.watch(ctx)
}

// Reread lets the table be read anew, at once.
func (f *Follower) Reread() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reread = true
	if f.stop != nil {
		f.stop()
	}
}

// takeReread reports whether the table is to be read anew, once.
func (f *Follower) takeReread() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	reread := f.reread
	f.reread = false
	return reread
}

// watching bounds a call that Reread ends.
func (f *Follower) watching(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, f.wait()+f.options.Timeout)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stop = cancel
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
	if batch.Revision < f.newest {
		return fault.New(fault.CodeStale, "read table", "revision %d is older than %d", batch.Revision, f.newest)
	}
	gap := time.Duration(0)
	if heard := f.Heard(); !heard.IsZero() {
		gap = time.Since(heard)
	}
	f.log.Info("table read", "revision", batch.Revision, "rows", len(batch.Rows), "gapMs", gap.Milliseconds())
	f.take(batch.Revision)
	f.handler.Whole(batch.Rows, gap)
	f.whole = true
	f.advance(batch)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := f.watching(ctx)
	defer cancel()
	batch, err := f.source.Watch(ctx, f.position, f.wait())
	if fault.IsCode(err, fault.CodeCompacted) {
		f.log.Info("history gone, reading the table anew", "after", f.position)
		f.whole = false
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Revision < f.position {
		return fault.New(fault.CodeStale, "watch table", "revision %d is older than %d", batch.Revision, f.position)
	}
	if len(batch.Rows) > 0 {
		f.take(batch.Revision)
		f.handler.Changed(newest(batch.Rows))
	}
	f.advance(batch)
	return nil
}

// newest keeps the last change of each key. A key that was removed and written
// again, as all runners' are after an outage of the store, must not be taken for
// removed by a handler that looks at removals last.
func newest(rows []Row) []Row {
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
	f.newest = max(f.newest, batch.Revision)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heard = time.Now()
	f.told = f.heard.Add(-batch.Age)
	f.taken = batch.Revision
}

// take notes the revision of rows that are about to be handed over.
func (f *Follower) take(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.taking = revision
}

// Taken returns the revision up to which the handler has taken all changes.
func (f *Follower) Taken() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.taken
}

// Taking returns a revision up to which no change was handed over after it: the handler may
// still be taking those before.
func (f *Follower) Taking() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.taking
}

// Heard returns when the source last answered. The handler has taken that
// answer.
func (f *Follower) Heard() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.heard
}

// Told returns when the store told the newest answer, as far as the source knows: the handler has
// taken all that was acknowledged before. It is the zero time as long as the table was not read.
func (f *Follower) Told() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.told
}

// Read reports whether the table was read.
func (f *Follower) Read() bool { return !f.Heard().IsZero() }

// note logs the loss and the return of the source once each.
func (f *Follower) note(err error) {
	if err == nil {
		if f.lost {
			f.log.Info("dependency regained", "position", f.position)
		}
		f.lost = false
		f.backoff = 0
		return
	}
	if !f.lost {
		f.log.Info("dependency lost", "position", f.position, "error", err.Error())
	}
	f.lost = true
}

func (f *Follower) nextBackoff() time.Duration {
	f.backoff = min(max(2*f.backoff, firstBackoff), lastBackoff)
	return f.backoff/2 + rand.N(f.backoff/2)
}
