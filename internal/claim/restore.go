package claim

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
)

// A store that returns with an older copy has lost the newest claims. Each node writes its own again. Until
// all had the time to do so, nobody claims a key.

const (
	// recentPeriod is how long a node remembers its claims. Copies are some seconds old.
	recentPeriod = time.Minute
	// maxRecent is how many it remembers at most.
	maxRecent = 16_384
	// restoreBatch is the maximum number of claims in one transaction.
	restoreBatch = table.MaxEntries - table.FenceEntries
	// restoreJitter spreads the writes of many nodes, restoreRetry is the pause after one that failed.
	restoreJitter = 300 * time.Millisecond
	restoreRetry  = 100 * time.Millisecond
)

// row is a claim as it was written.
type row struct {
	key   string
	value []byte
}

// recentRow is a row with the time of its claim.
type recentRow struct {
	row
	at time.Time
}

// recent holds the newest claims of this node, oldest first. It is safe for concurrent use.
type recent struct {
	mu   sync.Mutex
	rows []recentRow
}

func (r *recent) add(claimed row, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.rows = append(r.rows, recentRow{row: claimed, at: now})
}

// expire drops old claims. The caller holds mu.
func (r *recent) expire(now time.Time) {
	dropped := max(len(r.rows)-maxRecent+1, 0)
	for dropped < len(r.rows) && now.Sub(r.rows[dropped].at) > recentPeriod {
		dropped++
	}
	r.rows = r.rows[dropped:]
}

// all returns the claims, newest first: the oldest ones are most likely in the copy.
func (r *recent) all(now time.Time) []row {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	rows := make([]row, 0, len(r.rows))
	for i := len(r.rows) - 1; i >= 0; i-- {
		rows = append(rows, r.rows[i].row)
	}
	return rows
}

// epochChanged makes Run restore the claims of this node.
func (c *Claims) epochChanged(previous, _ table.Epoch) {
	if previous == 0 {
		return
	}
	select {
	case c.restored <- struct{}{}:
	default:
	}
}

// Run restores this node's claims whenever the store has returned with an older copy, until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.restored:
		}
		wait.For(ctx, rand.N(restoreJitter))
		rows := c.recent.all(time.Now())
		for len(rows) > 0 && ctx.Err() == nil {
			written, err := c.restore(ctx, rows)
			rows = rows[written:]
			if err != nil {
				c.log.Info("claims not restored", "left", len(rows), "error", err.Error())
				wait.For(ctx, restoreRetry)
			}
		}
	}
}

// restore writes claims again and returns how many it handled.
func (c *Claims) restore(ctx context.Context, rows []row) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.epochs.SettlingLeft() == 0 {
		return 1, c.restoreLate(ctx, rows[0])
	}
	rows = rows[:min(len(rows), restoreBatch)]
	var transaction table.Transaction
	for _, claimed := range rows {
		transaction.Writes = append(transaction.Writes, table.Write{Key: claimed.key, Value: claimed.value})
	}
	if _, err := c.table.Commit(ctx, transaction); err != nil {
		return 0, fault.From(err, "restore claims")
	}
	c.log.Info("claims restored", "count", len(rows))
	return len(rows), nil
}

// restoreLate writes one claim after the settling period, when another node may have claimed the key.
func (c *Claims) restoreLate(ctx context.Context, claimed row) error {
	_, err := c.table.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: claimed.key}}, Writes: []table.Write{{Key: claimed.key, Value: claimed.value}},
	})
	if !fault.IsCode(err, fault.CodeConflict) {
		return err
	}
	var own record
	if err := json.Unmarshal(claimed.value, &own); err != nil {
		return fault.From(err, "restore claims")
	}
	err = c.checkHolder(ctx, claimed.key, own.Attempt)
	if fault.IsCode(err, fault.CodeDuplicate) {
		c.log.Error(err, "key claimed by two attempts", "attempt", own.Attempt)
		return nil
	}
	return err
}

// release deletes the claim of an attempt that is not made. If that fails, the key stays claimed.
func (c *Claims) release(ctx context.Context, rowKey, attempt string) {
	c.recent.forget(rowKey)
	if err := c.deleteOwn(ctx, rowKey, attempt); err != nil {
		c.log.Info("claim not released", "attempt", attempt, "error", err.Error())
	}
}

// deleteOwn deletes the claim of an attempt, unless another node has written one in its place.
func (c *Claims) deleteOwn(ctx context.Context, rowKey, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, rowKey)
	if err != nil || !row.Revision.Exists() {
		return err
	}
	var held record
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return fault.From(err, step)
	}
	if held.Attempt != attempt {
		return nil
	}
	_, err = c.table.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: rowKey, Revision: row.Revision}}, Writes: []table.Write{{Key: rowKey, Delete: true}},
	})
	return err
}

// forget drops the claim of a key.
func (r *recent) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, claimed := range r.rows {
		if claimed.key == key {
			r.rows = append(r.rows[:i:i], r.rows[i+1:]...)
			return
		}
	}
}

// unsettled returns the error of an attempt that is not made because claims may be lost.
func (c *Claims) unsettled() error {
	failed := fault.At(fault.CodeClaimsUnavailable, step, fault.Self, fault.NotDone, errors.New("the store has just returned with an older copy"))
	return failed.WithRetryAfter(max(c.epochs.SettlingLeft(), restoreRetry))
}
