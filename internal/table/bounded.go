package table

import (
	"context"
	"time"
)

// WithTimeout returns the table with a bound on each call, so that one without an answer leaves
// time for another one. A commit that ends by it has an unknown outcome.
func WithTimeout(t Table, limit time.Duration) Table { return bounded{table: t, limit: limit} }

type bounded struct {
	table Table
	limit time.Duration
}

func (b bounded) Get(ctx context.Context, key string) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.table.Get(ctx, key)
}

func (b bounded) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.table.List(ctx, prefix, after, limit)
}

func (b bounded) Commit(ctx context.Context, transaction Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	return b.table.Commit(ctx, transaction)
}
