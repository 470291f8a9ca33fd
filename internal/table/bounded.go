package table

import (
	"context"
	"time"
)

// WithTimeout returns a table that bounds each call, so that a call without an answer leaves time
// for another one. A commit that times out has an unknown outcome.
func WithTimeout(t Table, timeout time.Duration) Table {
	return timeoutTable{table: t, timeout: timeout}
}

type timeoutTable struct {
	table   Table
	timeout time.Duration
}

func (t timeoutTable) Get(ctx context.Context, key string) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.table.Get(ctx, key)
}

func (t timeoutTable) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.table.List(ctx, prefix, after, limit)
}

func (t timeoutTable) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.table.Commit(ctx, transaction)
}
