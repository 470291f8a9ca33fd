package table

import "strconv"

// Revision is a position in the histories of a store: an epoch and the store's own number in it. A
// revision of a later epoch is greater than all of an earlier one, so revisions compared as numbers
// are compared by newness. The zero Revision is older than all.
type Revision uint64

const (
	// numberBits is the size of the store's number in a Revision.
	numberBits = 44
	// MaxNumber is the largest number of a Revision.
	MaxNumber = 1<<numberBits - 1
	// MaxEpoch is the largest epoch of a Revision.
	MaxEpoch = Epoch(1<<(64-numberBits) - 1)
)

// NewRevision returns the revision with a number, at most MaxNumber, in an epoch, at most MaxEpoch.
func NewRevision(epoch Epoch, number uint64) Revision {
	return Revision(uint64(min(epoch, MaxEpoch))<<numberBits | min(number, MaxNumber))
}

// Epoch returns the epoch; zero if it is not known.
func (r Revision) Epoch() Epoch { return Epoch(r >> numberBits) }

// Number returns the store's number.
func (r Revision) Number() uint64 { return uint64(r & MaxNumber) }

// InEpoch returns the revision with its epoch, or with the given one if its own is not known.
func (r Revision) InEpoch(epoch Epoch) Revision {
	if r.Epoch() != 0 {
		return r
	}
	return NewRevision(epoch, r.Number())
}

// Exists reports whether a row with this revision exists.
func (r Revision) Exists() bool { return r.Number() != 0 }

// String returns the revision as epoch.number.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r.Epoch()), 10) + "." + strconv.FormatUint(r.Number(), 10)
}

// MarshalLog returns the form in which a Revision is logged.
func (r Revision) MarshalLog() any { return r.String() }
