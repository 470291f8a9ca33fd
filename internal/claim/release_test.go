package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// lateTable is a table whose first write gets no answer and takes effect after late, if its conditions hold then.
type lateTable struct {
	late time.Duration

	mu       sync.Mutex
	rows     map[string]table.Row
	revision table.Revision
	commits  int
}

func (l *lateTable) Get(ctx context.Context, key string) (table.Row, error) {
	if err := ctx.Err(); err != nil {
		return table.Row{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows[key], nil
}

func (l *lateTable) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (l *lateTable) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	l.mu.Lock()
	l.commits++
	first := l.commits == 1
	l.mu.Unlock()
	if !first {
		return l.apply(transaction)
	}
	time.AfterFunc(l.late, func() { _, _ = l.apply(transaction) })
	<-ctx.Done()
	return 0, fault.At(fault.CodeStoreUnavailable, "commit", "store", fault.Unknown, ctx.Err())
}

func (l *lateTable) apply(transaction table.Transaction) (table.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, condition := range transaction.Conditions {
		if l.rows[condition.Key].Revision != condition.Revision {
			return 0, &fault.Error{Code: fault.CodeConflict, Ran: fault.NotDone}
		}
	}
	l.revision++
	for _, write := range transaction.Writes {
		delete(l.rows, write.Key)
		if !write.Delete {
			l.rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Revision: l.revision}
		}
	}
	return l.revision, nil
}

// count returns the number of rows.
func (l *lateTable) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.rows)
}

// newLateClaims returns claims in such a table, which nobody else is told of.
func newLateClaims(late time.Duration) (*Claims, *lateTable) {
	rows := &lateTable{late: late, rows: make(map[string]table.Row)}
	return New(Options{
		Table: rows, Epochs: &table.Epochs{}, Fallback: func() []string { return nil }, Log: logr.Discard(),
		Send: func(context.Context, string, wire.ClaimRequest) error { return nil },
	}), rows
}

// TestClaimGivenUpStayedClaimed: nobody waits any longer for a claim whose write takes effect only later. Its caller is told at
// once, the claim is deleted when it appears, and another attempt gets the key.
func TestClaimGivenUpStayedClaimed(t *testing.T) {
	for _, late := range []time.Duration{50 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			claims, rows := newLateClaims(late)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			begun := time.Now()
			err := claims.Take(ctx, "key", "first")
			assert.Equal(t, time.Since(begun), 100*time.Millisecond)
			assert.Assert(t, fault.IsCode(err, fault.CodeClaimsUnavailable), "%v", err)
			assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
			time.Sleep(releasePeriod)
			assert.Equal(t, rows.count(), 0)
			assert.NilError(t, claims.Take(t.Context(), "key", "second"))
		})
	}
}

// TestReleaseTookKeyOfNextAttempt: another attempt gets the key before the late write of the one that was given up. It keeps the
// key, so that no third one gets it.
func TestReleaseTookKeyOfNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claims, _ := newLateClaims(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.Assert(t, claims.Take(ctx, "key", "first") != nil)
		assert.NilError(t, claims.Take(t.Context(), "key", "second"))
		claims.calls.Wait()
		err := claims.Take(t.Context(), "key", "third")
		assert.Assert(t, fault.IsCode(err, fault.CodeDuplicate), "%v", err)
	})
}
