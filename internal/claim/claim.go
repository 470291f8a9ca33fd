// Package claim ensures that at most one attempt runs under an idempotency key: the
// attempt that first writes the row of the key in the table of the platform.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	// step is the step in the errors of this package.
	step = "claim key"
	// Lifetime is how long a key is remembered.
	Lifetime = 8 * time.Hour
	// maxReadBacks is how often a claim is read back if the answer to its write was lost.
	maxReadBacks = 3
	callTimeout  = 800 * time.Millisecond
	// sweepBatch is the maximum number of old claims deleted at once.
	sweepBatch = 80
	// prefix is the prefix of the row keys of claims.
	prefix = "key/"
)

// record is the value of a row.
type record struct {
	// Attempt identifies the attempt that holds the key, At is the time of its claim.
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
}

// Options are the dependencies of Claims.
type Options struct {
	Table table.Table
	// Epochs tracks the epoch of the store of Table.
	Epochs *table.Epochs
	// Fallback returns the addresses of some other nodes. They are told of claims after those of SetPeers.
	Fallback func() []string
	// Send tells a node of claims.
	Send func(ctx context.Context, address string, request wire.ClaimRequest) error
	Log  logr.Logger
}

// Claims claims idempotency keys. It is safe for concurrent use.
type Claims struct {
	Options
	recent recent
	// restored is signaled when the store has returned with an older copy.
	restored chan struct{}
	// peers are the nodes that are told of claims first.
	peers atomic.Pointer[[]string]
	// calls are the calls to peers and the releases that are under way.
	calls sync.WaitGroup
}

// New returns claims. Run restores them.
func New(o Options) *Claims {
	c := &Claims{Options: o, restored: make(chan struct{}, 1)}
	o.Epochs.OnChange(c.epochChanged)
	return c
}

// Take claims a key for an attempt. It fails with fault.CodeDuplicate if another attempt holds the
// key (it ran, or may run), and with fault.CodeClaimsUnavailable if the table cannot tell: the
// attempt must then not be made. If ctx ends meanwhile, Take fails too and gives back the key, for which
// it does not wait.
func (c *Claims) Take(ctx context.Context, key, attempt string) error {
	if c.Epochs.SettlingLeft() > 0 {
		return c.unsettled()
	}
	claimed := row{key: keyOf(key)}
	err := c.claim(ctx, &claimed, attempt)
	if err != nil {
		if ctx.Err() != nil && !fault.IsCode(err, fault.CodeDuplicate) {
			c.giveBack(ctx, claimed.key, attempt)
		}
		return err
	}
	if c.Epochs.SettlingLeft() > 0 {
		// Another node may have claimed the key in the epoch that ended.
		c.release(ctx, claimed.key, attempt)
		return c.unsettled()
	}
	c.tellPeers(ctx, claimed)
	if err := ctx.Err(); err != nil {
		c.giveBack(ctx, claimed.key, attempt)
		return unavailable(err, fault.NotDone)
	}
	return nil
}

// claim writes the claim of a key, and sets its value.
func (c *Claims) claim(ctx context.Context, claimed *row, attempt string) (err error) {
	claimed.value, err = json.Marshal(record{Attempt: attempt, At: time.Now().UTC()})
	if err != nil {
		return fault.From(err, step)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	_, err = c.Table.Commit(call, table.Transaction{
		Conditions: []table.Condition{{Key: claimed.key}}, Writes: []table.Write{{Key: claimed.key, Value: claimed.value}},
	})
	cancel()
	if err != nil {
		err = c.resolve(ctx, claimed.key, attempt, err)
	}
	if err == nil {
		c.recent.add(*claimed, time.Now())
	}
	return err
}

// resolve determines the result of a claim whose write failed.
func (c *Claims) resolve(ctx context.Context, rowKey, attempt string, err error) error {
	switch {
	case fault.IsCode(err, fault.CodeConflict):
		return c.checkHolder(ctx, rowKey, attempt)
	case fault.OutcomeOf(err) == fault.NotDone:
		return unavailable(err, fault.NotDone)
	}
	return c.readBack(ctx, rowKey, attempt, err)
}

// readBack determines whether a claim whose answer was lost took effect. A claim that is not
// visible yet may still take effect, so the attempt is not made.
func (c *Claims) readBack(ctx context.Context, rowKey, attempt string, cause error) error {
	for range maxReadBacks {
		err := c.checkHolder(ctx, rowKey, attempt)
		if err == nil || fault.IsCode(err, fault.CodeDuplicate) {
			return err
		}
	}
	return unavailable(cause, fault.NotDone)
}

// checkHolder returns nil if the attempt holds the key. It fails with fault.CodeDuplicate if
// another one does, and with fault.CodeClaimsUnavailable if that is not known.
func (c *Claims) checkHolder(ctx context.Context, rowKey, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := c.Table.Get(ctx, rowKey)
	if err != nil {
		return unavailable(err, fault.NotDone)
	}
	if !row.Revision.Exists() {
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

// unavailable returns the error of an attempt that is not made because its claim is uncertain.
func unavailable(cause error, ran fault.Outcome) error {
	failed := fault.At(fault.CodeClaimsUnavailable, step, fault.Self, ran, cause)
	return failed.WithRetryAfter(time.Second)
}

// Sweep deletes claims older than Lifetime from one page of rows, and returns the key after which
// the next call continues.
func (c *Claims) Sweep(ctx context.Context, after string, now time.Time) (string, error) {
	rows, err := c.Table.List(ctx, prefix, after, sweepBatch)
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
	_, err = c.Table.Commit(ctx, transaction)
	return after, err
}

// keyOf returns the row key for a key of any length and content.
func keyOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return prefix + hex.EncodeToString(sum[:])
}
