package table

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilacvane/internal/fault"
)

const (
	// MaxEntries is the maximum number of conditions and writes of a transaction.
	MaxEntries = 100
	// FenceEntries is how many of them a Fenced table adds.
	FenceEntries = 1 + markedEpochs
	// markedEpochs is the number of epochs, including the current one, whose markers are written. A
	// write of an older epoch, which would have to be late by several restores, is not fenced.
	markedEpochs = 4
	// markerTimeout bounds reading a marker, so that a slow store leaves time for the transaction itself.
	markerTimeout = 200 * time.Millisecond
	// markerPrefix is the prefix of the keys of markers; the number of the epoch follows.
	markerPrefix = "epoch/"
)

// IsMarker reports whether a key is that of the marker of an epoch.
func IsMarker(key string) bool { return strings.HasPrefix(key, markerPrefix) }

func marker(epoch Epoch) string { return markerPrefix + strconv.FormatUint(uint64(epoch), 10) }

// Fenced is a table whose transactions take effect only in the epoch in which they were prepared. In a
// later epoch the store assigns the same numbers to other rows, so conditions alone do not protect them.
//
// The first transaction of an epoch writes a marker row for it, with the time, and each transaction requires that the
// marker of the next epoch is absent. A late transaction can thus take effect in a later epoch only
// before any other one does, while the rows are still those of the copy, which its conditions name.
type Fenced struct {
	table  Table
	epochs *Epochs

	mu sync.Mutex
	// marked is the epoch whose marker this process has written or found.
	marked Epoch
}

// NewFenced returns a fenced table. epochs observes the answers of t.
func NewFenced(t Table, epochs *Epochs) *Fenced { return &Fenced{table: t, epochs: epochs} }

// Get reads one row.
func (f *Fenced) Get(ctx context.Context, key string) (Row, error) { return f.table.Get(ctx, key) }

// List reads rows.
func (f *Fenced) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return f.table.List(ctx, prefix, after, limit)
}

// Commit applies a transaction in the current epoch. It fails with fault.CodeConflict if a condition
// names a revision of an earlier one. If the transaction took effect in a later epoch, its outcome is
// unknown: a row that it did not require to be unchanged may be another than the one it was prepared for.
func (f *Fenced) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	for {
		epoch, err := f.epoch(ctx, transaction)
		if err != nil {
			return 0, err
		}
		revision, err := f.table.Commit(ctx, f.fence(ctx, transaction, epoch))
		ended := f.epochs.Newest() > epoch
		switch {
		case err == nil && !ended:
			f.setMarked(epoch)
			return revision, nil
		case err == nil:
			return 0, &fault.Error{Code: fault.CodeStoreUnavailable, Step: "commit", Peer: fault.Self, Ran: fault.Unknown, Message: "the store's epoch has ended"}
		case ended && fault.IsCode(err, fault.CodeConflict) && len(transaction.Conditions) == 0:
			// Only the fence conflicts.
		default:
			return 0, err
		}
	}
}

// epoch returns the epoch of a transaction, and asks the store if none is known.
func (f *Fenced) epoch(ctx context.Context, transaction Transaction) (Epoch, error) {
	if f.epochs.Newest() == 0 {
		if _, err := f.table.Get(ctx, markerPrefix); err != nil {
			return 0, err
		}
	}
	newest := f.epochs.Newest()
	for _, condition := range transaction.Conditions {
		if epoch := condition.Revision.Epoch(); epoch != 0 && epoch < newest {
			return 0, fault.New(fault.CodeConflict, "commit", "row %s was read in epoch %d, the store is in %d", condition.Key, epoch, newest)
		}
	}
	return newest, nil
}

// fence returns the transaction with what binds it to an epoch.
func (f *Fenced) fence(ctx context.Context, transaction Transaction, epoch Epoch) Transaction {
	fenced := Transaction{
		Conditions: append([]Condition{{Key: marker(epoch + 1)}}, transaction.Conditions...),
		Writes:     append([]Write(nil), transaction.Writes...),
	}
	if f.isMarked(epoch) {
		return fenced
	}
	ctx, cancel := context.WithTimeout(ctx, markerTimeout)
	defer cancel()
	begun, err := f.readBeginning(ctx, epoch)
	if err == nil && begun.marker.Revision.Exists() {
		return fenced
	}
	value := []byte(beginningUnknown)
	if err == nil {
		value = begun.value()
	}
	for marked := max(epoch, markedEpochs) - markedEpochs + 1; marked <= epoch; marked++ {
		fenced.Writes = append(fenced.Writes, Write{Key: marker(marked), Value: value})
	}
	return fenced
}

func (f *Fenced) isMarked(epoch Epoch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.marked == epoch
}

func (f *Fenced) setMarked(epoch Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marked = max(f.marked, epoch)
}
