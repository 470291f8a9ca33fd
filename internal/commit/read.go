package commit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	// trimRows is how many log entries are trimmed at once; each has two rows.
	trimRows = 40
	// KeptLog is how many log entries stay in the table.
	KeptLog = 10000
	// trimEvery is how often, in revisions, the log is trimmed.
	trimEvery = trimRows
)

// Copy is a node's copy of the configuration, which the Follower keeps up.
type Copy interface {
	// Apply takes entries in the order of their revisions.
	Apply(entries []wire.Entry) int
	// ApplySnapshot replaces the content by a newer one.
	ApplySnapshot(revision uint64, objects []api.Object) bool
}

// Follower brings a copy of the configuration up to the table's rows. It is a
// feed.Handler.
type Follower struct {
	Copy Copy
	Log  logr.Logger
}

// Whole takes all rows: the objects, and the log entries as history.
func (f *Follower) Whole(rows []feed.Row, _ time.Duration) {
	var objects []api.Object
	var head uint64
	for _, row := range rows {
		var err error
		switch {
		case row.Key == keyHead:
			err = json.Unmarshal(row.Value, &head)
		case strings.HasPrefix(row.Key, prefixObject):
			var object api.Object
			if err = json.Unmarshal(row.Value, &object); err == nil {
				objects = append(objects, object)
			}
		}
		if err != nil {
			f.Log.Error(err, "row unreadable", "step", "read configuration", "row", row.Key)
		}
	}
	entries := f.entries(rows)
	// The log alone is enough where it is kept from the start.
	if len(entries) == 0 || f.Copy.Apply(entries) == 0 {
		f.Copy.ApplySnapshot(head, objects)
	}
	f.Copy.Apply(entries)
}

// Changed takes changed rows: each operation writes one log entry.
func (f *Follower) Changed(rows []feed.Row) { f.Copy.Apply(f.entries(rows)) }

func (f *Follower) entries(rows []feed.Row) []wire.Entry {
	var entries []wire.Entry
	for _, row := range rows {
		if row.Deleted || !strings.HasPrefix(row.Key, prefixLog) {
			continue
		}
		var entry wire.Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			f.Log.Error(err, "row unreadable", "step", "read log", "row", row.Key)
			continue
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return entries
}

// Trim deletes the oldest log entries beyond KeptLog with their operation rows.
// The node that committed a revision calls it; deleting twice is harmless.
func (c *Committer) Trim(ctx context.Context, head uint64) error {
	if head <= KeptLog || head%trimEvery != 0 {
		return nil
	}
	rows, err := c.table.List(ctx, prefixLog, "", trimRows)
	if err != nil {
		return err
	}
	var transaction table.Transaction
	for _, row := range rows {
		if row.Key > logKey(head-KeptLog) {
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
	_, err = c.table.Commit(ctx, transaction)
	return err
}
