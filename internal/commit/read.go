package commit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
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
	entries := f.entries(rows)
	// If the log is complete from its first revision, no snapshot is needed.
	if len(entries) == 0 || f.Catalog.Apply(entries) == 0 {
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
			err = json.Unmarshal(row.Value, &head)
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

// ApplyChanges processes changed rows. Only log entries matter, as every operation
// writes one.
func (f *Follower) ApplyChanges(rows []feed.Row) {
	if !f.keepBack(rows) {
		f.Catalog.Apply(f.entries(rows))
	}
}

func (f *Follower) entries(rows []feed.Row) []wire.Entry {
	var entries []wire.Entry
	for _, row := range rows {
		if row.Deleted || !strings.HasPrefix(row.Key, prefixLog) {
			continue
		}
		var entry wire.Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			f.unreadable(row, fault.From(err, "read log"))
			continue
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return entries
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
