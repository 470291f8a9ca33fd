package reach

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

var errTest = errors.New("refused")

func testTracker() (*Tracker, *time.Time) {
	now := time.Unix(1000, 0)
	return New(func() time.Time { return now }, logr.Discard()), &now
}

// TestFiguresFollowAttempts: the last attempt at a runner decides whether it counts as
// reached, and runners that nobody tries are forgotten.
func TestFiguresFollowAttempts(t *testing.T) {
	tracker, now := testTracker()
	tracker.Connected("a")
	tracker.Failed("b", errTest)
	tracker.Failed("c", errTest)
	assert.DeepEqual(t, tracker.Figures(), Figures{Reached: 1, Unreached: 2})
	tracker.Connected("c")
	assert.DeepEqual(t, tracker.Figures(), Figures{Reached: 2, Unreached: 1})
	*now = now.Add(pathLifetime)
	tracker.Connected("a")
	*now = now.Add(time.Second)
	assert.DeepEqual(t, tracker.Figures(), Figures{Reached: 1})
}

// TestNilTrackerTracksNothing: a pool without a tracker works.
func TestNilTrackerTracksNothing(t *testing.T) {
	var tracker *Tracker
	tracker.Connected("a")
	tracker.Failed("a", errTest)
	assert.DeepEqual(t, tracker.Figures(), Figures{})
}
