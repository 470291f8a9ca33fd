package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExpectedDurationFollowsTheLatest: nine tenths of the latest requests take no longer, other routes do not count,
// and nothing is expected of a few.
func TestExpectedDurationFollowsTheLatest(t *testing.T) {
	var d durations
	for n := range minDurations {
		assert.Equal(t, d.expect("a"), time.Duration(0))
		d.observe("a", time.Duration(n+1)*time.Second)
	}
	d.observe("b", time.Hour)
	assert.Equal(t, d.expect("a"), 4*time.Second)
	for n := range maxDurations {
		d.observe("a", time.Duration(n)*time.Millisecond)
	}
	assert.Equal(t, d.expect("a"), 28*time.Millisecond)
}

// TestTimedRoutesAreBounded: routes that come and go take a bounded part of the memory.
func TestTimedRoutesAreBounded(t *testing.T) {
	var d durations
	for n := range 3 * maxTimedRoutes {
		d.observe(fmt.Sprint(n), time.Second)
	}
	assert.Assert(t, len(d.routes) <= maxTimedRoutes)
}

// TestExpectationOfFewDurationsIsLow: the expected duration was too short if few durations were kept.
func TestExpectationOfFewDurationsIsLow(t *testing.T) {
	for count := minDurations; count <= maxDurations; count++ {
		var d durations
		for n := range count {
			d.observe("a", time.Duration(n+1))
		}
		assert.Check(t, float64(d.expect("a")) >= expectedShare*float64(count), "%d of %d", d.expect("a"), count)
	}
}
