package node

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// divisionKey is the row that stores how limits are divided between nodes.
	divisionKey = "division"
	// divideInterval is how often shares are moved. A tenant whose traffic moves to other nodes has
	// its shares there within two intervals; until then, lenders spend for those nodes.
	divideInterval = 700 * time.Millisecond
	// beginInterval is how often a node checks whether it must divide limits. Until a node does,
	// the lenders are unknown.
	beginInterval = 100 * time.Millisecond
	// divideTimeout bounds a call to the store.
	divideTimeout = 800 * time.Millisecond
)

// divide answers a node's report. It returns nil if this node does not divide limits.
func (l *limits) divide(report limit.Report) *limit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.divider == nil {
		return nil
	}
	grant := l.divider.Report(report, time.Now())
	return &grant
}

// run divides limits whenever this node holds the lease, until ctx ends.
func (l *limits) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := divideInterval
		err := l.step(ctx)
		switch {
		case err != nil:
			l.log.Info("limits not divided anew", "error", err.Error())
		case l.starting():
			pause = beginInterval
		}
		wait.For(ctx, pause)
	}
}

// starting reports whether the next step is due after beginInterval: nothing is divided yet, or
// nodes that were all restarted may be given initial shares.
func (l *limits) starting() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.divider == nil || l.divider.InStartup(time.Now())
}

// step moves shares once.
func (l *limits) step(ctx context.Context) error {
	control := l.node.controls.get(*l.service.Load())
	if control == nil || !control.elector.Acting() {
		l.mutex.Lock()
		l.divider = nil
		l.mutex.Unlock()
		l.confirmed, l.lostSince = nil, time.Time{}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, divideTimeout)
	defer cancel()
	if l.divider == nil {
		return l.begin(ctx)
	}
	l.mutex.Lock()
	next := l.divider.Next(limitedTenants(l.node.configuration.Load()), time.Now())
	l.mutex.Unlock()
	if next == nil {
		return nil
	}
	err := l.write(ctx, next)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		// It is unknown whether the row was written, so the next step starts over.
		l.divider = nil
		return err
	}
	l.divider.Confirmed()
	l.confirmed = next
	return nil
}

// begin reads the stored division, and continues from it once a write has shown that no other node
// has changed it since.
func (l *limits) begin(ctx context.Context) error {
	record, readAt, err := l.read(ctx)
	if err != nil {
		return err
	}
	record, ok := l.resume(record, readAt)
	if !ok {
		return nil
	}
	tolerance := tolerance(l.node.settings.Load().Limits)
	begun := limit.Begin(record)
	if err := l.write(ctx, begun); err != nil {
		return err
	}
	l.confirmed, l.lostSince = begun, time.Time{}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.divider = limit.NewDivider(begun, readAt, tolerance, time.Now())
	l.log.Info("division of limits begun", "version", begun.Version, "tenants", len(begun.Tenants))
	return nil
}

// resume returns the record from which this node continues. ok is false while parts of lost records may
// be in force.
func (l *limits) resume(read *limit.Record, readAt time.Duration) (record *limit.Record, ok bool) {
	epoch := l.revision.Epoch()
	if read.IsLost(epoch) && l.lostSince.IsZero() {
		l.lostSince = time.Now()
		l.log.Info("division of limits restored", "version", read.Version, "epoch", read.Epoch, "storeEpoch", epoch, "continues", l.confirmed != nil)
	}
	return limit.Resume(read, l.confirmed, epoch, time.Since(l.lostSince), readAt)
}

// read returns the row, or an empty record if there is none, and the time of the read on the
// table's clock.
func (l *limits) read(ctx context.Context) (*limit.Record, time.Duration, error) {
	row, err := l.rows.Get(ctx, divisionKey)
	if err != nil {
		return nil, 0, err
	}
	record := limit.NewRecord()
	l.revision = row.Revision
	if !row.Revision.Exists() {
		if changed := l.node.platform.Epochs.ChangedAt(); time.Since(changed) < limit.LostRecordLifetime {
			// The copy may be from before the first record.
			record.Epoch = max(row.Revision.Epoch(), 1) - 1
		}
		return record, row.ReadAt, nil
	}
	err = wire.Decode(row.Value, "store", record)
	if err == nil && !record.Check() {
		err = fault.New(fault.CodeInvalid, "read division of limits", "parts add up to more than the whole")
	}
	if err != nil {
		l.node.platform.Unreadable.Report(table.UnreadableRow{Table: "limits", Key: divisionKey, Revision: row.Revision, Err: err})
		return limit.NewUnreadable(row.Revision), row.ReadAt, nil
	}
	return record, row.ReadAt, nil
}

// write writes the row on condition that no other node has written it since.
func (l *limits) write(ctx context.Context, record *limit.Record) error {
	record.Epoch = l.revision.Epoch()
	content, err := wire.Encode(record)
	if err != nil {
		return err
	}
	l.revision, err = l.rows.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: divisionKey, Revision: l.revision}},
		Writes:     []table.Write{{Key: divisionKey, Value: content}},
	})
	return err
}
