package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// account is a runner's, with models that it holds, or loads where so says their value.
func account(runner string, models map[string]bool) *Ledger {
	l := NewLedger(backend.Runner{ID: runner})
	for name, coming := range models {
		l.models[name] = &Model{Coming: coming}
	}
	return l
}

// loads lets runners load a model and end, one after the other.
func loads(e *Ends, first, count int, now time.Time) {
	for number := first; number < first+count; number++ {
		runner := fmt.Sprint("r", number)
		e.Follow(account(runner, map[string]bool{"m": true}))
		e.Ended(runner, false, now)
	}
}

// TestModelThatEndsItsRunnersIsLoadedLessOften: after the third end it rests, each time for
// longer, up to a bound.
func TestModelThatEndsItsRunnersIsLoadedLessOften(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds(nil)
	loads(ends, 0, endsBorne-1, now)
	assert.Equal(t, len(ends.Paused(now)), 0)
	loads(ends, 10, 1, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(firstLoadPause))
	assert.Equal(t, len(ends.Paused(now.Add(firstLoadPause))), 0, "it is tried again")
	loads(ends, 20, 1, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(2*firstLoadPause))
	loads(ends, 30, 100, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(LongestLoadPause))
}

// TestLoadThatWasCarriedOutClearsItsModel: and so does nothing else.
func TestLoadThatWasCarriedOutClearsItsModel(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds(nil)
	loads(ends, 0, endsBorne-1, now)
	ends.Follow(account("held", map[string]bool{"m": false}))
	loads(ends, 10, 1, now)
	assert.Equal(t, len(ends.Paused(now)), 1, "one that was held all the time proves nothing")

	ends.Follow(account("good", map[string]bool{"m": true, "other": true}))
	ends.Follow(account("good", map[string]bool{"m": false, "other": true}))
	assert.Equal(t, len(ends.Paused(now)), 0)
	assert.DeepEqual(t, ends.Ended("good", false, now), []string{"other"})
}

// TestEndThatIsToldTwiceCountsOnce: a runner that refused a connection stays listed for a while.
func TestEndThatIsToldTwiceCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds(nil)
	for range 2 * endsBorne {
		ends.Follow(account("r", map[string]bool{"m": true}))
		ends.Ended("r", false, now)
	}
	assert.Equal(t, len(ends.Paused(now)), 0)
}

// TestOtherEndsDoNotCount: of a runner that leaves by plan, that loads nothing, whose load was
// given up.
func TestOtherEndsDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds(nil)
	for number := range 2 * endsBorne {
		runner := fmt.Sprint("r", number)
		ends.Follow(account(runner, map[string]bool{"m": true}))
		ends.Ended(runner, true, now)
		ends.Ended(runner, false, now)
		given := fmt.Sprint("given up", number)
		ends.Follow(account(given, map[string]bool{"m": true}))
		ends.Follow(account(given, nil))
		ends.Ended(given, false, now)
	}
	assert.Equal(t, len(ends.Paused(now)), 0)
	for number := range 2 * endsBorne {
		ends.Forget(fmt.Sprint("r", number))
		ends.Forget(fmt.Sprint("given up", number))
	}
	assert.Equal(t, len(ends.loading)+len(ends.ended), 0)
}

// TestEndsOfRunnersWithUnansweredOrdersCount: the answer to an order was lost, or had not come yet,
// and the runner ended as it loaded the model: no such end counted, so that a model whose loads
// ended their runners before they answered was ordered to all of them.
func TestEndsOfRunnersWithUnansweredOrdersCount(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds(nil)
	for number := range endsBorne {
		ledger := account(fmt.Sprint("r", number), nil)
		order := ledger.Begin(backend.Load, backend.Unit{Model: "m"}, "", 0)
		if number > 0 {
			ledger.End(order, backend.Lost, now, now)
		}
		ends.Follow(ledger)
		assert.DeepEqual(t, ends.Ended(ledger.Runner.ID, false, now), []string{"m"})
	}
	assert.Equal(t, len(ends.Paused(now)), 1)
}

// TestNextHolderGoesOnFromCountedEnds: the count began anew at each holder, and so did the ends.
func TestNextHolderGoesOnFromCountedEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := NewEnds(nil)
	loads(ends, 0, endsBorne-1, now)
	ends = NewEnds(ends.Known())
	loads(ends, 10, 1, now)
	assert.Equal(t, ends.Paused(now)["m"], now.Add(firstLoadPause))
	assert.DeepEqual(t, NewEnds(ends.Known()).Paused(now), ends.Paused(now))
}
