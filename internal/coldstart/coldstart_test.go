package coldstart

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestInvalidTerms checks that rates that are zero, negative or not finite make no runner
// cold, and that huge values are limited.
func TestInvalidTerms(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		assert.Equal(t, NewTerms(rate, 1.5, 5, time.Second, Lent{}), Terms{}, "rate %g", rate)
	}
	assert.Equal(t, NewTerms(6.9, 1.5, 5, time.Second, Lent{}).Bound, Bound(15))
	assert.Equal(t, NewTerms(0.5, 1, 0, time.Second, Lent{}).Bound, Bound(0))
	assert.Equal(t, NewTerms(1e300, 1e300, 0, time.Second, Lent{}).Bound, Bound(maxBound))
	assert.Equal(t, NewTerms(6.9, math.NaN(), 5, time.Second, Lent{}).Bound, Bound(0))
	assert.Equal(t, NewTerms(6.9, 1, 5, math.MaxInt64, Lent{}).Start, MaxDuration)
	assert.Equal(t, NewTerms(6.9, 1, 5, -1, Lent{}).Start, time.Duration(0))
	var runner Runner
	runner.ApplyStatus(Status{ColdFor: math.MaxInt64}, start)
	assert.Equal(t, runner.Until(NewTerms(6.9, 1, 5, 0, Lent{}), time.Time{}), start.Add(MaxDuration))
}

// TestNewRunnerIsSupposedCold checks that a runner that appeared while the node was running
// counts as cold for its cold start time, although its first row does not say so, until a
// later row says that it is not.
func TestNewRunnerIsSupposedCold(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	runner.ApplyStatus(Status{}, start)
	assert.Equal(t, runner.Until(terms, time.Time{}), start.Add(3*time.Second))
	assert.Assert(t, !runner.StatedByRunner())
	runner.ApplyStatus(Status{Conclusive: true}, start.Add(time.Second))
	assert.Assert(t, !runner.Until(terms, time.Time{}).After(start.Add(time.Second)))
	runner.ApplyStatus(Status{ColdFor: 2 * time.Second, Conclusive: true}, start.Add(5*time.Second))
	assert.Equal(t, runner.Until(terms, time.Time{}), start.Add(7*time.Second), "the runner became cold again")
	assert.Assert(t, runner.StatedByRunner())
	assert.Assert(t, runner.Until(Terms{}, time.Time{}).IsZero(), "the zero terms have no cold start")
}

// TestReturnedZoneIsCold checks that a runner counts as cold after its zone returned, until a
// row received after the return says otherwise.
func TestReturnedZoneIsCold(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	runner.ApplyStatus(Status{Conclusive: true}, start)
	returned := start.Add(time.Second)
	assert.Equal(t, runner.Until(terms, returned), returned.Add(3*time.Second))
	runner.ApplyStatus(Status{Conclusive: true}, returned.Add(time.Second))
	assert.Assert(t, !runner.Until(terms, returned).After(returned.Add(time.Second)))
}

// TestPermitExpiresByRequestTime checks that the validity of a permit counts from the node's
// request for it, so that one delayed on the way has expired.
func TestPermitExpiresByRequestTime(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	runner.AddPermits(2, start, 0, start.Add(Validity-time.Millisecond))
	assert.Assert(t, runner.MaySend("r", terms, start.Add(Validity-time.Millisecond)))
	assert.Assert(t, !runner.MaySend("r", terms, start.Add(Validity)))
	runner.AddPermits(2, start, 0, start.Add(Validity))
	assert.Equal(t, runner.Permits(start.Add(Validity)), 0)
}

// TestNewHolderWaits checks that a new lease holder lends nothing until the permits of the
// previous holder have expired.
func TestNewHolderWaits(t *testing.T) {
	lender := NewLender(start)
	count, next := lender.Lend("r", 1, 15, start.Add(LendingPeriod-time.Millisecond))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, time.Millisecond)
	count, next = lender.Lend("r", 100, 15, start.Add(LendingPeriod))
	assert.Equal(t, count, 5, "one node must not get all permits")
	assert.Equal(t, next, time.Duration(0))
	lender.Lend("r", 5, 15, start.Add(LendingPeriod))
	lender.Lend("r", 5, 15, start.Add(LendingPeriod))
	count, next = lender.Lend("r", 5, 15, start.Add(LendingPeriod))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, LendingPeriod)
	count, next = lender.Lend("none", 5, 0, start.Add(LendingPeriod))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, MaxDuration, "the bound allows none")
}

// TestLentCountsUntilItRanOut checks that a permit counts as lent until one window after its
// expiry, as it may be spent at the last moment of its validity.
func TestLentCountsUntilItRanOut(t *testing.T) {
	lender := NewLender(start)
	now := start.Add(LendingPeriod)
	count, _ := lender.Lend("r", 1, 1, now)
	assert.Equal(t, count, 1)
	var runner Runner
	runner.AddPermits(1, now, 0, now)
	terms := NewTerms(1, 1, 0, time.Minute, Lent{})
	spent := now.Add(Validity - 1)
	assert.Assert(t, runner.MaySend("r", terms, spent))
	count, next := lender.Lend("r", 1, 1, spent.Add(Window))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, time.Duration(1))
	count, _ = lender.Lend("r", 1, 1, now.Add(LendingPeriod+1))
	assert.Equal(t, count, 1)
}

// TestLenderRemovesRunners checks that runners without unexpired permits are removed.
func TestLenderRemovesRunners(t *testing.T) {
	lender := NewLender(start)
	now := start.Add(LendingPeriod)
	lender.Lend("gone", 1, 15, now)
	lender.Lend("r", 1, 15, now.Add(2*LendingPeriod))
	assert.Equal(t, len(lender.runners), 1)
}

// TestShareGrowsWithAnswers checks that the allowance of a runner that was cold recently grows
// with each prompt answer, and that the limit ends after a while.
func TestShareGrowsWithAnswers(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	_, warming := runner.Warming(time.Time{}, terms, start)
	assert.Assert(t, !warming, "the runner was never cold")
	allowance, warming := runner.Warming(start, terms, start)
	assert.Assert(t, warming && allowance == initialAllowance)
	runner.Answered(true)
	runner.Answered(false)
	allowance, warming = runner.Warming(start, terms, start)
	assert.Assert(t, warming && allowance == initialAllowance+1)
	_, warming = runner.Warming(start, terms, start.Add(warmingStarts*3*time.Second))
	assert.Assert(t, !warming)
}
