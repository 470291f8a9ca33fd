package commit

import (
	"context"
	"encoding/json"
	"strings"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	pageRows = 256
	// KeptLog is how many log entries stay in the table. A node further behind
	// reads the objects instead.
	KeptLog = 10000
)

// Reader reads the revision log from the table.
type Reader struct {
	table table.Table
}

// NewReader returns a reader on the table.
func NewReader(t table.Table) *Reader { return &Reader{table: t} }

// Head returns the newest committed revision, as the table answers it.
func (r *Reader) Head(ctx context.Context) (uint64, error) {
	head, err := r.table.Get(ctx, keyHead)
	if err != nil {
		return 0, err
	}
	return headRevision(head)
}

// Entries returns log entries after a revision in order. It reports false when
// the next one is no longer in the table.
func (r *Reader) Entries(ctx context.Context, after uint64) ([]wire.Entry, bool, error) {
	rows, err := r.table.List(ctx, prefixLog, logKey(after), pageRows)
	if err != nil {
		return nil, false, err
	}
	entries := make([]wire.Entry, 0, len(rows))
	for _, row := range rows {
		var entry wire.Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, false, fault.New(fault.CodeInternal, "read log", "row %s: %v", row.Key, err)
		}
		entries = append(entries, entry)
	}
	complete := len(entries) == 0 || entries[0].Revision == after+1
	return entries, complete, nil
}

// Snapshot reads all objects. The revision is the head before the first object
// was read, so that applying the entries after it makes the result exact.
func (r *Reader) Snapshot(ctx context.Context) (uint64, []api.Object, error) {
	revision, err := r.Head(ctx)
	if err != nil {
		return 0, nil, err
	}
	var objects []api.Object
	after := ""
	for {
		rows, err := r.table.List(ctx, prefixObject, after, pageRows)
		if err != nil {
			return 0, nil, err
		}
		for _, row := range rows {
			var object api.Object
			if err := json.Unmarshal(row.Value, &object); err != nil {
				return 0, nil, fault.New(fault.CodeInternal, "read snapshot", "row %s: %v", row.Key, err)
			}
			objects = append(objects, object)
			after = row.Key
		}
		if len(rows) < pageRows {
			return revision, objects, nil
		}
	}
}

// Trim deletes the oldest log entries beyond KeptLog with their operation rows,
// at most one page a call. Deleting twice is harmless.
func (r *Reader) Trim(ctx context.Context) error {
	head, err := r.Head(ctx)
	if err != nil || head <= KeptLog {
		return err
	}
	rows, err := r.table.List(ctx, prefixLog, "", pageRows)
	if err != nil {
		return err
	}
	var transaction table.Transaction
	for _, row := range rows {
		if strings.Compare(row.Key, logKey(head-KeptLog)) > 0 {
			break
		}
		var entry wire.Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return fault.New(fault.CodeInternal, "trim log", "row %s: %v", row.Key, err)
		}
		transaction.Writes = append(transaction.Writes,
			table.Write{Key: row.Key, Delete: true},
			table.Write{Key: prefixOperation + entry.Operation, Delete: true})
	}
	if len(transaction.Writes) == 0 {
		return nil
	}
	return r.table.Commit(ctx, transaction)
}
