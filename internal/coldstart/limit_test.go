package coldstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// limitWindow is the window in which the tests count sent requests. allowedFactor and
	// allowedExtra are the allowed multiple of the rate in it and the number of requests
	// allowed beyond that.
	limitWindow   = 4 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
)

// maxInWindow returns the largest number of moments that lie in one window.
func maxInWindow(moments []time.Time, span time.Duration) int {
	slices.SortFunc(moments, time.Time.Compare)
	most, first := 0, 0
	for i, at := range moments {
		for at.Sub(moments[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitTerms checks that any rate is kept with whole requests.
func TestLimitTerms(t *testing.T) {
	for rate, want := range map[float64]struct {
		bound  Bound
		period time.Duration
	}{1: {1, time.Second}, 0.25: {1, 4 * time.Second}, 2.5: {2, 800 * time.Millisecond}, 1e300: {maxBound, 0}, 1e-9: {1, MaxDuration}} {
		terms := NewLimit(rate, Lent{})
		assert.Equal(t, terms.Bound, want.bound, "%g", rate)
		assert.Equal(t, terms.Period, want.period, "%g", rate)
	}
}

// TestLentLimitIsKept checks that nodes that always want more permits get the rate on average,
// and no more than a few extra requests in any window, even if permits are spent at any time
// within their validity.
func TestLentLimitIsKept(t *testing.T) {
	for _, rate := range []float64{0.3, 1, 4.5, 40} {
		terms, lender, now := NewLimit(rate, Lent{}), NewLender(start), start.Add(LendingPeriod)
		var sent []time.Time
		end := now.Add(2 * time.Minute)
		for ; now.Before(end); now = now.Add(25 * time.Millisecond) {
			count, _ := lender.LendWithin("r", 1+rand.IntN(5), terms.Bound, terms.Period, now)
			for range count {
				sent = append(sent, now.Add(rand.N(Validity)))
			}
		}
		most, allowed := maxInWindow(sent, limitWindow), rate*allowedFactor*limitWindow.Seconds()+allowedExtra
		assert.Assert(t, float64(most) <= allowed, "%g a second: %d", rate, most)
		assert.Assert(t, math.Abs(float64(len(sent))/120-rate) < 0.1*rate+0.02, "%g a second: %d in 2 min", rate, len(sent))
	}
}

// TestTimeSlotsKeepLimit checks the limit for nodes without a lease holder that all begin to
// send at the same moment.
func TestTimeSlotsKeepLimit(t *testing.T) {
	for _, nodes := range []int{1, 4, 7, 64, 985} {
		for _, rate := range []float64{0.3, 1, 4.5, 40} {
			var sent []time.Time
			for node := range nodes {
				var runner Runner
				terms := NewLimit(rate, TimeSliced{Node: fmt.Sprint("node-", node), Nodes: nodes})
				runner.Sent(start)
				for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
					if runner.MaySend("r", terms, now) {
						runner.Spend(terms, now)
						sent = append(sent, now)
					}
				}
			}
			most, allowed := maxInWindow(sent, limitWindow), rate*allowedFactor*limitWindow.Seconds()+allowedExtra
			assert.Assert(t, float64(most) <= allowed, "%d nodes, %g a second: %d", nodes, rate, most)
		}
	}
}

// TestNextTimeSlot checks that a node may send after the time that Next returns.
func TestNextTimeSlot(t *testing.T) {
	var runner Runner
	terms := NewLimit(1, TimeSliced{Node: "n", Nodes: 4})
	now := start
	for range 5 {
		now = now.Add(rand.N(time.Minute))
		next := runner.Next("r", terms, 0, now)
		assert.Assert(t, runner.MaySend("r", terms, now.Add(next)))
		assert.Assert(t, next <= 8*time.Second)
		now = now.Add(next)
		runner.Spend(terms, now)
		assert.Assert(t, !runner.MaySend("r", terms, now))
	}
}
