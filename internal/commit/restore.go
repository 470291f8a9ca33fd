package commit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

// A store that returned with an older copy lacks the newest log entries. Nodes that have them commit them
// again, under the same revisions. Until that is done nothing else is committed, so that nothing else gets
// these revisions. If something did, the lost operations get new ones.

const (
	stepRestore = "restore log"
	// listLimit is the maximum number of rows in one read of the table.
	listLimit = 500
)

// held reports whether the table may lack entries that this or other nodes have.
func (c *Committer) held() bool { return c.restoring.Load() || c.epochs.SettlingLeft() > 0 }

// errHeld is the error of an attempt that is not made yet.
func errHeld() error {
	return &fault.Error{Code: fault.CodeStoreUnavailable, Step: step, Peer: fault.Self, Ran: fault.NotDone, Message: "the store may have just returned with an older copy"}
}

// Restore commits those of a node's entries that the table lacks. diverged is set if the table has other
// entries in their place, or lacks earlier ones that the node no longer keeps: then the node has to read the
// table anew. If it fails it may be called again.
func (c *Committer) Restore(ctx context.Context, entries []wire.Entry) (restored int, diverged bool, err error) {
	for {
		head, err := c.table.Get(ctx, keyHead)
		if err != nil {
			return restored, false, err
		}
		revision, err := headRevision(head)
		if err != nil {
			return restored, false, err
		}
		common, err := c.common(ctx, entries, revision)
		if err != nil || common == len(entries) {
			return restored, false, err
		}
		missing := entries[common:]
		if missing[0].Revision <= revision {
			count, err := c.reapply(ctx, missing, missing[0].Revision)
			return restored + count, true, err
		}
		if missing[0].Revision != revision+1 {
			c.log.Info("entries lost", "step", stepRestore, "head", revision, "knownFrom", missing[0].Revision)
			return restored, true, nil
		}
		_, err = c.table.Commit(ctx, entryTransaction(missing[0], head))
		if err != nil && !fault.IsCode(err, fault.CodeConflict) {
			return restored, false, err
		}
		if err == nil {
			restored++
		}
	}
}

// common returns how many of the entries the table has, given the head of its log.
func (c *Committer) common(ctx context.Context, entries []wire.Entry, head uint64) (int, error) {
	for count := len(entries); count > 0; count-- {
		entry := entries[count-1]
		if entry.Revision > head {
			continue
		}
		row, err := c.table.Get(ctx, logKey(entry.Revision))
		if err != nil {
			return 0, err
		}
		var logged wire.Entry
		if err := json.Unmarshal(row.Value, &logged); row.Revision.Exists() && err != nil {
			return 0, fault.New(fault.CodeInternal, stepRestore, "row %s: %v", row.Key, err)
		}
		if logged.Operation == entry.Operation {
			return count, nil
		}
	}
	return 0, nil
}

// entryTransaction returns the transaction that writes an entry after the head of the log.
func entryTransaction(entry wire.Entry, head table.Row) table.Transaction {
	transaction := table.Transaction{Conditions: []table.Condition{
		{Key: keyHead, Revision: head.Revision}, {Key: prefixOperation + entry.Operation},
	}}
	for _, change := range entry.Changes {
		transaction.Writes = append(transaction.Writes, objectWrite(prefixObject+change.Object.Key().String(), change.Object, change.Deleted))
	}
	transaction.Writes = append(transaction.Writes, logWrites(entry)...)
	return transaction
}

// logWrites returns the rows of an entry beside its objects.
func logWrites(entry wire.Entry) []table.Write {
	return []table.Write{
		{Key: keyHead, Value: mustJSON(entry.Revision)},
		{Key: logKey(entry.Revision), Value: mustJSON(entry)},
		{Key: prefixOperation + entry.Operation, Value: mustJSON(Result{Operation: entry.Operation, Revision: entry.Revision})},
	}
}

// reapply commits lost operations under new revisions. One that changes an object which has changed from
// revision since on is dropped, as its author did not see that change.
func (c *Committer) reapply(ctx context.Context, lost []wire.Entry, since uint64) (count int, err error) {
	for _, entry := range lost {
		if _, found, err := c.Find(ctx, entry.Operation); err != nil {
			return count, err
		} else if found {
			continue
		}
		operation, err := c.rebase(ctx, entry, since)
		if err == nil {
			_, err = c.retry(ctx, operation, func() bool { return false })
		}
		switch {
		case err == nil:
			count++
		case fault.IsCode(err, fault.CodeConflict):
			c.log.Error(err, "operation lost", "operation", entry.Operation, "revision", entry.Revision)
		default:
			return count, err
		}
	}
	return count, nil
}

// rebase returns the operation of a lost entry, based on the current generations of its objects.
func (c *Committer) rebase(ctx context.Context, entry wire.Entry, since uint64) (Operation, error) {
	operation := Operation{ID: entry.Operation, Author: entry.Author}
	for _, change := range entry.Changes {
		key := change.Object.Key()
		row, err := c.table.Get(ctx, prefixObject+key.String())
		if err != nil {
			return operation, err
		}
		var current api.Object
		if err := json.Unmarshal(row.Value, &current); row.Revision.Exists() && err != nil {
			return operation, fault.New(fault.CodeInternal, stepRestore, "row %s: %v", row.Key, err)
		}
		if current.Generation >= since {
			return operation, fault.New(fault.CodeConflict, stepRestore, "%s has changed at revision %d", key, current.Generation)
		}
		operation.Changes = append(operation.Changes, Change{Key: key, Expected: current.Generation, Spec: change.Object.Spec, Delete: change.Deleted})
	}
	return operation, nil
}

// Rows reads the whole table.
func (c *Committer) Rows(ctx context.Context) ([]feed.Row, error) {
	var rows []feed.Row
	after := ""
	for {
		page, err := c.table.List(ctx, "", after, listLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			rows = append(rows, feed.Row{Key: row.Key, Value: row.Value, Revision: row.Revision})
			after = row.Key
		}
		if len(page) < listLimit {
			return rows, nil
		}
	}
}

// Restorer makes a table that has lost entries have those of a node again.
type Restorer struct {
	Committer *Committer
	Follower  *Follower
	// Entries returns the newest entries that this node has, in the order of the log.
	Entries func() []wire.Entry
	// Applied is called when the catalog is up to date again.
	Applied func()
}

const (
	// restoreJitter spreads the attempts of many nodes, so that most find the work done.
	restoreJitter = 500 * time.Millisecond
	// restoreRetry is the pause after the first failed attempt, maxRestoreRetry that after many.
	restoreRetry    = 100 * time.Millisecond
	maxRestoreRetry = 5 * time.Second
)

// Run restores the log whenever the table has returned with an older copy, until ctx ends.
func (r *Restorer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Follower.behind:
			r.Committer.restoring.Store(true)
			r.restore(ctx)
			r.Committer.restoring.Store(false)
		}
	}
}

// restore restores the log, with retries.
func (r *Restorer) restore(ctx context.Context) {
	wait.For(ctx, rand.N(restoreJitter))
	wait.Retry(ctx, restoreRetry, maxRestoreRetry, func() error {
		ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
		defer cancel()
		count, diverged, err := r.Committer.Restore(ctx, r.Entries())
		if err == nil && diverged {
			err = r.rebuild(ctx)
		}
		if err != nil {
			r.Follower.Log.Error(err, "log not restored", "entries", count, "diverged", diverged)
			return err
		}
		r.Follower.release()
		r.Applied()
		r.Follower.Log.Info("log restored", "entries", count, "diverged", diverged)
		return nil
	})
}

// rebuild reads the catalog anew.
func (r *Restorer) rebuild(ctx context.Context) error {
	rows, err := r.Committer.Rows(ctx)
	if err != nil {
		return err
	}
	head, objects := r.Follower.parse(rows)
	entries, _ := r.Follower.entries(rows)
	r.Follower.Catalog.Reset(head, objects, entries)
	return nil
}

// ApplyRestored processes rows of a restored table. The catalog does not go back. If the table lacks
// entries, its rows are kept back until the Restorer has compared the logs: an entry of another history
// must not follow one that it does not know.
func (f *Follower) ApplyRestored(rows []feed.Row) []feed.Deferred {
	if slices.ContainsFunc(rows, func(row feed.Row) bool { return row.Key == keyHead || strings.HasPrefix(row.Key, prefixLog) }) {
		f.mu.Lock()
		f.keepsBack = true
		f.mu.Unlock()
		select {
		case f.behind <- struct{}{}:
		default:
		}
	}
	f.ApplyChanges(rows)
	return nil
}

// keepBack reports whether rows are kept back, and keeps them.
func (f *Follower) keepBack(rows []feed.Row) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keepsBack {
		f.keptBack = append(f.keptBack, rows...)
	}
	return f.keepsBack
}

// release applies the rows that were kept back.
func (f *Follower) release() {
	f.mu.Lock()
	rows := f.keptBack
	f.keepsBack, f.keptBack = false, nil
	f.mu.Unlock()
	entries, damaged := f.entries(rows)
	f.Catalog.Apply(entries)
	if damaged {
		f.damaged.Store(true)
	}
}

// Keys returns the key of the log's head: a table without it lacks the whole log.
func (f *Follower) Keys() []string { return []string{keyHead} }
