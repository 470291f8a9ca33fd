package weightstore

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const step = 20 * time.Millisecond

// store is a weight store with a capacity, in virtual time.
type store struct {
	capacity float64
	left     map[string]time.Duration
	now      time.Time
	next     int
}

func newStore(capacity float64) *store {
	return &store{capacity: capacity, left: make(map[string]time.Duration), now: time.Unix(1000, 0)}
}

// run keeps as many loads under way as the estimator allows, for a time.
func (s *store) run(e *Estimator, nominal, lag, length time.Duration) (most int) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		for e.Free() > 0 {
			s.next++
			runner := fmt.Sprint("r", s.next)
			s.left[runner] = nominal
			e.Begin(runner, nominal, s.now)
		}
		most = max(most, len(s.left))
		speed := min(1, s.capacity/float64(len(s.left)))
		for runner, left := range s.left {
			if left <= -lag {
				delete(s.left, runner)
				e.End(runner, lag, s.now)
				continue
			}
			if left <= 0 {
				s.left[runner] = left - step
				continue
			}
			s.left[runner] = left - time.Duration(float64(step)*speed)
		}
	}
	return most
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
	s.left = make(map[string]time.Duration)
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
				e.Drop(runner, now)
			case 3:
				e.SetForeign(rapid.IntRange(0, 4).Draw(t, "foreign"), now)
			}
			assert.Assert(t, e.Estimate().Limit >= 1 && e.Free() >= 0 && e.NextFree(now) >= 0)
			assert.Assert(t, e.Slowdown(e.UnderWay()) >= 1)
		}
	})
}
