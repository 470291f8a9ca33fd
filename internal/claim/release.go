package claim

import (
	"context"
	"encoding/json"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
)

const (
	// releasePeriod is how long a release is tried: a write whose answer was lost may take effect late.
	releasePeriod = 4 * time.Second
	// releaseRetry is the pause after its first try, maxReleaseRetry that after many.
	releaseRetry    = 50 * time.Millisecond
	maxReleaseRetry = 400 * time.Millisecond
)

// Release gives back the key of an attempt that is not made. It reports whether the key is free; if ctx ends before,
// the key is given back meanwhile.
func (c *Claims) Release(ctx context.Context, key, attempt string) bool {
	select {
	case freed := <-c.giveBack(ctx, keyOf(key), attempt):
		return freed
	case <-ctx.Done():
		return false
	}
}

// giveBack deletes the claim of an attempt that is not made, also after ctx has ended. It tells on the channel whether
// the key is free.
func (c *Claims) giveBack(ctx context.Context, rowKey, attempt string) <-chan bool {
	c.recent.forget(rowKey)
	freed := make(chan bool, 1)
	ctx = context.WithoutCancel(ctx)
	c.calls.Go(func() { freed <- c.releaseWithRetries(ctx, rowKey, attempt) })
	return freed
}

// releaseWithRetries deletes the claim of an attempt, which its write may make only later. It returns whether the claim was
// deleted.
func (c *Claims) releaseWithRetries(ctx context.Context, rowKey, attempt string) (deleted bool) {
	ctx, cancel := context.WithTimeout(ctx, releasePeriod)
	defer cancel()
	wait.Retry(ctx, releaseRetry, maxReleaseRetry, func() (err error) {
		deleted, err = c.deleteOwn(ctx, rowKey, attempt)
		return err
	})
	if !deleted {
		c.Log.Info("claim not released", "attempt", attempt)
	}
	return deleted
}

// release deletes the claim of an attempt that is not made. If that fails, the key stays claimed.
func (c *Claims) release(ctx context.Context, rowKey, attempt string) {
	c.recent.forget(rowKey)
	if _, err := c.deleteOwn(ctx, rowKey, attempt); err != nil {
		c.Log.Info("claim not released", "attempt", attempt, "error", err.Error())
	}
}

// deleteOwn deletes the claim of an attempt, unless another node has written one in its place. It fails if there is no
// claim.
func (c *Claims) deleteOwn(ctx context.Context, rowKey, attempt string) (deleted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := c.Table.Get(ctx, rowKey)
	if err != nil {
		return false, err
	}
	if !row.Revision.Exists() {
		return false, fault.New(fault.CodeNotFound, step, "the claim is not there")
	}
	var held record
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return false, fault.From(err, step)
	}
	if held.Attempt != attempt {
		return false, nil
	}
	_, err = c.Table.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: rowKey, Revision: row.Revision}}, Writes: []table.Write{{Key: rowKey, Delete: true}},
	})
	return err == nil, err
}
