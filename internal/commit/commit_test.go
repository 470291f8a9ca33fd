package commit

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// faultyTable is an in-memory table whose calls fail as scripted: done, refused
// without effect, carried out with the answer lost, or carried out later.
type faultyTable struct {
	rows     map[string]table.Row
	revision table.Revision
	script   []string
	delayed  []table.Transaction
	// stale, if not nil, is what reads return.
	stale map[string]table.Row
	// known is the newest revision in the node's catalog.
	known uint64
}

func (f *faultyTable) next() string {
	if len(f.script) == 0 {
		return "done"
	}
	step := f.script[0]
	f.script = f.script[1:]
	return step
}

func unavailable(ran fault.Outcome) error {
	return fault.At(fault.CodeStoreUnavailable, "table", "table", ran, errors.New("scripted"))
}

func (f *faultyTable) Get(_ context.Context, key string) (table.Row, error) {
	if f.next() == "refused" {
		return table.Row{}, unavailable(fault.NotDone)
	}
	if f.stale != nil {
		return f.stale[key], nil
	}
	return f.rows[key], nil
}

func (f *faultyTable) List(context.Context, string, string, int) ([]table.Row, error) {
	return nil, nil
}

func (f *faultyTable) Commit(_ context.Context, transaction table.Transaction) (table.Revision, error) {
	switch f.next() {
	case "refused":
		return 0, unavailable(fault.NotDone)
	case "lost":
		f.apply(transaction)
		return 0, unavailable(fault.Unknown)
	case "later":
		f.delayed = append(f.delayed, transaction)
		return 0, unavailable(fault.Unknown)
	}
	if !f.apply(transaction) {
		return 0, &fault.Error{Code: fault.CodeConflict, Ran: fault.NotDone}
	}
	return f.revision, nil
}

func (f *faultyTable) apply(transaction table.Transaction) bool {
	for _, condition := range transaction.Conditions {
		if f.rows[condition.Key].Revision != condition.Revision {
			return false
		}
	}
	f.revision++
	for _, write := range transaction.Writes {
		f.rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Revision: f.revision}
	}
	return true
}

// GenerationAt makes the table serve as the node's catalog, current or lagging.
func (f *faultyTable) GenerationAt(revision uint64, key api.Key) (uint64, bool) {
	if f.known != revision {
		return 0, false
	}
	row, written := f.rows[prefixObject+key.String()]
	if !written {
		return 0, true
	}
	var generation uint64
	_, _ = fmt.Sscanf(string(row.Value[strings.Index(string(row.Value), `"generation":`):]), `"generation":%d`, &generation)
	return generation, true
}

// TestReportedOutcomeIsTrue checks the reported outcome despite refusals, lost answers
// and delayed transactions: an operation reported as not accepted never takes
// effect, one reported as accepted has, and none takes effect twice.
func TestReportedOutcomeIsTrue(t *testing.T) {
	key := api.Key{Kind: api.KindPolicy, Name: "p"}
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"done", "done", "refused", "lost", "later"}), 0, 12).Draw(t, "script")
		if rapid.Bool().Draw(t, "down") {
			for range 400 {
				steps = append(steps, "refused")
			}
		}
		f := &faultyTable{rows: make(map[string]table.Row), script: steps}
		c := New(f, f, &table.Epochs{}, logr.Discard())
		c.timeout, c.retryDelay = 5*time.Millisecond, time.Millisecond
		operations := []Operation{
			{ID: "a", Changes: []Change{{Key: key, Spec: []byte("1")}}},
			{ID: "b", Changes: []Change{{Key: api.Key{Kind: api.KindPolicy, Name: "q"}, Spec: []byte("2")}}},
			{ID: "c", Changes: []Change{{Key: key, Spec: []byte("3")}}},
		}
		errs := make([]error, len(operations))
		for index, operation := range operations {
			_, errs[index] = c.Apply(context.Background(), operation)
		}
		for _, late := range f.delayed {
			f.apply(late)
		}
		for index, err := range errs {
			id := operations[index].ID
			_, effective := f.rows[prefixOperation+id]
			if err == nil && !effective {
				t.Fatalf("%s was reported as accepted but is not in the table", id)
			}
			if err != nil && fault.OutcomeOf(err) == fault.NotDone && effective {
				t.Fatalf("%s was reported as not accepted but is in the table: %v", id, err)
			}
		}
	})
}

// TestStaleReadIsNoConflict checks that a stale read is not reported as a conflict.
// An operator's change was once refused because of a generation that the object no
// longer had.
func TestStaleReadIsNoConflict(t *testing.T) {
	f := &faultyTable{rows: make(map[string]table.Row)}
	c := New(f, f, &table.Epochs{}, logr.Discard())
	c.timeout, c.retryDelay = 20*time.Millisecond, time.Millisecond
	key := api.Key{Kind: api.KindPolicy, Name: "p"}
	first, err := c.Apply(context.Background(), Operation{ID: "a", Changes: []Change{{Key: key, Spec: []byte("1")}}})
	assert.NilError(t, err)
	f.known = 1000
	f.stale = map[string]table.Row{}
	_, err = c.Apply(context.Background(), Operation{ID: "b", Changes: []Change{{Key: key, Expected: first.Revision, Spec: []byte("2")}}})
	assert.Assert(t, fault.IsCode(err, fault.CodeStoreUnavailable), "%v", err)
	f.stale = nil
	_, err = c.Apply(context.Background(), Operation{ID: "b", Changes: []Change{{Key: key, Expected: first.Revision, Spec: []byte("2")}}})
	assert.NilError(t, err)
}

// silentTable never answers its first Get calls.
type silentTable struct {
	*faultyTable
	silent int
}

func (s *silentTable) Get(ctx context.Context, key string) (table.Row, error) {
	if s.silent > 0 {
		s.silent--
		<-ctx.Done()
		return table.Row{}, fault.At(fault.CodeStoreUnavailable, "table", "table", fault.Unknown, ctx.Err())
	}
	return s.faultyTable.Get(ctx, key)
}

// TestSilentCallLeavesTimeForAnother guards against one unanswered call using up the
// whole timeout of an operator's change, which was then refused although the table
// answered other calls.
func TestSilentCallLeavesTimeForAnother(t *testing.T) {
	f := &faultyTable{rows: make(map[string]table.Row)}
	c := New(&silentTable{faultyTable: f, silent: 2}, f, &table.Epochs{}, logr.Discard())
	_, err := c.Apply(t.Context(), Operation{ID: "a", Changes: []Change{{Key: api.Key{Kind: api.KindPolicy, Name: "p"}, Spec: []byte("1")}}})
	assert.NilError(t, err)
}
