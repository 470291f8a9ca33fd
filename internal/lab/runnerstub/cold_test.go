package runnerstub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/platform/protocol"
)

// TestColdRunnerCountsArrivals checks that the row of a cold runner states for how much
// longer it is cold, and that it counts the requests within a second only while it is cold.
func TestColdRunnerCountsArrivals(t *testing.T) {
	var row protocol.ListedRunner
	r := New(Settings{ID: "r1"}, journal.NewWriter(nil), func(published protocol.ListedRunner) { row = published })
	now := time.Now()
	r.countColdArrival(now)
	assert.Equal(t, r.cold.peak, 0)
	r.SetCold(Cold{ForMs: time.Minute.Milliseconds()})
	assert.Assert(t, row.ColdLeftMs > 0 && row.ColdLeftMs <= 60_000, "%v", row.ColdLeftMs)
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 900 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second} {
		r.countColdArrival(now.Add(after))
	}
	assert.Equal(t, r.cold.peak, 3)
	r.countColdArrival(now.Add(time.Hour))
	assert.Equal(t, r.cold.peak, 3)
	r.SetCold(Cold{})
	assert.Equal(t, row.ColdLeftMs, 0.0)
}
