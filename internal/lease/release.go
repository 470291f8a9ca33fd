package lease

import (
	"context"

	"lilacvane/internal/fault"
)

// releaseTries bounds how often a release is written anew after a conflict.
const releaseTries = 3

// Release gives the lease back: this process acts no more from here on. A renewal
// that was on its way may change the row meanwhile, so a release that conflicts is
// written again over the newest row, as long as that is this process's.
func (l *Lessor) Release(ctx context.Context) {
	l.mutex.Lock()
	l.stopped = true
	held := l.held
	l.mutex.Unlock()
	if !held {
		return
	}
	confirmed := false
	for range releaseTries {
		record, revision, own := l.released()
		if !own {
			break
		}
		_, _, err := l.put(ctx, record, revision)
		confirmed = err == nil
		if !fault.IsCode(err, fault.CodeConflict) || l.look(ctx) != nil {
			break
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held = false
	l.log.Info("lease released", "token", l.seen.Token, "confirmed", confirmed)
}

// released returns the record that gives the lease back and the revision that it
// replaces; own is false when another process holds the lease.
func (l *Lessor) released() (record Record, revision uint64, own bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record = l.seen
	record.Released = true
	record.Renewal++
	record.QuietMs = wholeMs(min(l.quiet(), l.options.TurnGap))
	l.settle(&record, l.actsFrom)
	return record, l.revision, l.seen.Process == l.self.Process && !l.seen.Released
}
