// Package claim lets at most one attempt run under an idempotency key: the
// attempt that first writes the key's row in the platform's table.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

const (
	step = "claim key"
	// Lifetime is how long a key is remembered.
	Lifetime = 8 * time.Hour
	// readTries is how often a claim whose answer was lost is read back.
	readTries   = 3
	callTimeout = 800 * time.Millisecond
	// sweepRows is how many old claims are deleted at once.
	sweepRows = 80
	prefix    = "key/"
)

// record is the row's value.
type record struct {
	// Attempt is the request that holds the key.
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
}

// Claims takes keys. Its methods may be called concurrently.
type Claims struct {
	table table.Table
}

// New returns claims kept in a table.
func New(rows table.Table) *Claims { return &Claims{table: rows} }

// Take claims a key for an attempt. Its error is fault.CodeDuplicate when
// another attempt holds the key (it ran, or may run), and
// fault.CodeClaimsUnavailable when the table cannot tell: the attempt must then
// not be made.
func (c *Claims) Take(ctx context.Context, key, attempt string) error {
	rowKey := keyOf(key)
	value, err := json.Marshal(record{Attempt: attempt, At: time.Now().UTC()})
	if err != nil {
		return fault.From(err, step)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	_, err = c.table.Commit(call, table.Transaction{
		Conditions: []table.Condition{{Key: rowKey}}, Writes: []table.Write{{Key: rowKey, Value: value}},
	})
	cancel()
	switch {
	case err == nil:
		return nil
	case fault.IsCode(err, fault.CodeConflict):
		return c.holder(ctx, rowKey, attempt)
	case fault.OutcomeOf(err) == fault.NotDone:
		return unavailable(err, fault.NotDone)
	}
	return c.readBack(ctx, rowKey, attempt, err)
}

// readBack finds out whether a claim whose answer was lost took effect. A claim
// that is not there yet may still come, so the attempt is not made.
func (c *Claims) readBack(ctx context.Context, rowKey, attempt string, cause error) error {
	for range readTries {
		err := c.holder(ctx, rowKey, attempt)
		if err == nil || fault.IsCode(err, fault.CodeDuplicate) {
			return err
		}
	}
	return unavailable(cause, fault.NotDone)
}

// holder returns nil when the attempt holds the key.
func (c *Claims) holder(ctx context.Context, rowKey, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, rowKey)
	if err != nil {
		return unavailable(err, fault.NotDone)
	}
	if row.Revision == 0 {
		return unavailable(errors.New("the claim is not there"), fault.NotDone)
	}
	var held record
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return unavailable(err, fault.NotDone)
	}
	if held.Attempt == attempt {
		return nil
	}
	duplicate := fault.New(fault.CodeDuplicate, step, "attempt %s holds the key", held.Attempt)
	duplicate.Ran = fault.Unknown
	return duplicate
}

func unavailable(cause error, ran fault.Outcome) error {
	failed := fault.At(fault.CodeClaimsUnavailable, step, fault.Self, ran, cause)
	return failed.WithRetryAfter(time.Second)
}

// Sweep deletes claims older than Lifetime, at most a page of them, and returns
// the key after which the next call goes on.
func (c *Claims) Sweep(ctx context.Context, after string, now time.Time) (string, error) {
	rows, err := c.table.List(ctx, prefix, after, sweepRows)
	if err != nil || len(rows) == 0 {
		return "", err
	}
	var transaction table.Transaction
	for _, row := range rows {
		after = row.Key
		var held record
		if json.Unmarshal(row.Value, &held) == nil && now.Sub(held.At) > Lifetime {
			transaction.Writes = append(transaction.Writes, table.Write{Key: row.Key, Delete: true})
		}
	}
	if len(transaction.Writes) == 0 {
		return after, nil
	}
	_, err = c.table.Commit(ctx, transaction)
	return after, err
}

// keyOf gives a key of any length and content a row key.
func keyOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return prefix + hex.EncodeToString(sum[:])
}
