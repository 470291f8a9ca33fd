package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/orders"
)

// slowRunners report after a while, with an error if there is one.
type slowRunners struct {
	acceptingRunners
	after time.Duration
	err   error
}

func (r slowRunners) Report(ctx context.Context, _ backend.Runner) (backend.Report, error) {
	select {
	case <-ctx.Done():
		return backend.Report{}, ctx.Err()
	case <-time.After(r.after):
		return backend.Report{}, r.err
	}
}

// TestFailureWasTakenForLatenessOfTheHolder: a holder that is late with its own work waits longer for
// the report of a suspected runner, and calls the runner silent if it fails, or is silent, all the same.
func TestFailureWasTakenForLatenessOfTheHolder(t *testing.T) {
	for _, test := range []struct {
		name    string
		runners slowRunners
		silent  bool
	}{
		{"late report", slowRunners{after: reportTimeout + 50*time.Millisecond}, false},
		{"error", slowRunners{err: errors.New("not a report")}, true},
		{"no report", slowRunners{after: time.Hour}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := NewController(Options{
				Runners: test.runners, Log: logr.Discard(), Configuration: func() *config.Configuration { return nil },
				Allowance: func() time.Duration { return 200 * time.Millisecond },
			})
			runner := backend.Runner{ID: "r"}
			ledger := orders.NewLedger(runner)
			assert.Assert(t, ledger.Suspect(time.Now()))
			c.token, c.ledgers = 1, map[string]*orders.Ledger{"r": ledger}
			c.inFlight.Add(1)
			c.requestReport(t.Context(), 1, runner)
			assert.Equal(t, ledger.Silent(), test.silent)
		})
	}
}

// TestInvalidReportWasNotCounted: a report that is none is passed over with one line and counted, and what the holder
// believes of the runner stays.
func TestInvalidReportWasNotCounted(t *testing.T) {
	for _, test := range []struct {
		name  string
		code  fault.Code
		count int
	}{{"invalid", fault.CodeInvalid, 1}, {"cut", fault.CodeInterrupted, 0}} {
		t.Run(test.name, func(t *testing.T) {
			count, lines := 0, 0
			c := NewController(Options{
				Runners: slowRunners{err: fault.New(test.code, "read report", "not a report")}, Configuration: func() *config.Configuration { return nil },
				Log: funcr.New(func(_, _ string) { lines++ }, funcr.Options{}), Allowance: func() time.Duration { return 0 },
				CountInvalidReport: func() { count++ },
			})
			runner := backend.Runner{ID: "r"}
			ledger := orders.NewLedger(runner)
			now := time.Now()
			ledger.Reported(backend.Report{Sequence: 3, Models: []backend.Holding{{Model: "m"}}}, now, now)
			c.token, c.ledgers = 1, map[string]*orders.Ledger{"r": ledger}
			c.inFlight.Add(1)
			c.requestReport(t.Context(), 1, runner)
			assert.Equal(t, count, test.count)
			assert.Equal(t, lines, 1)
			assert.Equal(t, ledger.Sequence(), uint64(3))
			assert.Equal(t, len(ledger.Models()), 1)
		})
	}
}
