package lease

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// releaseTries is how often a release is attempted in total when it conflicts.
const releaseTries = 3

// Release gives up the lease; this process does not act any more afterwards.
func (l *Elector) Release(ctx context.Context) {
	l.mutex.Lock()
	l.stopped = true
	l.mutex.Unlock()
	l.giveUp(ctx)
}

// HandOver gives up the lease to another node, as this one is unfit to act under it. This process
// competes for it again later.
func (l *Elector) HandOver(ctx context.Context) {
	l.mutex.Lock()
	l.handingOver = true
	l.mutex.Unlock()
	l.giveUp(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.handingOver = false
}

// giveUp writes that the lease is free. A renewal still in flight may change the row in the
// meantime, so a write that conflicts is retried on the newest row as long as that row belongs to
// this process.
func (l *Elector) giveUp(ctx context.Context) {
	if !l.Holds() {
		return
	}
	confirmed := false
	for range releaseTries {
		record, revision, own := l.releaseRecord()
		if !own {
			break
		}
		written, _, err := l.writeRow(ctx, record, revision)
		confirmed = err == nil
		if confirmed {
			l.recordReleased(record, written)
		}
		if !fault.IsCode(err, fault.CodeConflict) || l.readRow(ctx) != nil {
			break
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held = false
	l.log.Info("lease released", "token", l.latest.Token, "confirmed", confirmed)
}

// recordReleased records the row with which this process gave the lease up.
func (l *Elector) recordReleased(record Record, revision table.Revision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if revision > l.revision {
		l.latest, l.revision, l.seenAt, l.restoredAt = record, revision, l.options.Now(), time.Time{}
	}
}

// releaseRecord returns the record that releases the lease and the revision it replaces.
// own is false if another process holds the lease.
func (l *Elector) releaseRecord() (record Record, revision table.Revision, own bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.awaitLostHolders()
	record = l.latest
	record.Epoch = l.revision.Epoch()
	record.Released = true
	record.Renewal++
	record.QuietMs = floorMs(min(l.sinceLastAct(), l.options.TurnGap))
	l.setGap(&record, l.actsFrom)
	return record, l.revision, l.latest.Process == l.self.Process && !l.latest.Released
}
