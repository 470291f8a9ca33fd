package lease

import (
	"context"

	"lilacvane/internal/fault"
)

// releaseTries is how often a release is attempted in total when it conflicts.
const releaseTries = 3

// Release gives up the lease; this process does not act any more afterwards. A renewal
// still in flight may change the row in the meantime, so a release that conflicts is
// retried on the newest row as long as that row belongs to this process.
func (l *Elector) Release(ctx context.Context) {
	l.mutex.Lock()
	l.stopped = true
	held := l.held
	l.mutex.Unlock()
	if !held {
		return
	}
	confirmed := false
	for range releaseTries {
		record, revision, own := l.releaseRecord()
		if !own {
			break
		}
		_, _, err := l.writeRow(ctx, record, revision)
		confirmed = err == nil
		if !fault.IsCode(err, fault.CodeConflict) || l.readRow(ctx) != nil {
			break
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held = false
	l.log.Info("lease released", "token", l.latest.Token, "confirmed", confirmed)
}

// releaseRecord returns the record that releases the lease and the revision it replaces.
// own is false if another process holds the lease.
func (l *Elector) releaseRecord() (record Record, revision uint64, own bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record = l.latest
	record.Released = true
	record.Renewal++
	record.QuietMs = floorMs(min(l.sinceLastAct(), l.options.TurnGap))
	l.setGap(&record, l.actsFrom)
	return record, l.revision, l.latest.Process == l.self.Process && !l.latest.Released
}
