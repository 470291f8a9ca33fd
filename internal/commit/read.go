package commit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	// trimBatch is the number of log entries deleted in one transaction; each entry
	// has two rows.
	trimBatch = 40
	// MaximumLogEntries is the number of log entries that stay in the table.
	MaximumLogEntries = 10000
	// trimInterval is the number of revisions between two trims of the log.
	trimInterval = trimBatch
)

// Catalog is a node's copy of the configuration, which a Follower keeps up to date.
type Catalog interface {
	// Apply applies entries in revision order and returns how many were new.
	Apply(entries []wire.Entry) int
	// ApplySnapshot replaces the content with a snapshot and reports whether the
	// snapshot was newer.
	ApplySnapshot(revision uint64, objects []api.Object) bool
	// Reset replaces the content with a table of another history.
	Reset(revision uint64, objects []api.Object, entries []wire.Entry)
}

// Follower is a feed.Handler that updates a catalog from the rows of the table.
type Follower struct {
	Catalog Catalog
	Log     logr.Logger
	// unreadable is called with each row that cannot be read.
	unreadable func(feed.Row, error)
	// damaged is set once changes had an unreadable log entry.
	damaged atomic.Bool
	// behind is signaled when a restored table lacks entries or has others.
	behind chan struct{}

	// mu guards keptBack, the changes that are not applied while keepsBack is set.
	mu        sync.Mutex
	keepsBack bool
	keptBack  []feed.Row
}

// NewFollower returns a Follower of a catalog that passes rows it cannot read to unreadable.
func NewFollower(catalog Catalog, unreadable func(feed.Row, error), log logr.Logger) *Follower {
	return &Follower{Catalog: catalog, Log: log, unreadable: unreadable, behind: make(chan struct{}, 1)}
}

// ApplySnapshot processes all rows of the table: objects, and log entries as history.
func (f *Follower) ApplySnapshot(rows []feed.Row, _ time.Duration) {
	if f.keepBack(rows) {
		return
	}
	head, objects := f.parse(rows)
	entries, damaged := f.entries(rows)
	// If the log is complete from its first revision, no snapshot is needed.
	if len(entries) == 0 || f.Catalog.Apply(entries) == 0 || damaged {
		f.Catalog.ApplySnapshot(head, objects)
	}
	f.Catalog.Apply(entries)
}

// parse returns the revision and the objects of a table.
func (f *Follower) parse(rows []feed.Row) (head uint64, objects []api.Object) {
	for _, row := range rows {
		var err error
		switch {
		case row.Key == keyHead:
			head, err = parseHead(row, rows)
		case strings.HasPrefix(row.Key, prefixObject):
			var object api.Object
			if err = json.Unmarshal(row.Value, &object); err == nil {
				objects = append(objects, object)
			}
		}
		if err != nil {
			f.unreadable(row, fault.From(err, "read configuration"))
		}
	}
	return head, objects
}

// parseHead returns the revision in the row of the head. It is read before the entries, so that it is no
// later than the last of them; a catalog at a later one would apply no entry any more.
func parseHead(row feed.Row, rows []feed.Row) (uint64, error) {
	var head uint64
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, err
	}
	newest := ""
	for _, other := range rows {
		if strings.HasPrefix(other.Key, prefixLog) {
			newest = max(newest, other.Key)
		}
	}
	if newest != "" && logKey(head) > newest {
		return 0, fault.New(fault.CodeInvalid, "read log", "head %d is beyond the last entry, %.40q", head, newest)
	}
	return head, nil
}

// ApplyChanges processes changed rows. Only log entries matter, as every operation
// writes one.
func (f *Follower) ApplyChanges(rows []feed.Row) {
	if f.keepBack(rows) {
		return
	}
	entries, damaged := f.entries(rows)
	f.Catalog.Apply(entries)
	if damaged {
		f.damaged.Store(true)
	}
}

// TakeDamaged reports, once, that changes had an unreadable entry. The entries after it apply only once the
// whole table was read.
func (f *Follower) TakeDamaged() bool { return f.damaged.Swap(false) }

// entries returns the entries of the log among rows, in order, and whether others are unreadable.
func (f *Follower) entries(rows []feed.Row) (entries []wire.Entry, damaged bool) {
	for _, row := range rows {
		if row.Deleted || !strings.HasPrefix(row.Key, prefixLog) {
			continue
		}
		var entry wire.Entry
		err := json.Unmarshal(row.Value, &entry)
		if err == nil && logKey(entry.Revision) != row.Key {
			err = fault.New(fault.CodeInvalid, "read log", "the entry is of revision %d", entry.Revision)
		}
		if err != nil {
			f.unreadable(row, fault.From(err, "read log"))
			damaged = true
			continue
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return entries, damaged
}

// Trim deletes the oldest log entries beyond MaximumLogEntries and their operation
// rows, up to trimBatch entries in a call. It does nothing for most revisions; see
// trimInterval. It is called by the node that committed revision head; deleting a
// row twice is harmless.
func (c *Committer) Trim(ctx context.Context, head uint64) error {
	if head <= MaximumLogEntries || head%trimInterval != 0 {
		return nil
	}
	rows, err := c.table.List(ctx, prefixLog, "", trimBatch)
	if err != nil {
		return err
	}
	var transaction table.Transaction
	for _, row := range rows {
		if row.Key > logKey(head-MaximumLogEntries) {
			break
		}
		var entry wire.Entry
		transaction.Writes = append(transaction.Writes, table.Write{Key: row.Key, Delete: true})
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			c.log.Error(err, "unreadable log entry deleted", "step", "trim log", "key", row.Key)
			continue
		}
		transaction.Writes = append(transaction.Writes, table.Write{Key: prefixOperation + entry.Operation, Delete: true})
	}
	if len(transaction.Writes) == 0 {
		return nil
	}
	_, err = c.table.Commit(ctx, transaction)
	return err
}
