package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockGoesOnAsTheSteadyOne: while the machine is not suspended both tell the same times.
func TestClockGoesOnAsTheSteadyOne(t *testing.T) {
	assert.Assert(t, CountsSuspensions())
	steady, now := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now().Sub(now)
	assert.Assert(t, passed >= 20*time.Millisecond && passed <= time.Since(steady)+time.Millisecond, "%s", passed)
	assert.Assert(t, Suspended().Abs() < time.Millisecond, "%s", Suspended())
}

// BenchmarkNow and BenchmarkSteady are what a reading costs.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkSteady(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
