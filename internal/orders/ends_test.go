package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loads lets runners load a model and end, one after the other.
func loads(e *Ends, first, count int, now time.Time) {
	for number := first; number < first+count; number++ {
		runner := fmt.Sprint("r", number)
		e.Follow(runner, map[string]*Model{"m": {Coming: true}})
		e.Ended(runner, false, now)
	}
}

// TestModelThatEndsItsRunnersIsLoadedLessOften: after the third end it rests, each time for
// longer, up to a bound.
func TestModelThatEndsItsRunnersIsLoadedLessOften(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds()
	loads(ends, 0, endsBorne-1, now)
	assert.Equal(t, len(ends.Paused(now)), 0)
	loads(ends, 10, 1, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(firstLoadPause))
	assert.Equal(t, len(ends.Paused(now.Add(firstLoadPause))), 0, "it is tried again")
	loads(ends, 20, 1, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(2*firstLoadPause))
	loads(ends, 30, 100, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(longestLoadPause))
}

// TestLoadThatWasCarriedOutClearsItsModel: and so does nothing else.
func TestLoadThatWasCarriedOutClearsItsModel(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds()
	loads(ends, 0, endsBorne-1, now)
	ends.Follow("held", map[string]*Model{"m": {}})
	loads(ends, 10, 1, now)
	assert.Equal(t, len(ends.Paused(now)), 1, "one that was held all the time proves nothing")

	ends.Follow("good", map[string]*Model{"m": {Coming: true}, "other": {Coming: true}})
	ends.Follow("good", map[string]*Model{"m": {}, "other": {Coming: true}})
	assert.Equal(t, len(ends.Paused(now)), 0)
	assert.DeepEqual(t, ends.Ended("good", false, now), []string{"other"})
}

// TestEndThatIsToldTwiceCountsOnce: a runner that refused a connection stays listed for a while.
func TestEndThatIsToldTwiceCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds()
	for range 2 * endsBorne {
		ends.Follow("r", map[string]*Model{"m": {Coming: true}})
		ends.Ended("r", false, now)
	}
	assert.Equal(t, len(ends.Paused(now)), 0)
}

// TestOtherEndsDoNotCount: of a runner that leaves by plan, that loads nothing, whose load was
// given up.
func TestOtherEndsDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds()
	for number := range 2 * endsBorne {
		runner := fmt.Sprint("r", number)
		ends.Follow(runner, map[string]*Model{"m": {Coming: true}})
		ends.Ended(runner, true, now)
		ends.Ended(runner, false, now)
		given := fmt.Sprint("given up", number)
		ends.Follow(given, map[string]*Model{"m": {Coming: true}})
		ends.Follow(given, nil)
		ends.Ended(given, false, now)
	}
	assert.Equal(t, len(ends.Paused(now)), 0)
	for number := range 2 * endsBorne {
		ends.Forget(fmt.Sprint("r", number))
		ends.Forget(fmt.Sprint("given up", number))
	}
	assert.Equal(t, len(ends.loading)+len(ends.ended), 0)
}
