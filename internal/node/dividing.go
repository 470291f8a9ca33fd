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
	// divisionKey is the row that holds how limits are divided.
	divisionKey = "division"
	// divideInterval is how often parts are moved: a tenant that asks at other nodes than
	// before has its parts there within two of these, and goes by its lender till then.
	divideInterval = 700 * time.Millisecond
	// beginInterval is how often a node looks whether it is to divide limits: nobody knows
	// the lenders until it does.
	beginInterval = 100 * time.Millisecond
	// divideTimeout bounds a call to the store.
	divideTimeout = 800 * time.Millisecond
)

// divide answers a node's report; nil while this node does not divide.
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
		case l.soon():
			pause = beginInterval
		}
		wait.For(ctx, pause)
	}
}

// soon reports whether the next step is due soon: nothing is divided yet, or nodes that
// were all started anew may be given something to begin with.
func (l *limits) soon() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.divider == nil || l.divider.Young(time.Now())
}

// step moves parts once.
func (l *limits) step(ctx context.Context) error {
	control := l.node.controls.get(*l.service.Load())
	if control == nil || !control.lessor.Acting() {
		l.mutex.Lock()
		l.divider = nil
		l.mutex.Unlock()
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
		// Whether it was written is not known: the next step begins anew.
		l.divider = nil
		return err
	}
	l.divider.Confirmed()
	return nil
}

// begin reads the row and goes on from it once that was confirmed by a write.
func (l *limits) begin(ctx context.Context) error {
	record, readAt, err := l.read(ctx)
	if err != nil {
		return err
	}
	tolerance := tolerance(l.node.settings.Load().Limits)
	begun := limit.Begin(record)
	if err := l.write(ctx, begun); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.divider = limit.NewDivider(begun, readAt, tolerance, time.Now())
	l.log.Info("division of limits begun", "version", begun.Version, "tenants", len(begun.Tenants))
	return nil
}

// read reads the row, an empty record when there is none, and tells when that was on the
// table's clock.
func (l *limits) read(ctx context.Context) (*limit.Record, time.Duration, error) {
	row, err := l.rows.Get(ctx, divisionKey)
	if err != nil {
		return nil, 0, err
	}
	record := limit.NewRecord()
	l.revision = row.Revision
	if row.Revision == 0 {
		return record, row.ReadAt, nil
	}
	if err := wire.Decode(row.Value, "store", record); err != nil {
		return nil, 0, err
	}
	if !record.Check() {
		return nil, 0, fault.New(fault.CodeInvalid, "read division of limits", "parts add up to more than the whole")
	}
	return record, row.ReadAt, nil
}

// write writes the row on condition that nobody else did.
func (l *limits) write(ctx context.Context, record *limit.Record) error {
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
