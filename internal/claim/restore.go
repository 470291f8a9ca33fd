package claim

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
)

// A store that returns with an older copy has lost the newest claims. Each node writes those again that it made or
// was told of. Until all had the time to do so, nobody claims a key.

const (
	// restoreBatch is the maximum number of claims in one transaction.
	restoreBatch = table.MaxEntries - table.FenceEntries
	// restoreJitter spreads the writes of many nodes.
	restoreJitter = 300 * time.Millisecond
	// restoreRetry is the pause after the first write that failed, maxRestoreRetry that after many.
	restoreRetry    = 100 * time.Millisecond
	maxRestoreRetry = 400 * time.Millisecond
)

// epochChanged makes Run restore the claims of this node.
func (c *Claims) epochChanged(previous, _ table.Epoch) {
	if previous != 0 {
		c.restoreSoon()
	}
}

func (c *Claims) restoreSoon() {
	select {
	case c.restored <- struct{}{}:
	default:
	}
}

// Run writes the newest claims again whenever the store has returned with an older copy, until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	defer c.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.restored:
		}
		wait.For(ctx, rand.N(restoreJitter))
		c.restoreAll(ctx)
	}
}

// restoreAll writes all recent claims again, with retries.
func (c *Claims) restoreAll(ctx context.Context) {
	rows := c.recent.newestFirst(time.Now())
	wait.Retry(ctx, restoreRetry, maxRestoreRetry, func() error {
		for len(rows) > 0 {
			written, err := c.restore(ctx, rows)
			rows = rows[written:]
			if err != nil {
				c.Log.Info("claims not restored", "left", len(rows), "error", err.Error())
				return err
			}
		}
		return nil
	})
}

// restore writes claims again and returns how many it handled.
func (c *Claims) restore(ctx context.Context, rows []recentRow) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.Epochs.SettlingLeft() == 0 {
		if err := c.restoreLate(ctx, rows[0]); err != nil {
			return 0, err
		}
		return 1, nil
	}
	rows = rows[:min(len(rows), restoreBatch)]
	var transaction table.Transaction
	for _, claimed := range rows {
		transaction.Writes = append(transaction.Writes, table.Write{Key: claimed.key, Value: claimed.value})
	}
	if _, err := c.Table.Commit(ctx, transaction); err != nil {
		return 0, fault.From(err, "restore claims")
	}
	c.Log.Info("claims restored", "count", len(rows))
	return len(rows), nil
}

// restoreLate writes one claim after the settling period, when another node may have claimed the key.
func (c *Claims) restoreLate(ctx context.Context, claimed recentRow) error {
	_, err := c.Table.Commit(ctx, table.Transaction{
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
		c.Log.Error(err, "key claimed by two attempts", "attempt", own.Attempt)
		return nil
	}
	return err
}

// unsettled returns the error of an attempt that is not made because claims may be lost.
func (c *Claims) unsettled() error {
	failed := fault.At(fault.CodeClaimsUnavailable, step, fault.Self, fault.NotDone, errors.New("the store may have just returned with an older copy"))
	return failed.WithRetryAfter(max(c.Epochs.SettlingLeft(), restoreRetry))
}
