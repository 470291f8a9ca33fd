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

// store is a weight store with a capacity, in virtual time. As the users' store, it
// sets the time of a load at its begin: by the loads under way then.
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

// run keeps as many loads under way as the estimator allows, for a time. It returns
// the most at once, and how many ended.
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

// TestLimitFindsCapacity: whatever the store carries, the bound settles near it,
// for short loads and long ones.
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

// TestLimitRisesWithoutBound: loads that never slow each other are not held back.
func TestLimitRisesWithoutBound(t *testing.T) {
	e := New(Estimate{})
	newStore(math.Inf(1)).run(e, time.Second, 0, 20*time.Second)
	assert.Equal(t, e.Estimate(), Estimate{Limit: largestLimit})
}

// TestLimitFollowsChange: a store that carries less, or more, is followed, also by
// an estimator that went on from another one's estimate in the middle.
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

// TestImpossibleTimes: loads that end at once, never, or twice leave the bound
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

// TestStartNeitherJamsNorStarves: a store that is asked for all that the bound allows
// from the first moment on does, within the first nominal times, nearly what it can,
// and never begins more than twice what it carries, or the first bound.
func TestStartNeitherJamsNorStarves(t *testing.T) {
	const nominal = 6 * time.Second
	for _, c := range []struct {
		capacity float64
		// ended is the least number of loads that end within five nominal times.
		ended int
	}{
		{1, 4}, {2, 8}, {6, 22}, {10, 32}, {64, 70},
	} {
		e := New(Estimate{})
		most, ended := newStore(c.capacity).run(e, nominal, 100*time.Millisecond, 5*nominal+time.Second)
		assert.Assert(t, float64(most) <= max(firstLimit, 2*slowFactor*c.capacity) && ended >= c.ended, "%+v: most %d, ended %d", c, most, ended)
	}
}

// TestOverdueLoadBoundsCapacity: that a load is not done in its nominal time tells
// before its end that the bound was passed.
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

// TestProofCountsForItsNumber: loads that began before the bound rose prove nothing for
// the new one. Each of them doubled it once: 2, 4, 8, 16 from loads of two at once.
func TestProofCountsForItsNumber(t *testing.T) {
	const nominal = time.Second
	e, s := New(Estimate{}), newStore(4)
	for range firstLimit {
		s.begin(e, nominal)
	}
	for i := range firstLimit {
		e.End(fmt.Sprint("r", i+1), 0, s.now.Add(nominal))
	}
	assert.Equal(t, e.Estimate(), Estimate{Limit: 2 * firstLimit})
}

// TestPromisedTimesHold: the time that a load is told to take is, in the median, within
// a seventh of what it takes.
func TestPromisedTimesHold(t *testing.T) {
	const nominal = 3 * time.Second
	for _, capacity := range []float64{2, 6, 13} {
		e, s := New(Estimate{}), newStore(capacity)
		s.run(e, nominal, 0, 20*nominal)
		var off []float64
		for range 40 {
			s.run(e, nominal, 0, nominal/3)
			if e.Free() > 0 {
				told := e.Slowdown(e.UnderWay() + 1)
				off = append(off, math.Abs(told/max(1, float64(len(s.ends)+1)/capacity)-1))
				s.begin(e, nominal)
			}
		}
		slices.Sort(off)
		assert.Assert(t, len(off) == 0 || off[len(off)/2] <= 0.15, "capacity %v: %v", capacity, off)
	}
}

// TestLateLoadIsExpectedLater: a load that is late is expected at the next time that a
// store which carries fewer would give it, not at once.
func TestLateLoadIsExpectedLater(t *testing.T) {
	e := New(Estimate{})
	at := time.Unix(0, 0)
	for _, runner := range []string{"a", "b", "c", "d"} {
		e.Begin(runner, 10*time.Second, at)
	}
	for _, test := range []struct{ passed, left time.Duration }{
		{0, 10 * time.Second}, {9 * time.Second, time.Second}, {11 * time.Second, 2333 * time.Millisecond}, {14 * time.Second, 6 * time.Second}, {21 * time.Second, 19 * time.Second}, {50 * time.Second, 0},
	} {
		left := e.Left("d", at.Add(test.passed))
		assert.Assert(t, (left-test.left).Abs() < time.Millisecond, "%s: %s", test.passed, left)
	}
	assert.Equal(t, e.Left("nobody", at), time.Duration(0))
}
