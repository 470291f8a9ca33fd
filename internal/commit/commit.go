// Package commit changes the configuration. Every change is one transaction in
// the platform's table: it appends to the revision log and updates the objects,
// provided that their generations are those the author saw.
package commit

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// Row keys and key prefixes in the table.
const (
	keyHead         = "log-head"
	prefixLog       = "log/"
	prefixObject    = "object/"
	prefixOperation = "operation/"
)

const (
	step              = "commit operation"
	defaultRetryDelay = 50 * time.Millisecond
	// ApplyTimeout bounds all attempts of one operation together.
	ApplyTimeout = 5 * time.Second
	// callTimeout bounds one call of the table. A silent connection never answers;
	// a slow table takes a second or more.
	callTimeout = 2 * time.Second
)

// Change writes or deletes one object. Expected is the generation that its author
// saw, or zero if the object must not exist yet.
type Change struct {
	Key      api.Key
	Expected uint64
	Spec     json.RawMessage
	Delete   bool
}

// Requirement is a condition on an object that the operation does not change: it
// must still have the given generation when the operation commits.
type Requirement struct {
	Key        api.Key
	Generation uint64
}

// Operation is a set of changes that commits atomically. Submitting the same ID
// again returns the result of the first commit.
type Operation struct {
	ID       string
	Author   string
	Changes  []Change
	Requires []Requirement
}

// Result is the outcome of a committed operation: its ID and its revision.
type Result struct {
	Operation string `json:"operation"`
	Revision  uint64 `json:"revision"`
	// Entry is the log entry if this call wrote it, else nil.
	Entry *wire.Entry `json:"-"`
}

// LocalCopy is this node's copy of the configuration, used to avoid reads.
type LocalCopy interface {
	// GenerationAt returns the generation of an object, or zero if it does not
	// exist. It reports false unless the copy is at exactly that revision.
	GenerationAt(revision uint64, key api.Key) (uint64, bool)
}

// Committer commits operations. All of its state is in the table.
type Committer struct {
	table table.Table
	local LocalCopy
	// timeout bounds all attempts of one operation together; retryDelay is the mean
	// time between two attempts.
	timeout    time.Duration
	retryDelay time.Duration
	epochs     *table.Epochs
	log        logr.Logger
	// restoring is set while entries of this node are committed again.
	restoring atomic.Bool
}

// New returns a committer for a table; epochs tracks the epoch of its store. Where local, the node's
// copy of the configuration, is up to date, the committer does not read rows.
func New(t table.Table, local LocalCopy, epochs *table.Epochs, log logr.Logger) *Committer {
	return &Committer{table: table.WithTimeout(t, callTimeout), local: local, timeout: ApplyTimeout, retryDelay: defaultRetryDelay, epochs: epochs, log: log}
}

// Find returns the result of an operation. It reports false if the operation is
// not in the table; a transaction under way may still commit it later.
func (c *Committer) Find(ctx context.Context, id string) (Result, bool, error) {
	row, err := c.table.Get(ctx, prefixOperation+id)
	if err != nil || !row.Revision.Exists() {
		return Result{}, false, err
	}
	var result Result
	if err := json.Unmarshal(row.Value, &result); err != nil {
		return Result{}, false, fault.New(fault.CodeInternal, step, "operation row %s: %v", id, err)
	}
	return result, true, nil
}

// Apply commits an operation, with retries. The outcome of its error is either
// fault.NotDone, which is definite, or fault.Unknown; in the second case the caller
// may submit the operation again under the same ID.
func (c *Committer) Apply(ctx context.Context, operation Operation) (Result, error) {
	return c.retry(ctx, operation, c.held)
}

// retry attempts an operation until it succeeds, its error is final or the time is over. Nothing is
// committed while held returns true.
func (c *Committer) retry(ctx context.Context, operation Operation, held func() bool) (Result, error) {
	unresolved := false
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		result, err := c.attempt(ctx, operation, held)
		if err == nil {
			return result, nil
		}
		definite := fault.OutcomeOf(err) == fault.NotDone
		unresolved = unresolved || !definite
		if isFinal(err) {
			return Result{}, err
		}
		if !c.waitToRetry(ctx) {
			return Result{}, timeoutError(err, operation.ID, unresolved)
		}
	}
}

// isFinal reports whether a retry could not change the error.
func isFinal(err error) bool {
	return fault.IsCode(err, fault.CodeConflict) || fault.IsCode(err, fault.CodeInvalid)
}

// waitToRetry sleeps for a random time around retryDelay. It reports false if ctx ended.
func (c *Committer) waitToRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(c.retryDelay/2 + rand.N(c.retryDelay)):
		return true
	}
}

// timeoutError is returned when time has run out. Its outcome is unknown if that of any
// attempt was.
func timeoutError(err error, id string, unresolved bool) error {
	failure := *fault.From(err, step)
	failure.Code = fault.CodeStoreUnavailable
	failure.RetryAfter = ApplyTimeout
	failure.Ran = fault.NotDone
	failure.Message = "not accepted"
	if unresolved {
		failure.Ran = fault.Unknown
		failure.Message = "outcome unknown, ask for operation " + id
	}
	return &failure
}

// attempt reads the log head, then the operation's row, then the objects, and
// commits on the condition that none of them has changed.
func (c *Committer) attempt(ctx context.Context, operation Operation, held func() bool) (Result, error) {
	if held() {
		return Result{}, errHeld()
	}
	head, err := c.table.Get(ctx, keyHead)
	if err != nil {
		return Result{}, notDone(err)
	}
	// The read may have shown that the store has returned with an older copy.
	if held() {
		return Result{}, errHeld()
	}
	earlier, found, err := c.Find(ctx, operation.ID)
	if err != nil {
		return Result{}, notDone(err)
	}
	if found {
		return earlier, nil
	}
	revision, err := headRevision(head)
	if err != nil {
		return Result{}, err
	}
	transaction, result, err := c.buildTransaction(ctx, operation, head, revision+1)
	if fault.IsCode(err, fault.CodeConflict) {
		return c.confirmConflict(ctx, operation.ID, transaction.Conditions, err)
	}
	if err != nil {
		return Result{}, notDone(err)
	}
	_, err = c.table.Commit(ctx, transaction)
	if fault.IsCode(err, fault.CodeConflict) {
		// Another operation, or an earlier attempt of this one, committed after
		// the reads. The next attempt reads again.
		return Result{}, &fault.Error{Code: fault.CodeStoreUnavailable, Step: step, Peer: fault.Self, Ran: fault.NotDone, Cause: err}
	}
	if err != nil {
		return Result{}, err
	}
	return result, nil
}

// confirmConflict checks whether a generation conflict is real. There are two
// other explanations:
//   - The read was stale. A transaction that consists only of conditions on the
//     rows read fails in that case.
//   - An earlier attempt of the same operation was still under way and committed
//     before the object was read. Its operation row then exists by now. If the row
//     is absent, another operation changed the object; this moved the log head, and
//     the earlier attempt, which is conditional on the old head, can never commit.
func (c *Committer) confirmConflict(ctx context.Context, id string, read []table.Condition, conflict error) (Result, error) {
	earlier, found, err := c.Find(ctx, id)
	if err != nil {
		return Result{}, notDone(err)
	}
	if found {
		return earlier, nil
	}
	if _, err := c.table.Commit(ctx, table.Transaction{Conditions: read}); err != nil {
		stale := notDone(err).(*fault.Error)
		stale.Code = fault.CodeStoreUnavailable
		return Result{}, stale
	}
	return Result{}, conflict
}

// notDone marks an error of a read: the attempt had no effect.
func notDone(err error) error {
	return fault.From(err, step).WithOutcome(fault.NotDone)
}

func headRevision(head table.Row) (uint64, error) {
	if !head.Revision.Exists() {
		return 0, nil
	}
	var revision uint64
	if err := json.Unmarshal(head.Value, &revision); err != nil {
		return 0, fault.New(fault.CodeInternal, step, "log head: %v", err)
	}
	return revision, nil
}

func (c *Committer) buildTransaction(ctx context.Context, operation Operation, head table.Row, revision uint64) (table.Transaction, Result, error) {
	entry := wire.Entry{Revision: revision, Operation: operation.ID, Author: operation.Author, Time: time.Now().UTC()}
	result := Result{Operation: operation.ID, Revision: revision}
	transaction := table.Transaction{Conditions: []table.Condition{
		{Key: keyHead, Revision: head.Revision},
		{Key: prefixOperation + operation.ID},
	}}
	for _, change := range operation.Changes {
		if err := c.checkCurrent(ctx, &transaction, revision-1, change.Key, change.Expected); err != nil {
			return transaction, result, err
		}
		object := api.Object{Kind: change.Key.Kind, Name: change.Key.Name, Generation: revision, Spec: change.Spec}
		entry.Changes = append(entry.Changes, wire.Change{Object: object, Deleted: change.Delete})
		transaction.Writes = append(transaction.Writes, objectWrite(prefixObject+change.Key.String(), object, change.Delete))
	}
	for _, requirement := range operation.Requires {
		if err := c.checkCurrent(ctx, &transaction, revision-1, requirement.Key, requirement.Generation); err != nil {
			return transaction, result, err
		}
	}
	result.Entry = &entry
	transaction.Writes = append(transaction.Writes, logWrites(entry)...)
	return transaction, result, nil
}

func objectWrite(key string, object api.Object, deleted bool) table.Write {
	if deleted {
		return table.Write{Key: key, Delete: true}
	}
	return table.Write{Key: key, Value: mustJSON(object)}
}

// checkCurrent checks that an object has the generation that its author saw. If this
// node's copy of the configuration is at the log head, the copy is exact and the
// condition on the head protects the transaction. Otherwise it reads the object's
// row and adds a condition on it.
func (c *Committer) checkCurrent(ctx context.Context, transaction *table.Transaction, head uint64, key api.Key, expected uint64) error {
	if generation, exact := c.local.GenerationAt(head, key); exact && !c.held() {
		return checkGeneration(key, expected, generation)
	}
	row, err := c.table.Get(ctx, prefixObject+key.String())
	if err != nil {
		return err
	}
	var current api.Object
	if row.Revision.Exists() {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fault.New(fault.CodeInternal, step, "object row %s: %v", row.Key, err)
		}
	}
	transaction.Conditions = append(transaction.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
	return checkGeneration(key, expected, current.Generation)
}

func checkGeneration(key api.Key, expected, current uint64) error {
	switch {
	case current == expected:
		return nil
	case current == 0:
		return fault.New(fault.CodeConflict, step, "%s does not exist; you saw generation %d", key, expected)
	case expected == 0:
		return fault.New(fault.CodeConflict, step, "%s exists already at generation %d", key, current)
	default:
		return fault.New(fault.CodeConflict, step, "%s is at generation %d; you saw %d", key, current, expected)
	}
}

func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", prefixLog, revision) }

// mustJSON encodes types of this module, for which encoding cannot fail.
func mustJSON(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
