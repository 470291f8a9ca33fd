package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/fleet"
	"lilacvane/internal/lease"
	"lilacvane/internal/place"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// freeLease is a store whose single row accepts every write.
type freeLease struct{ row table.Row }

func (s *freeLease) Get(context.Context, string) (table.Row, error) { return s.row, nil }

func (s *freeLease) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (s *freeLease) Commit(_ context.Context, change table.Transaction) (table.Revision, error) {
	s.row.Value, s.row.Revision = change.Writes[0].Value, s.row.Revision+1
	return s.row.Revision, nil
}

// noRules excludes no runner and no zone.
type noRules struct{}

func (noRules) Drained(_, _ string) bool { return false }

func (noRules) ZoneOut(place.Zone) bool { return false }

// newLendingController returns a controller of a service with one runner, which lends
// permits under the given terms.
func newLendingController(terms coldstart.Terms) *Controller {
	known := fleet.New("zone", time.Now, noRules{})
	known.Replace([]backend.Runner{{ID: "r1", Service: "s"}}, false)
	options := lease.Options{Validity: time.Minute, Interval: 10 * time.Millisecond, TurnGap: time.Millisecond, CallTimeout: time.Second}
	c := NewController(Options{
		Service: "s", Fleet: known, Log: logr.Discard(), Terms: func(string) coldstart.Terms { return terms },
		Elector: lease.New(&freeLease{}, "lease", "n", "10.0.0.1:1", "p", options, logr.Discard()),
	})
	c.lender = coldstart.NewLender(time.Now().Add(-coldstart.LendingPeriod))
	return c
}

// holdLease makes a controller's node hold the lease until the test ends.
func holdLease(t *testing.T, c *Controller) {
	t.Helper()
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		c.Elector.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		end()
		<-done
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Elector.Acting() {
			return poll.Success()
		}
		return poll.Continue("the lease is not held")
	})
}

// adoptLease makes the controller's ledgers belong to the lease that its node holds.
func adoptLease(t *testing.T, c *Controller) {
	t.Helper()
	token, acts := c.Elector.Act()
	assert.Assert(t, acts)
	c.token = token
}

// TestOnlyTheHolderLends checks that only the holder lends permits, and only for runners
// that it knows, of a service whose runners may be cold.
func TestOnlyTheHolderLends(t *testing.T) {
	request := wire.SyncRequest{Node: "other", Permits: []wire.PermitsWanted{{Runner: "r1", Count: 2}, {Runner: "unknown", Count: 2}}}
	terms := coldstart.NewTerms(6.9, 1.5, 5, 3*time.Second, coldstart.Lent{})
	c := newLendingController(terms)
	assert.Equal(t, len(c.lend(request, time.Now())), 0)
	holdLease(t, c)
	adoptLease(t, c)
	assert.DeepEqual(t, c.lend(request, time.Now()), []wire.PermitsLent{{Runner: "r1", Count: 2}})
	assert.Equal(t, len(c.lend(wire.SyncRequest{Node: "other"}, time.Now())), 0)
	never := newLendingController(coldstart.Terms{})
	holdLease(t, never)
	adoptLease(t, never)
	assert.Equal(t, len(never.lend(request, time.Now())), 0)
}

// TestNoPermitsUnderEarlierLease checks that nothing is lent while the ledgers belong to an
// earlier lease: another holder may have lent permits since then.
func TestNoPermitsUnderEarlierLease(t *testing.T) {
	request := wire.SyncRequest{Node: "other", Permits: []wire.PermitsWanted{{Runner: "r1", Count: 2}}}
	c := newLendingController(coldstart.NewTerms(6.9, 1.5, 5, 3*time.Second, coldstart.Lent{}))
	holdLease(t, c)
	adoptLease(t, c)
	c.token += 2
	assert.Equal(t, len(c.lend(request, time.Now())), 0)
}
