package permits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
)

// TestPermitsStayWithinTheStore: no more permits than the store runs at full
// speed; a released one goes to the most pressing asker.
func TestPermitsStayWithinTheStore(t *testing.T) {
	now := time.Now()
	s := NewScheduler(Limits{LoadsPerSecond: 100, Concurrency: 2})
	assert.Equal(t, s.Acquire("a", api.ClassPatient, now), time.Duration(0))
	assert.Equal(t, s.Acquire("b", api.ClassPatient, now), time.Duration(0))
	assert.Equal(t, s.Acquire("a", api.ClassPatient, now), time.Duration(0), "a permit that is held")
	assert.Assert(t, s.Acquire("patient", api.ClassPatient, now) > 0)
	assert.Assert(t, s.Acquire("urgent", api.ClassUrgent, now) > 0)
	s.Release("a")
	assert.Assert(t, s.Acquire("patient", api.ClassPatient, now) > 0, "before a more pressing one")
	assert.Equal(t, s.Acquire("urgent", api.ClassUrgent, now), time.Duration(0))
}

// TestPermitsFollowTheRate: new loads start no faster than the store allows.
func TestPermitsFollowTheRate(t *testing.T) {
	now := time.Now()
	s := NewScheduler(Limits{LoadsPerSecond: 4, Concurrency: 100})
	granted := 0
	for index := range 100 {
		at := now.Add(time.Duration(index) * 20 * time.Millisecond)
		if s.Acquire(fmt.Sprint(index), api.ClassOrdinary, at) == 0 {
			granted++
		}
	}
	assert.Assert(t, granted >= 10 && granted <= 12, "%d in two seconds at 4 a second with a burst of 4", granted)
}

// TestLostHolderFreesItsPermit: a permit whose holder is never heard of again
// lapses.
func TestLostHolderFreesItsPermit(t *testing.T) {
	now := time.Now()
	s := NewScheduler(Limits{LoadsPerSecond: 100, Concurrency: 1})
	assert.Equal(t, s.Acquire("lost", api.ClassOrdinary, now), time.Duration(0))
	assert.Assert(t, s.Acquire("next", api.ClassOrdinary, now) > 0)
	assert.Equal(t, s.Acquire("next", api.ClassOrdinary, now.Add(heldFor+time.Second)), time.Duration(0))
}
