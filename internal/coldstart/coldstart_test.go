package coldstart

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestTermsOfNonsense: rates of zero and less, and such as are no numbers, make no runner
// cold; what is huge is bounded.
func TestTermsOfNonsense(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		assert.Equal(t, NewTerms(rate, 1.5, 5, time.Second, Lent{}), Terms{}, "rate %g", rate)
	}
	assert.Equal(t, NewTerms(6.9, 1.5, 5, time.Second, Lent{}).Bound, Bound(15))
	assert.Equal(t, NewTerms(0.5, 1, 0, time.Second, Lent{}).Bound, Bound(0))
	assert.Equal(t, NewTerms(1e300, 1e300, 0, time.Second, Lent{}).Bound, Bound(largestBound))
	assert.Equal(t, NewTerms(6.9, math.NaN(), 5, time.Second, Lent{}).Bound, Bound(0))
	assert.Equal(t, NewTerms(6.9, 1, 5, math.MaxInt64, Lent{}).Start, Longest)
	assert.Equal(t, NewTerms(6.9, 1, 5, -1, Lent{}).Start, time.Duration(0))
	var runner Runner
	runner.Hear(Word{For: math.MaxInt64}, start)
	assert.Equal(t, runner.Until(NewTerms(6.9, 1, 5, 0, Lent{}), time.Time{}), start.Add(Longest))
}

// TestNewRunnerIsSupposedCold: a runner that came while the node ran is cold for its start
// though its first row does not say so, until a later row says that it is not.
func TestNewRunnerIsSupposedCold(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	runner.Hear(Word{}, start)
	assert.Equal(t, runner.Until(terms, time.Time{}), start.Add(3*time.Second))
	assert.Assert(t, !runner.Said())
	runner.Hear(Word{Proof: true}, start.Add(time.Second))
	assert.Assert(t, !runner.Until(terms, time.Time{}).After(start.Add(time.Second)))
	runner.Hear(Word{For: 2 * time.Second, Proof: true}, start.Add(5*time.Second))
	assert.Equal(t, runner.Until(terms, time.Time{}), start.Add(7*time.Second), "it became cold again")
	assert.Assert(t, runner.Said())
	assert.Assert(t, runner.Until(Terms{}, time.Time{}).IsZero(), "no runner of its service is cold")
}

// TestReturnedZoneIsCold: until a row that was heard after the return says otherwise.
func TestReturnedZoneIsCold(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	runner.Hear(Word{Proof: true}, start)
	returned := start.Add(time.Second)
	assert.Equal(t, runner.Until(terms, returned), returned.Add(3*time.Second))
	runner.Hear(Word{Proof: true}, returned.Add(time.Second))
	assert.Assert(t, !runner.Until(terms, returned).After(returned.Add(time.Second)))
}

// TestPermitEndsByItsQuestion: a permit that was long on its way is worth nothing.
func TestPermitEndsByItsQuestion(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	runner.Lent(2, start, 0, start.Add(Validity-time.Millisecond))
	assert.Assert(t, runner.May("r", terms, start.Add(Validity-time.Millisecond)))
	assert.Assert(t, !runner.May("r", terms, start.Add(Validity)))
	runner.Lent(2, start, 0, start.Add(Validity))
	assert.Equal(t, runner.Permits(start.Add(Validity)), 0)
}

// TestNewHolderWaits: it lends nothing until what the one before it lent has run out.
func TestNewHolderWaits(t *testing.T) {
	lender := NewLender(start)
	count, next := lender.Lend("r", 1, 15, start.Add(Held-time.Millisecond))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, time.Millisecond)
	count, next = lender.Lend("r", 100, 15, start.Add(Held))
	assert.Equal(t, count, 5, "not all to one node")
	assert.Equal(t, next, time.Duration(0))
	lender.Lend("r", 5, 15, start.Add(Held))
	lender.Lend("r", 5, 15, start.Add(Held))
	count, next = lender.Lend("r", 5, 15, start.Add(Held))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, Held)
	count, next = lender.Lend("none", 5, 0, start.Add(Held))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, Longest, "the bound allows none")
}

// TestLentCountsUntilItRanOut: what is lent may be spent at the end of its time, so nothing
// takes its place until a second after that.
func TestLentCountsUntilItRanOut(t *testing.T) {
	lender := NewLender(start)
	now := start.Add(Held)
	count, _ := lender.Lend("r", 1, 1, now)
	assert.Equal(t, count, 1)
	var runner Runner
	runner.Lent(1, now, 0, now)
	terms := NewTerms(1, 1, 0, time.Minute, Lent{})
	spent := now.Add(Validity - 1)
	assert.Assert(t, runner.May("r", terms, spent))
	count, next := lender.Lend("r", 1, 1, spent.Add(Second))
	assert.Equal(t, count, 0)
	assert.Equal(t, next, time.Duration(1))
	count, _ = lender.Lend("r", 1, 1, now.Add(Held+1))
	assert.Equal(t, count, 1)
}

// TestLenderForgets: runners that nothing is lent for take no room.
func TestLenderForgets(t *testing.T) {
	lender := NewLender(start)
	now := start.Add(Held)
	lender.Lend("gone", 1, 15, now)
	lender.Lend("r", 1, 15, now.Add(2*Held))
	assert.Equal(t, len(lender.runners), 1)
}

// TestShareGrowsWithAnswers: a runner that was cold just now gets more at once with each
// prompt answer, and is like any other after a while.
func TestShareGrowsWithAnswers(t *testing.T) {
	terms := NewTerms(6.9, 1.5, 5, 3*time.Second, Lent{})
	var runner Runner
	_, warming := runner.Warming(time.Time{}, terms, start)
	assert.Assert(t, !warming, "it never was cold")
	share, warming := runner.Warming(start, terms, start)
	assert.Assert(t, warming && share == firstShare)
	runner.Answered(true)
	runner.Answered(false)
	share, warming = runner.Warming(start, terms, start)
	assert.Assert(t, warming && share == firstShare+1)
	_, warming = runner.Warming(start, terms, start.Add(warmingStarts*3*time.Second))
	assert.Assert(t, !warming)
}
