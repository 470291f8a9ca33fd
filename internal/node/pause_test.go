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
