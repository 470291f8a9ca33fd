package table

import (
	"context"
	"strconv"
	"time"

	"lilacvane/internal/fault"
)

// beginningUnknown is the value of a marker whose writer could not read whether there was one.
const beginningUnknown = "unknown"

// markerValue returns the value of a marker: the time of the first transaction of its epoch on the table's clock,
// or zero if the table was empty then.
func markerValue(at time.Duration) []byte { return strconv.AppendInt(nil, at.Milliseconds(), 10) }

// beginning is what a table tells of the beginning of an epoch.
type beginning struct {
	// marker is the row of the epoch's marker, which may not exist.
	marker Row
	// empty is set if there is no marker and no other row either, so that none was lost.
	empty bool
}

// value returns the value of a marker that is written now.
func (b beginning) value() []byte {
	if b.empty {
		return markerValue(0)
	}
	return markerValue(b.marker.ReadAt)
}

// age returns how long ago the epoch began at least.
func (b beginning) age() (time.Duration, error) {
	switch {
	case b.empty:
		return SettlingPeriod, nil
	case !b.marker.Revision.Exists(), string(b.marker.Value) == beginningUnknown:
		return 0, nil
	}
	written, err := strconv.ParseInt(string(b.marker.Value), 10, 64)
	switch {
	case err != nil:
		return 0, fault.From(err, "read epoch marker")
	case written == 0:
		return SettlingPeriod, nil
	default:
		return b.marker.ReadAt - time.Duration(written)*time.Millisecond, nil
	}
}

// readBeginning reads the marker of an epoch.
func (f *Fenced) readBeginning(ctx context.Context, epoch Epoch) (beginning, error) {
	row, err := f.table.Get(ctx, marker(epoch))
	if err != nil || row.Revision.Exists() {
		return beginning{marker: row}, err
	}
	rows, err := f.table.List(ctx, "", "", 1)
	return beginning{marker: row, empty: err == nil && len(rows) == 0}, err
}

// LearnBeginning finds out when the epoch of the store began, so that a process that starts long after it does
// not wait for the settling period.
func (f *Fenced) LearnBeginning(ctx context.Context) error {
	epoch, err := f.epoch(ctx, Transaction{})
	if err != nil {
		return err
	}
	begun, err := f.readBeginning(ctx, epoch)
	if err != nil {
		return err
	}
	age, err := begun.age()
	if err != nil {
		return err
	}
	f.epochs.setSettling(epoch, age)
	return nil
}
