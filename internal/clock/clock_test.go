package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockAgreesWithTimeNow checks that both clocks advance equally while the machine is
// not suspended.
func TestClockAgreesWithTimeNow(t *testing.T) {
	assert.Assert(t, CountsSuspensions())
	monotonic, now := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	passed := Now().Sub(now)
	assert.Assert(t, passed >= 20*time.Millisecond && passed <= time.Since(monotonic)+time.Millisecond, "%s", passed)
	assert.Assert(t, Suspended().Abs() < time.Millisecond, "%s", Suspended())
}

// BenchmarkNow and BenchmarkTimeNow measure the cost of reading each clock.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
