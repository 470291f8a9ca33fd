package commit

import (
	"context"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// Outcome is the result of one operation of a batch, or its error.
type Outcome struct {
	Result Result
	Err    error
}

// ApplyAll commits operations together where it can: one transaction with a log
// entry for each. What does not fit into it (the catalog lags, an operation
// conflicts or was committed before, the transaction's outcome is unknown) is
// applied on its own, which resolves all of these.
func (c *Committer) ApplyAll(ctx context.Context, operations []Operation) []Outcome {
	outcomes := make([]Outcome, len(operations))
	together, unresolved := c.applyTogether(ctx, operations)
	for index, operation := range operations {
		if result, done := together[operation.ID]; done {
			outcomes[index] = Outcome{Result: result}
			continue
		}
		result, err := c.Resolve(ctx, operation, unresolved)
		outcomes[index] = Outcome{Result: result, Err: err}
	}
	return outcomes
}

// applyTogether tries one transaction and returns the results of the operations
// that it committed, or that it is unknown whether it committed any.
func (c *Committer) applyTogether(ctx context.Context, operations []Operation) (map[string]Result, bool) {
	if len(operations) < 2 {
		return nil, false
	}
	head, err := c.table.Get(ctx, keyHead)
	if err != nil {
		return nil, false
	}
	revision, err := headRevision(head)
	if err != nil {
		return nil, false
	}
	b := &batch{
		known: c.known, base: revision, next: revision, results: make(map[string]Result), written: make(map[api.Key]uint64),
		transaction: table.Transaction{Conditions: []table.Condition{{Key: keyHead, Revision: head.Revision}}},
	}
	for _, operation := range operations {
		b.add(operation)
	}
	if len(b.results) == 0 {
		return nil, false
	}
	b.transaction.Writes = append(b.transaction.Writes, table.Write{Key: keyHead, Value: mustJSON(b.next)})
	if err := c.table.Commit(ctx, b.transaction); err != nil {
		return nil, fault.OutcomeOf(err) == fault.Unknown
	}
	return b.results, false
}

// batch is a transaction in the making.
type batch struct {
	known       Known
	base        uint64
	next        uint64
	transaction table.Transaction
	results     map[string]Result
	// written holds the generations of objects written by the batch, zero for
	// those it deletes.
	written map[api.Key]uint64
}

// add takes an operation in if its generations hold after those before it.
func (b *batch) add(operation Operation) {
	if _, twice := b.results[operation.ID]; twice || !b.holds(operation) {
		return
	}
	b.next++
	entry := wire.Entry{Revision: b.next, Operation: operation.ID, Author: operation.Author, Time: time.Now().UTC()}
	result := Result{Operation: operation.ID, Revision: b.next, Entry: &entry}
	for _, change := range operation.Changes {
		object := api.Object{Kind: change.Key.Kind, Name: change.Key.Name, Generation: b.next, Spec: change.Spec}
		entry.Changes = append(entry.Changes, wire.Change{Object: object, Deleted: change.Delete})
		b.transaction.Writes = append(b.transaction.Writes, objectWrite(prefixObject+change.Key.String(), object, change.Delete))
		b.written[change.Key] = b.next
		if change.Delete {
			b.written[change.Key] = 0
		}
	}
	b.transaction.Conditions = append(b.transaction.Conditions, table.Condition{Key: prefixOperation + operation.ID})
	b.transaction.Writes = append(b.transaction.Writes,
		table.Write{Key: logKey(b.next), Value: mustJSON(entry)},
		table.Write{Key: prefixOperation + operation.ID, Value: mustJSON(result)},
	)
	b.results[operation.ID] = result
}

func (b *batch) holds(operation Operation) bool {
	for _, change := range operation.Changes {
		if !b.holdsAt(change.Key, change.Expected) {
			return false
		}
	}
	for _, requirement := range operation.Requires {
		if !b.holdsAt(requirement.Key, requirement.Generation) {
			return false
		}
	}
	return true
}

func (b *batch) holdsAt(key api.Key, expected uint64) bool {
	if generation, written := b.written[key]; written {
		return generation == expected
	}
	generation, exact := b.known.GenerationAt(b.base, key)
	return exact && generation == expected
}

// Bounds of a batch: operations, and how long the first waits for others.
const (
	batchOperations = 64
	batchWindow     = 20 * time.Millisecond
)

// Queue gathers operations into batches. It is safe for concurrent use.
type Queue struct {
	committer *Committer
	waiting   chan queued
	committed func([]wire.Entry)
}

type queued struct {
	ctx       context.Context
	operation Operation
	outcome   chan Outcome
}

// NewQueue returns a queue; committed hears of the entries of each batch before
// their authors do.
func NewQueue(committer *Committer, committed func([]wire.Entry)) *Queue {
	return &Queue{committer: committer, waiting: make(chan queued), committed: committed}
}

// Apply commits an operation with others that come at about the same time.
func (q *Queue) Apply(ctx context.Context, operation Operation) (Result, error) {
	entry := queued{ctx: ctx, operation: operation, outcome: make(chan Outcome, 1)}
	select {
	case q.waiting <- entry:
	case <-ctx.Done():
		return Result{}, fault.New(fault.CodeStoreUnavailable, step, "not accepted, the queue is busy").WithRetryAfter(resolveWindow)
	}
	outcome := <-entry.outcome
	return outcome.Result, outcome.Err
}

// Run commits batches until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-q.waiting:
			q.commit(q.gather(first))
		}
	}
}

func (q *Queue) gather(first queued) []queued {
	gathered := []queued{first}
	window := time.After(batchWindow)
	for len(gathered) < batchOperations {
		select {
		case next := <-q.waiting:
			gathered = append(gathered, next)
		case <-window:
			return gathered
		}
	}
	return gathered
}

// commit commits a batch. Each operation is bounded by resolveWindow, not by its
// author's patience, since they go together.
func (q *Queue) commit(gathered []queued) {
	operations := make([]Operation, len(gathered))
	for index, entry := range gathered {
		operations[index] = entry.operation
	}
	ctx, cancel := context.WithTimeout(context.Background(), resolveWindow)
	defer cancel()
	outcomes := q.committer.ApplyAll(ctx, operations)
	var entries []wire.Entry
	for _, outcome := range outcomes {
		if outcome.Err == nil && outcome.Result.Entry != nil {
			entries = append(entries, *outcome.Result.Entry)
		}
	}
	q.committed(entries)
	for index, entry := range gathered {
		entry.outcome <- outcomes[index]
	}
}
