package table

import (
	"context"
	"strconv"
	"time"

	"lilacvane/internal/fault"
)

// markerValue returns the value of a marker that is written at a time of the table's clock.
func markerValue(at time.Duration) []byte { return strconv.AppendInt(nil, at.Milliseconds(), 10) }

// beginning is what is known of the beginning of an epoch.
type beginning struct {
	// at is when the first transaction of the epoch was prepared, on the table's clock: now if there is none yet,
	// and zero if the table had no rows then, so that none was lost.
	at, now time.Duration
	// marked is set if the marker exists.
	marked bool
}

// readBeginning reads the marker of an epoch.
func (f *Fenced) readBeginning(ctx context.Context, epoch Epoch) (beginning, error) {
	row, err := f.table.Get(ctx, marker(epoch))
	if err != nil {
		return beginning{}, err
	}
	read := beginning{at: row.ReadAt, now: row.ReadAt, marked: row.Revision.Exists()}
	if read.marked {
		written, err := strconv.ParseInt(string(row.Value), 10, 64)
		if err != nil {
			return read, fault.From(err, "read epoch marker")
		}
		read.at = time.Duration(written) * time.Millisecond
		return read, nil
	}
	rows, err := f.table.List(ctx, "", "", 1)
	if len(rows) == 0 {
		read.at = 0
	}
	return read, err
}

// LearnBeginning finds out when the epoch of the store began, so that a process that starts long after it does
// not wait for the settling period.
func (f *Fenced) LearnBeginning(ctx context.Context) error {
	epoch, err := f.epoch(ctx, Transaction{})
	if err != nil {
		return err
	}
	read, err := f.readBeginning(ctx, epoch)
	if err != nil {
		return err
	}
	since := read.now - read.at
	if read.at == 0 {
		since = SettlingPeriod
	}
	f.epochs.setSettling(epoch, since)
	return nil
}
