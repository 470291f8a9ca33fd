// Package table is the seam to the platform's transactional table service. Rows
// carry revisions, transactions are conditional on them, and every call says
// whether it was done, not done or is unknown.
package table

import (
	"context"
	"time"
)

// Row is one row. Revision is zero when the row is absent.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
	// ReadAt is the table's own steady clock when the row was read, which all nodes share.
	ReadAt time.Duration
}

// Condition demands that a row has a revision; zero demands that it is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is carried out whole if all conditions hold, else not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is one table of the service.
type Table interface {
	// Get reads one row. A row that is absent has revision zero. What is read
	// may be older than what was read before.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows with the prefix and a key above after, in key
	// order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction and returns the revision it gave its
	// rows. It fails with fault.CodeConflict when a condition does not hold. The
	// outcome of any other error tells whether it took effect; one that is
	// unknown may take effect later, as long as its conditions hold.
	Commit(ctx context.Context, transaction Transaction) (uint64, error)
}
