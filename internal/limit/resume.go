package limit

import (
	"time"

	"lilacvane/internal/table"
)

// versionsPerEpoch is the number of versions reserved for each epoch of the store. Versions of a later
// epoch are greater than lost ones.
const versionsPerEpoch Version = 1 << 40

// LostRecordLifetime is how long parts that a lost record assigned may be in force.
const LostRecordLifetime = Lifetime + expiryMargin

// IsLost reports whether a record, which was read in an epoch, cannot be read, or records that were written
// after it are lost: the store has returned with a copy since.
func (r *Record) IsLost(epoch table.Epoch) bool {
	return r.unreadable || r.Epoch != 0 && r.Epoch < epoch
}

// NewUnreadable returns the record that is assumed for a row that cannot be read: what it assigned may be
// in force. Its version is no smaller than any of the epoch, as each takes a write.
func NewUnreadable(revision table.Revision) *Record {
	record := NewRecord()
	record.unreadable = true
	record.Version = Version(revision.Epoch())*versionsPerEpoch + Version(revision.Number())
	return record
}

// Resume returns the record from which a divider continues that read a record in an epoch of the store,
// readAt on the table's clock. If later records are lost, it continues from its own one if it has divided
// the limits without a break, and otherwise anew, once lostFor, the time since it found that, has ended what
// the lost ones assigned. ok is false until then.
func Resume(read, own *Record, epoch table.Epoch, lostFor, readAt time.Duration) (record *Record, ok bool) {
	switch {
	case !read.IsLost(epoch):
		return read, true
	case own != nil && (read.unreadable || own.Version >= read.Version):
		return own, true
	case lostFor < LostRecordLifetime:
		return nil, false
	default:
		anew := NewRecord()
		anew.Version = max(read.Version, Version(epoch)*versionsPerEpoch)
		anew.FilledAt = max(readAt, time.Millisecond)
		return anew, true
	}
}
