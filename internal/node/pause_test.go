package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A suspension, during which the clock of the ticks stands still too, counts as a pause.
func TestSuspensionCountsAsPause(t *testing.T) {
	p := newPauseDetector()
	p.tick()
	p.recordSuspension(pauseThreshold / 2)
	_, paused := p.lastPauseEnd()
	assert.Assert(t, !paused)
	p.recordSuspension(pauseThreshold/2 + 5*time.Second)
	end, paused := p.lastPauseEnd()
	assert.Assert(t, paused && time.Since(end) < time.Minute)
	before := p.pauseEnd.Load()
	p.recordSuspension(pauseThreshold/2 + 5*time.Second)
	assert.Equal(t, p.pauseEnd.Load(), before, "a suspension must be recorded only once")
}

// After a pause, a node sent waiting requests at once, to runners whose refusals it had not read
// yet.
func TestAnswersAreReadBeforeMoreIsSent(t *testing.T) {
	p := newPauseDetector()
	p.start = p.start.Add(-time.Minute)
	p.tick()
	start := time.Now()
	p.awaitPendingReads()
	assert.Assert(t, time.Since(start) < pendingReadTime)
	p.lastTick.Store(int64(time.Since(p.start) - shortPauseThreshold - time.Millisecond))
	start = time.Now()
	p.awaitPendingReads()
	assert.Assert(t, time.Since(start) >= pendingReadTime)
}

// TestLatenessIsThatOfTheLastMoment: a process that did not run until a moment ago is late by the time since its
// tick was due; a tick in between changes nothing, and later it is not late any more.
func TestLatenessIsThatOfTheLastMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPauseDetector()
		time.Sleep(time.Second)
		p.tick()
		time.Sleep(pauseCheckInterval + lateTick)
		assert.Equal(t, p.lateness(), time.Duration(0))
		time.Sleep(pauseCheckInterval + 500*time.Millisecond)
		assert.Equal(t, p.lateness(), 500*time.Millisecond)
		p.tick()
		time.Sleep(signalDelay)
		assert.Equal(t, p.lateness(), 500*time.Millisecond+signalDelay)
		time.Sleep(time.Millisecond)
		assert.Equal(t, p.lateness(), time.Duration(0))
	})
}
