package commit

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// faultyTable is a table in memory whose transactions fail by a script: done,
// refused before the effect, answer lost after it, or carried out later.
type faultyTable struct {
	rows     map[string]table.Row
	revision uint64
	script   []string
	delayed  []table.Transaction
	// known is the newest revision the node's catalog has.
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
	return f.rows[key], nil
}

func (f *faultyTable) List(context.Context, string, string, int) ([]table.Row, error) {
	return nil, nil
}

func (f *faultyTable) Commit(_ context.Context, transaction table.Transaction) error {
	switch f.next() {
	case "refused":
		return unavailable(fault.NotDone)
	case "lost":
		f.apply(transaction)
		return unavailable(fault.Unknown)
	case "later":
		f.delayed = append(f.delayed, transaction)
		return unavailable(fault.Unknown)
	}
	if !f.apply(transaction) {
		return &fault.Error{Code: fault.CodeConflict, Ran: fault.NotDone}
	}
	return nil
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

// GenerationAt makes the table its own catalog: exact, or lagging.
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

// TestAnswersAreTrue: through refusals, lost answers and transactions carried out
// late, an operation called not accepted never takes effect, one called accepted
// has, and none takes effect twice. It failed first: operations of a batch whose
// outcome was unknown were called not accepted when the table then went down.
func TestAnswersAreTrue(t *testing.T) {
	key := api.Key{Kind: api.KindPolicy, Name: "p"}
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"done", "done", "refused", "lost", "later"}), 0, 12).Draw(t, "script")
		if rapid.Bool().Draw(t, "down") {
			for range 400 {
				steps = append(steps, "refused")
			}
		}
		f := &faultyTable{rows: make(map[string]table.Row), script: steps}
		c := New(f, f)
		c.patience, c.pause = 5*time.Millisecond, time.Millisecond
		operations := []Operation{
			{ID: "a", Changes: []Change{{Key: key, Spec: []byte("1")}}},
			{ID: "b", Changes: []Change{{Key: api.Key{Kind: api.KindPolicy, Name: "q"}, Spec: []byte("2")}}},
			{ID: "c", Changes: []Change{{Key: key, Spec: []byte("3")}}},
		}
		outcomes := c.ApplyAll(context.Background(), operations)
		for _, late := range f.delayed {
			f.apply(late)
		}
		for index, outcome := range outcomes {
			id := operations[index].ID
			_, effective := f.rows[prefixOperation+id]
			if outcome.Err == nil && !effective {
				t.Fatalf("%s was called accepted", id)
			}
			if outcome.Err != nil && fault.OutcomeOf(outcome.Err) == fault.NotDone && effective {
				t.Fatalf("%s was called not accepted: %v", id, outcome.Err)
			}
		}
	})
}

// TestBatchCommitsTogether: operations that do not conflict go in one
// transaction, one that conflicts with an earlier one of the batch is refused.
func TestBatchCommitsTogether(t *testing.T) {
	f := &faultyTable{rows: make(map[string]table.Row)}
	c := New(f, f)
	key := func(name string) api.Key { return api.Key{Kind: api.KindPolicy, Name: name} }
	outcomes := c.ApplyAll(context.Background(), []Operation{
		{ID: "a", Changes: []Change{{Key: key("p"), Spec: []byte("1")}}},
		{ID: "b", Changes: []Change{{Key: key("q"), Spec: []byte("1")}}},
		{ID: "c", Changes: []Change{{Key: key("p"), Spec: []byte("1")}}},
	})
	assert.NilError(t, outcomes[0].Err)
	assert.NilError(t, outcomes[1].Err)
	assert.Assert(t, fault.IsCode(outcomes[2].Err, fault.CodeConflict), "%v", outcomes[2].Err)
	assert.Equal(t, f.revision, uint64(1))
	assert.Equal(t, outcomes[1].Result.Revision, uint64(2))
}
