package sleep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestKeepAliveFollowsGaps checks that a unit used every 30 seconds stays loaded between uses,
// and one used every few hours does not.
func TestKeepAliveFollowsGaps(t *testing.T) {
	var short, long Gaps
	for range 20 {
		short.Observe(30 * time.Second)
		long.Observe(5 * time.Hour)
	}
	const penalty = 300
	kept := short.KeepAlive(penalty, time.Hour)
	assert.Assert(t, kept >= 30*time.Second && kept < 5*time.Minute, "%s", kept)
	assert.Equal(t, long.KeepAlive(penalty, time.Hour), minKeepAlive)
}

// TestKeepAliveGrowsWithPenalty checks that the keep-alive time grows with the penalty and
// stays within its limits.
func TestKeepAliveGrowsWithPenalty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var gaps Gaps
		for _, seconds := range rapid.SliceOfN(rapid.IntRange(1, 20000), 0, 30).Draw(t, "gaps") {
			gaps.Observe(time.Duration(seconds) * time.Second)
		}
		low := rapid.Float64Range(0, 1e5).Draw(t, "low")
		high := low + rapid.Float64Range(0, 1e5).Draw(t, "more")
		limit := time.Hour
		shorter, longer := gaps.KeepAlive(low, limit), gaps.KeepAlive(high, limit)
		if shorter > longer || longer > limit || shorter < minKeepAlive {
			t.Fatalf("penalty %g keeps %s, %g keeps %s", low, shorter, high, longer)
		}
	})
}

// TestPatternWakesAhead checks that a model used every morning is loaded ahead of that, and
// not at night.
func TestPatternWakesAhead(t *testing.T) {
	keeper := NewKeeper(Settings{IdlePerColdSecond: 60, TailPower: 1, Limit: time.Hour})
	start := time.Date(2026, time.March, 2, 0, 0, 0, 0, time.UTC)
	for minute := 0; minute < 5*24*60; minute += 5 {
		at := start.Add(time.Duration(minute) * time.Minute)
		used := at.Hour() == 7 && at.Minute() >= 30
		keeper.ObserveUse("m", at, used)
	}
	replica := Replica{Name: "m", LoadTime: 30 * time.Second, Share: 30.0 / 80}
	next := start.AddDate(0, 0, 5)
	assert.Assert(t, keeper.WakeAhead(replica, next.Add(7*time.Hour+28*time.Minute)))
	assert.Assert(t, !keeper.WakeAhead(replica, next.Add(3*time.Hour)))
}
