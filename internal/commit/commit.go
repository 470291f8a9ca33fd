// Package commit is the one way to change the configuration: a transaction in
// the platform's table that appends to the revision log and updates the objects
// if their generations are the ones the author saw.
package commit

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// The keys of the table.
const (
	keyHead         = "log-head"
	prefixLog       = "log/"
	prefixObject    = "object/"
	prefixOperation = "operation/"
)

const (
	step          = "commit operation"
	retryPause    = 50 * time.Millisecond
	resolveWindow = 5 * time.Second
	// callTimeout bounds one call of the table: a connection that went silent answers none,
	// a slow table takes a second or more.
	callTimeout = 2 * time.Second
)

// Change writes or deletes one object. Expected is the generation its author
// saw, zero when the object must not exist yet.
type Change struct {
	Key      api.Key
	Expected uint64
	Spec     json.RawMessage
	Delete   bool
}

// Requirement demands that an object that is not changed still has a generation
// when the operation commits.
type Requirement struct {
	Key        api.Key
	Generation uint64
}

// Operation is a set of changes that commits whole or not at all. The same ID
// asked again gives the first result.
type Operation struct {
	ID       string
	Author   string
	Changes  []Change
	Requires []Requirement
}

// Result tells the revision at which an operation committed.
type Result struct {
	Operation string `json:"operation"`
	Revision  uint64 `json:"revision"`
	// Entry is the log entry, when this call wrote it.
	Entry *wire.Entry `json:"-"`
}

// Known is this node's copy of the configuration.
type Known interface {
	// GenerationAt returns an object's generation, zero if there is none, if the
	// copy is at exactly that revision.
	GenerationAt(revision uint64, key api.Key) (uint64, bool)
}

// Committer writes operations. It holds no state besides the table.
type Committer struct {
	table table.Table
	known Known
	// patience bounds the attempts of one operation, pause is the time between
	// two of them.
	patience time.Duration
	pause    time.Duration
}

// New returns a committer on the table, which saves reads with what is known.
func New(t table.Table, known Known) *Committer {
	return &Committer{table: table.WithTimeout(t, callTimeout), known: known, patience: resolveWindow, pause: retryPause}
}

// Find returns the result of an operation. It reports false when the operation
// is not in the table, which does not prove that it never will be.
func (c *Committer) Find(ctx context.Context, id string) (Result, bool, error) {
	row, err := c.table.Get(ctx, prefixOperation+id)
	if err != nil || row.Revision == 0 {
		return Result{}, false, err
	}
	var result Result
	if err := json.Unmarshal(row.Value, &result); err != nil {
		return Result{}, false, fault.New(fault.CodeInternal, step, "operation row %s: %v", id, err)
	}
	return result, true, nil
}

// Apply commits an operation. Its error is definite (outcome not done) or says
// that the outcome is unknown, in which case the operation may be asked again
// under the same ID.
func (c *Committer) Apply(ctx context.Context, operation Operation) (Result, error) {
	unresolved := false
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	for {
		result, err := c.attempt(ctx, operation)
		if err == nil {
			return result, nil
		}
		definite := fault.OutcomeOf(err) == fault.NotDone
		unresolved = unresolved || !definite
		if isFinal(err) {
			return Result{}, err
		}
		if !c.rest(ctx) {
			return Result{}, lastError(err, operation.ID, unresolved)
		}
	}
}

// isFinal tells errors that a later attempt cannot change.
func isFinal(err error) bool {
	return fault.IsCode(err, fault.CodeConflict) || fault.IsCode(err, fault.CodeInvalid)
}

func (c *Committer) rest(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(c.pause/2 + rand.N(c.pause)):
		return true
	}
}

func lastError(err error, id string, unresolved bool) error {
	failed := *fault.From(err, step)
	failed.Code = fault.CodeStoreUnavailable
	failed.RetryAfter = resolveWindow
	failed.Ran = fault.NotDone
	failed.Message = "not accepted"
	if unresolved {
		failed.Ran = fault.Unknown
		failed.Message = "outcome unknown, ask for operation " + id
	}
	return &failed
}

// attempt reads the head, then the operation's row, then the objects, and
// commits on condition that none of them changed.
func (c *Committer) attempt(ctx context.Context, operation Operation) (Result, error) {
	head, err := c.table.Get(ctx, keyHead)
	if err != nil {
		return Result{}, notDone(err)
	}
	first, found, err := c.Find(ctx, operation.ID)
	if err != nil {
		return Result{}, notDone(err)
	}
	if found {
		return first, nil
	}
	revision, err := headRevision(head)
	if err != nil {
		return Result{}, err
	}
	transaction, result, err := c.build(ctx, operation, head, revision+1)
	if fault.IsCode(err, fault.CodeConflict) {
		return c.confirmConflict(ctx, operation.ID, transaction.Conditions, err)
	}
	if err != nil {
		return Result{}, notDone(err)
	}
	_, err = c.table.Commit(ctx, transaction)
	if fault.IsCode(err, fault.CodeConflict) {
		// Another operation, or an earlier attempt of this one, committed in
		// between: read again.
		return Result{}, &fault.Error{Code: fault.CodeStoreUnavailable, Step: step, Peer: fault.Self, Ran: fault.NotDone, Cause: err}
	}
	if err != nil {
		return Result{}, err
	}
	return result, nil
}

// confirmConflict decides what a generation conflict means. What was read may
// have been old: a transaction that only demands what was read tells. And an
// earlier attempt of the same operation may have been under way: if it committed
// before the object was read, its operation row exists by now; if the row is
// absent, somebody else changed the object, so the log head moved on and the
// earlier attempt, which is conditional on the old head, can never commit.
func (c *Committer) confirmConflict(ctx context.Context, id string, read []table.Condition, conflict error) (Result, error) {
	first, found, err := c.Find(ctx, id)
	if err != nil {
		return Result{}, notDone(err)
	}
	if found {
		return first, nil
	}
	if _, err := c.table.Commit(ctx, table.Transaction{Conditions: read}); err != nil {
		stale := notDone(err).(*fault.Error)
		stale.Code = fault.CodeStoreUnavailable
		return Result{}, stale
	}
	return Result{}, conflict
}

// notDone marks a failed read: this attempt had no effect.
func notDone(err error) error {
	failed := *fault.From(err, step)
	failed.Ran = fault.NotDone
	return &failed
}

func headRevision(head table.Row) (uint64, error) {
	if head.Revision == 0 {
		return 0, nil
	}
	var revision uint64
	if err := json.Unmarshal(head.Value, &revision); err != nil {
		return 0, fault.New(fault.CodeInternal, step, "log head: %v", err)
	}
	return revision, nil
}

func (c *Committer) build(ctx context.Context, operation Operation, head table.Row, revision uint64) (table.Transaction, Result, error) {
	entry := wire.Entry{Revision: revision, Operation: operation.ID, Author: operation.Author, Time: time.Now().UTC()}
	result := Result{Operation: operation.ID, Revision: revision}
	transaction := table.Transaction{Conditions: []table.Condition{
		{Key: keyHead, Revision: head.Revision},
		{Key: prefixOperation + operation.ID},
	}}
	for _, change := range operation.Changes {
		if err := c.require(ctx, &transaction, revision-1, change.Key, change.Expected); err != nil {
			return transaction, result, err
		}
		object := api.Object{Kind: change.Key.Kind, Name: change.Key.Name, Generation: revision, Spec: change.Spec}
		entry.Changes = append(entry.Changes, wire.Change{Object: object, Deleted: change.Delete})
		transaction.Writes = append(transaction.Writes, objectWrite(prefixObject+change.Key.String(), object, change.Delete))
	}
	for _, requirement := range operation.Requires {
		if err := c.require(ctx, &transaction, revision-1, requirement.Key, requirement.Generation); err != nil {
			return transaction, result, err
		}
	}
	result.Entry = &entry
	transaction.Writes = append(transaction.Writes,
		table.Write{Key: keyHead, Value: mustJSON(revision)},
		table.Write{Key: logKey(revision), Value: mustJSON(entry)},
		table.Write{Key: prefixOperation + operation.ID, Value: mustJSON(result)},
	)
	return transaction, result, nil
}

func objectWrite(key string, object api.Object, deleted bool) table.Write {
	if deleted {
		return table.Write{Key: key, Delete: true}
	}
	return table.Write{Key: key, Value: mustJSON(object)}
}

// require checks that an object has the generation its author saw. While this
// node's copy of the configuration is at the log head, that copy is exact and the
// condition on the head makes the transaction safe; else the object's row is read
// and the transaction is conditional on it.
func (c *Committer) require(ctx context.Context, transaction *table.Transaction, head uint64, key api.Key, expected uint64) error {
	if generation, exact := c.known.GenerationAt(head, key); exact {
		return checkGeneration(key, expected, generation)
	}
	row, err := c.table.Get(ctx, prefixObject+key.String())
	if err != nil {
		return err
	}
	var current api.Object
	if row.Revision != 0 {
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

// mustJSON encodes values of this package's own types, which always encode.
func mustJSON(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
