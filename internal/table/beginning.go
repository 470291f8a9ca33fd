package table

import (
	"context"
	"strconv"
	"time"

	"lilacvane/internal/fault"
)

// markerValue returns the value of a marker that is written at a time of the table's clock.
func markerValue(at time.Duration) []byte { return strconv.AppendInt(nil, at.Milliseconds(), 10) }

// LearnBeginning finds out when the epoch of the store began, by its marker, so that a process that starts
// long after it does not wait for the settling period. Without a marker nobody has written in the epoch yet;
// a table without rows has lost none.
func (f *Fenced) LearnBeginning(ctx context.Context) error {
	epoch, err := f.epoch(ctx, Transaction{})
	if err != nil {
		return err
	}
	row, err := f.table.Get(ctx, marker(epoch))
	if err != nil {
		return err
	}
	if !row.Revision.Exists() {
		rows, err := f.table.List(ctx, "", "", 1)
		if err == nil && len(rows) == 0 {
			f.epochs.setSettling(epoch, SettlingPeriod)
		}
		return err
	}
	written, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return fault.From(err, "read epoch marker")
	}
	f.epochs.setSettling(epoch, row.ReadAt-time.Duration(written)*time.Millisecond)
	return nil
}
