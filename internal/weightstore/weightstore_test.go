package weightstore

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const step = 20 * time.Millisecond

// store simulates a weight store with a capacity in virtual time. Like the real store, it
// fixes the duration of a load when it begins, by the number of active loads.
type store struct {
	capacity float64
	ends     map[string]time.Time
	now      time.Time
	next     int
}

func newStore(capacity float64) *store {
	return &store{capacity: capacity, ends: make(map[string]time.Time), now: time.Unix(1000, 0)}
}

func (s *store) begin(e *Estimator, nominal time.Duration) {
	s.next++
	runner := fmt.Sprint("r", s.next)
	slowdown := max(1, float64(len(s.ends)+1)/s.capacity)
	s.ends[runner] = s.now.Add(time.Duration(float64(nominal) * slowdown))
	e.Begin(runner, nominal, s.now)
}

// run keeps as many loads active as the estimator allows, for a time. It returns the highest
// number of concurrent loads, and how many ended.
func (s *store) run(e *Estimator, nominal, lag, length time.Duration) (most, ended int) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		e.Follow(0, s.now)
		for e.Free() > 0 {
			s.begin(e, nominal)
		}
		most = max(most, len(s.ends))
		for runner, at := range s.ends {
			if !s.now.Before(at.Add(lag)) {
				delete(s.ends, runner)
				e.End(runner, lag, s.now)
				ended++
			}
		}
	}
	return most, ended
}

// TestLimitFindsCapacity checks that the limit converges near the store's capacity, for short
// and long loads.
func TestLimitFindsCapacity(t *testing.T) {
	for _, capacity := range []float64{1, 4, 7, 13} {
		for _, nominal := range []time.Duration{1300 * time.Millisecond, 6 * time.Second} {
			e := New(Estimate{})
			newStore(capacity).run(e, nominal, 0, 40*nominal)
			got := float64(e.Estimate().Limit)
			assert.Assert(t, got >= capacity-1 && got <= capacity*slowFactor+2, "capacity %v, loads of %v: %+v", capacity, nominal, e.Estimate())
		}
	}
}

// TestLimitRisesWithoutBound checks that the limit rises to its maximum if loads never slow
// each other.
func TestLimitRisesWithoutBound(t *testing.T) {
	e := New(Estimate{})
	newStore(math.Inf(1)).run(e, time.Second, 0, 20*time.Second)
	assert.Equal(t, e.Estimate(), Estimate{Limit: maxLimit})
}

// TestLimitFollowsChange checks that the limit follows a capacity that falls or rises, also if
// a new estimator continues from the estimate of another.
func TestLimitFollowsChange(t *testing.T) {
	const nominal = 2 * time.Second
	e := New(Estimate{})
	s := newStore(13)
	s.run(e, nominal, 0, 60*nominal)
	s.capacity = 4
	e = New(e.Estimate())
	s.ends = make(map[string]time.Time)
	s.run(e, nominal, 0, 60*nominal)
	assert.Assert(t, e.Estimate().Limit <= 6, "%+v", e.Estimate())
	s.capacity = 10
	s.run(e, nominal, 0, 200*nominal)
	assert.Assert(t, e.Estimate().Limit >= 8, "%+v", e.Estimate())
}

// TestImpossibleTimes checks that loads that end at once, never or twice leave the limit
// within its range.
func TestImpossibleTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Estimate{Limit: rapid.IntRange(-3, 90).Draw(t, "limit"), Capacity: 0})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-1000, 20_000).Draw(t, "ms")) * time.Millisecond)
			runner := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "runner"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				e.Begin(runner, time.Duration(rapid.IntRange(0, 9000).Draw(t, "nominal"))*time.Millisecond, now)
			case 1:
				e.End(runner, 100*time.Millisecond, now)
			case 2:
				e.Drop(runner)
			case 3:
				e.Follow(rapid.IntRange(0, 4).Draw(t, "foreign"), now)
			}
			assert.Assert(t, e.Estimate().Limit >= 1 && e.Free() >= 0 && e.NextFree(now) >= 0)
			assert.Assert(t, e.Slowdown(e.UnderWay()) >= 1)
		}
	})
}

// TestStartNeitherJamsNorStarves checks the start with maximum demand: within the first few
// nominal times the store does nearly as much as it can, and it never gets more than twice the
// loads that it carries, or the initial limit.
func TestStartNeitherJamsNorStarves(t *testing.T) {
	const nominal = 6 * time.Second
	for _, c := range []struct {
		capacity float64
		// ended is the minimum number of loads that end within five nominal times.
		ended int
	}{
		{1, 4}, {2, 8}, {6, 22}, {10, 32}, {64, 70},
	} {
		e := New(Estimate{})
		most, ended := newStore(c.capacity).run(e, nominal, 100*time.Millisecond, 5*nominal+time.Second)
		assert.Assert(t, float64(most) <= max(initialLimit, 2*slowFactor*c.capacity) && ended >= c.ended, "%+v: most %d, ended %d", c, most, ended)
	}
}

// TestOverdueLoadBoundsCapacity checks that a load still active after its nominal time lowers
// the limit before it ends.
func TestOverdueLoadBoundsCapacity(t *testing.T) {
	const nominal = 6 * time.Second
	e, s := New(Estimate{Limit: 16}), newStore(2)
	for range 16 {
		s.begin(e, nominal)
	}
	e.Follow(0, s.now.Add(nominal))
	assert.Equal(t, e.Estimate().Limit, 16)
	e.Follow(0, s.now.Add(2*nominal))
	assert.Assert(t, e.Estimate().Limit <= 3, "%+v", e.Estimate())
}

// TestProofCountsForItsNumber checks that loads that began before the limit rose don't raise
// the new limit again. Each of them once doubled it: 2, 4, 8, 16 from two concurrent loads.
func TestProofCountsForItsNumber(t *testing.T) {
	const nominal = time.Second
	e, s := New(Estimate{}), newStore(4)
	for range initialLimit {
		s.begin(e, nominal)
	}
	for i := range initialLimit {
		e.End(fmt.Sprint("r", i+1), 0, s.now.Add(nominal))
	}
	assert.Equal(t, e.Estimate(), Estimate{Limit: 2 * initialLimit})
}

// TestPromisedTimesHold checks that the predicted duration of a load is within 15 % of the
// actual one in the median.
func TestPromisedTimesHold(t *testing.T) {
	const nominal = 3 * time.Second
	for _, capacity := range []float64{2, 6, 13} {
		e, s := New(Estimate{}), newStore(capacity)
		s.run(e, nominal, 0, 20*nominal)
		var errors []float64
		for range 40 {
			s.run(e, nominal, 0, nominal/3)
			if e.Free() > 0 {
				predicted := e.Slowdown(e.UnderWay() + 1)
				errors = append(errors, math.Abs(predicted/max(1, float64(len(s.ends)+1)/capacity)-1))
				s.begin(e, nominal)
			}
		}
		slices.Sort(errors)
		assert.Assert(t, len(errors) == 0 || errors[len(errors)/2] <= 0.15, "capacity %v: %v", capacity, errors)
	}
}

// TestLateLoadIsExpectedLater checks that a late load is expected to end at the next time that
// results from a lower capacity, and not immediately.
func TestLateLoadIsExpectedLater(t *testing.T) {
	e := New(Estimate{})
	at := time.Unix(0, 0)
	for _, runner := range []string{"a", "b", "c", "d"} {
		e.Begin(runner, 10*time.Second, at)
	}
	for _, test := range []struct{ passed, left time.Duration }{
		{0, 10 * time.Second}, {9 * time.Second, time.Second}, {11 * time.Second, 2333 * time.Millisecond}, {14 * time.Second, 6 * time.Second}, {21 * time.Second, 19 * time.Second}, {50 * time.Second, 0},
	} {
		left := e.Remaining("d", at.Add(test.passed))
		assert.Assert(t, (left-test.left).Abs() < time.Millisecond, "%s: %s", test.passed, left)
	}
	assert.Equal(t, e.Remaining("nobody", at), time.Duration(0))
}
