package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clock is a time that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) pass(d time.Duration) { c.at = c.at.Add(d) }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// TestOnePeerMayBeSilentAlone: however often one peer is silent, others are
// trusted.
func TestOnePeerMayBeSilentAlone(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	for range 5 {
		assert.Equal(t, trust.Silent("a"), OnePeer)
		c.pass(100 * time.Millisecond)
	}
}

// TestSilenceAtSeveralPeersIsSilenceOfAll: two peers silent in a short time stand
// for all; two that are silent far apart do not, nor do the same two count twice.
func TestSilenceAtSeveralPeersIsSilenceOfAll(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	assert.Equal(t, trust.Silent("a"), OnePeer)
	c.pass(strikeWindow)
	assert.Equal(t, trust.Silent("b"), AllPeers)
	assert.Equal(t, trust.Silent("c"), OnePeer)
	c.pass(strikeWindow + time.Millisecond)
	assert.Equal(t, trust.Silent("d"), OnePeer)
}

// TestAnswerOnOlderConnectionRestoresTrust: an answer on a connection that rested
// across the silence shows that others may be sound; one on a newer connection
// shows nothing.
func TestAnswerOnOlderConnectionRestoresTrust(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	before := c.now()
	c.pass(time.Millisecond)
	trust.Silent("a")
	c.pass(time.Millisecond)
	trust.Answered(c.now())
	assert.Equal(t, trust.Silent("b"), AllPeers)
	trust.Silent("a")
	trust.Answered(before)
	assert.Equal(t, trust.Silent("b"), OnePeer)
}
