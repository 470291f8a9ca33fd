package table

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// silentReads is a table that answers no reads.
type silentReads struct {
	Table
	committed []Transaction
}

func (s *silentReads) Get(ctx context.Context, _ string) (Row, error) {
	<-ctx.Done()
	return Row{}, ctx.Err()
}

func (s *silentReads) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	s.committed = append(s.committed, transaction)
	return NewRevision(FirstEpoch+1, 1), ctx.Err()
}

// TestUnreadMarkerKeptTransactionsBack: the first transaction of an epoch failed where its marker could not be
// read in time.
func TestUnreadMarkerKeptTransactionsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epochs, rows := &Epochs{}, &silentReads{}
		epochs.Observe(FirstEpoch + 1)
		ctx, cancel := context.WithTimeout(t.Context(), 4*markerTimeout)
		defer cancel()
		began := time.Now()
		_, err := NewFenced(rows, epochs).Commit(ctx, Transaction{Writes: []Write{{Key: "row"}}})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), markerTimeout)
		assert.Equal(t, len(rows.committed), 1)
		assert.DeepEqual(t, rows.committed[0].Writes, []Write{{Key: "row"}, {Key: marker(1), Value: []byte(beginningUnknown)}, {Key: marker(2), Value: []byte(beginningUnknown)}})
	})
}

// TestBeginningOfEpoch checks what the marker of an epoch tells a process that starts.
func TestBeginningOfEpoch(t *testing.T) {
	marked := func(value string) beginning {
		return beginning{marker: Row{Value: []byte(value), Revision: NewRevision(2, 1), ReadAt: 5 * time.Second}}
	}
	for name, test := range map[string]struct {
		begun beginning
		age   time.Duration
	}{
		"written two seconds ago": {marked("3000"), 2 * time.Second},
		"the table was empty":     {marked("0"), SettlingPeriod},
		"the table is empty":      {beginning{empty: true}, SettlingPeriod},
		"nothing written yet":     {beginning{marker: Row{ReadAt: 5 * time.Second}}, 0},
		"not known":               {marked(beginningUnknown), 0},
	} {
		age, err := test.begun.age()
		assert.NilError(t, err, name)
		assert.Equal(t, age, test.age, name)
	}
	_, err := marked("x").age()
	assert.ErrorContains(t, err, "invalid syntax")
}
