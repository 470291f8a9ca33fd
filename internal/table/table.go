// Package table is the seam to the platform's transactional table service. Rows
// carry revisions, transactions are conditional on them, and every call says
// whether it was done, not done or is unknown.
package table

import (
	"context"
)

// Row is one row. Revision is zero when the row is absent.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition demands that a row has a revision; zero demands that it is absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is carried out whole if all conditions hold, else not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the service. Commit fails with fault.CodeConflict when a condition
// does not hold. The outcome of an error tells whether it took effect.
type Table interface {
	// Get reads one row. A row that is absent has revision zero.
	Get(ctx context.Context, key string) (Row, error)
	// List reads up to limit rows with the prefix and a key above after, in
	// key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction.
	Commit(ctx context.Context, transaction Transaction) error
}
