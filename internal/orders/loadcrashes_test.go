package orders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// newTestLedger returns the ledger of a runner with the given models; true means that the
// model is still loading.
func newTestLedger(runner string, models map[string]bool) *Ledger {
	l := NewLedger(backend.Runner{ID: runner})
	for name, loading := range models {
		l.models[name] = &Model{Loading: loading}
	}
	return l
}

// crashWhileLoading lets runners start to load a model and crash, one after the other.
func crashWhileLoading(crashes *LoadCrashes, first, count int, now time.Time) {
	for number := first; number < first+count; number++ {
		runner := fmt.Sprint("r", number)
		crashes.Follow(newTestLedger(runner, map[string]bool{"m": true}))
		crashes.RunnerEnded(runner, false, now)
	}
}

// TestLoadsPauseAfterCrashes checks that loads are paused after the third crash, each time for
// longer, up to the longest pause.
func TestLoadsPauseAfterCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	crashes := NewLoadCrashes(nil)
	crashWhileLoading(crashes, 0, crashesBeforePause-1, now)
	assert.Equal(t, len(crashes.Paused(now)), 0)
	crashWhileLoading(crashes, 10, 1, now)
	assert.Equal(t, crashes.Paused(now)["m"], now.Add(firstLoadPause))
	assert.Equal(t, len(crashes.Paused(now.Add(firstLoadPause))), 0, "loads are tried again after the pause")
	crashWhileLoading(crashes, 20, 1, now)
	assert.Equal(t, crashes.Paused(now)["m"], now.Add(2*firstLoadPause))
	crashWhileLoading(crashes, 30, 100, now)
	assert.Equal(t, crashes.Paused(now)["m"], now.Add(LongestLoadPause))
}

// TestCompletedLoadResetsCount checks that only a completed load resets the count of its
// model.
func TestCompletedLoadResetsCount(t *testing.T) {
	now := time.Unix(1000, 0)
	crashes := NewLoadCrashes(nil)
	crashWhileLoading(crashes, 0, crashesBeforePause-1, now)
	crashes.Follow(newTestLedger("held", map[string]bool{"m": false}))
	crashWhileLoading(crashes, 10, 1, now)
	assert.Equal(t, len(crashes.Paused(now)), 1, "a model that was already loaded resets no count")

	crashes.Follow(newTestLedger("good", map[string]bool{"m": true, "other": true}))
	crashes.Follow(newTestLedger("good", map[string]bool{"m": false, "other": true}))
	assert.Equal(t, len(crashes.Paused(now)), 0)
	assert.DeepEqual(t, crashes.RunnerEnded("good", false, now), []string{"other"})
}

// TestCrashCountsOnce checks that a runner that ended counts once, although it stays listed
// for a while after it refused a connection.
func TestCrashCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	crashes := NewLoadCrashes(nil)
	for range 2 * crashesBeforePause {
		crashes.Follow(newTestLedger("r", map[string]bool{"m": true}))
		crashes.RunnerEnded("r", false, now)
	}
	assert.Equal(t, len(crashes.Paused(now)), 0)
}

// TestOtherEndsAreNotCrashes checks that runners don't count if they left as planned, loaded
// nothing, or had given up the load.
func TestOtherEndsAreNotCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	crashes := NewLoadCrashes(nil)
	for number := range 2 * crashesBeforePause {
		runner := fmt.Sprint("r", number)
		crashes.Follow(newTestLedger(runner, map[string]bool{"m": true}))
		crashes.RunnerEnded(runner, true, now)
		crashes.RunnerEnded(runner, false, now)
		given := fmt.Sprint("given up", number)
		crashes.Follow(newTestLedger(given, map[string]bool{"m": true}))
		crashes.Follow(newTestLedger(given, nil))
		crashes.RunnerEnded(given, false, now)
	}
	assert.Equal(t, len(crashes.Paused(now)), 0)
	for number := range 2 * crashesBeforePause {
		crashes.Forget(fmt.Sprint("r", number))
		crashes.Forget(fmt.Sprint("given up", number))
	}
	assert.Equal(t, len(crashes.loading)+len(crashes.ended), 0)
}

// TestEndsOfRunnersWithUnansweredOrdersCount checks that a crash counts if the order to load
// was not answered or the answer was lost. Such crashes were once not counted, so that a model
// whose loads crashed their runners before they answered was ordered on all of them.
func TestEndsOfRunnersWithUnansweredOrdersCount(t *testing.T) {
	now := time.Unix(1000, 0)
	crashes := NewLoadCrashes(nil)
	for number := range crashesBeforePause {
		ledger := newTestLedger(fmt.Sprint("r", number), nil)
		order := ledger.Begin(backend.Load, backend.Unit{Model: "m"}, "", 0)
		if number > 0 {
			ledger.End(order, backend.Lost, now, now)
		}
		crashes.Follow(ledger)
		assert.DeepEqual(t, crashes.RunnerEnded(ledger.Runner.ID, false, now), []string{"m"})
	}
	assert.Equal(t, len(crashes.Paused(now)), 1)
}

// TestNextHolderContinuesCount checks that a new lease holder continues the count. If each
// began at zero, crashes would begin again with every holder.
func TestNextHolderContinuesCount(t *testing.T) {
	now := time.Unix(1000, 0)
	crashes := NewLoadCrashes(nil)
	crashWhileLoading(crashes, 0, crashesBeforePause-1, now)
	crashes = NewLoadCrashes(crashes.Known())
	crashWhileLoading(crashes, 10, 1, now)
	assert.Equal(t, crashes.Paused(now)["m"], now.Add(firstLoadPause))
	assert.DeepEqual(t, NewLoadCrashes(crashes.Known()).Paused(now), crashes.Paused(now))
}
