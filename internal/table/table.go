// Package table is the interface to the transactional table service of the platform.
// Rows have revisions, transactions are conditional on them, and every call states
// whether it took effect, did not, or that this is unknown.
package table

import (
	"context"
	"time"
)

// Row is one row. If the row does not exist, Revision names only the epoch of the answer.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	// ReadAt is the time of the read on the monotonic clock of the table, which is the same for all
	// nodes.
	ReadAt time.Duration
}

// Condition requires that a row has a revision, or that it does not exist if the revision has no
// number.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied completely if all conditions hold, otherwise not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is one table of the service.
type Table interface {
	// Get reads one row. The result may be older than
	// that of an earlier read.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows with the prefix and a key above after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the revision of its rows. It fails with
	// fault.CodeConflict if a condition does not hold. The outcome of any other error states
	// whether the transaction took effect; with an unknown outcome it may take effect later, as
	// long as its conditions hold.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
}
