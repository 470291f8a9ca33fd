package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuspensionIsAPause: one in which the clock of the ticks stood still, too.
func TestSuspensionIsAPause(t *testing.T) {
	p := newPauseWatch()
	p.tick()
	p.noteSuspension(longestTick / 2)
	_, paused := p.wokenAt()
	assert.Assert(t, !paused)
	p.noteSuspension(longestTick/2 + 5*time.Second)
	woken, paused := p.wokenAt()
	assert.Assert(t, paused && time.Since(woken) < time.Minute)
	before := p.woken.Load()
	p.noteSuspension(longestTick/2 + 5*time.Second)
	assert.Equal(t, p.woken.Load(), before, "it is noted once")
}

// TestAnswersAreReadBeforeMoreIsSent: a node that stood still sent on at once what waited, to
// runners whose refusals it had not read yet.
func TestAnswersAreReadBeforeMoreIsSent(t *testing.T) {
	p := newPauseWatch()
	p.began = p.began.Add(-time.Minute)
	p.tick()
	start := time.Now()
	p.awaitReading()
	assert.Assert(t, time.Since(start) < readingTime)
	p.ticked.Store(int64(time.Since(p.began) - longestStill - time.Millisecond))
	start = time.Now()
	p.awaitReading()
	assert.Assert(t, time.Since(start) >= readingTime)
}
