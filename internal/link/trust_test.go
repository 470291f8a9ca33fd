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
		assert.Equal(t, trust.Silent("a", c.now()), OnePeer)
		c.pass(100 * time.Millisecond)
	}
}

// TestSilenceAtSeveralPeersIsSilenceOfAll: two peers silent in a short time stand
// for all; two that are silent far apart do not, nor do the same two count twice.
func TestSilenceAtSeveralPeersIsSilenceOfAll(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	assert.Equal(t, trust.Silent("a", c.now()), OnePeer)
	c.pass(strikeWindow)
	assert.Equal(t, trust.Silent("b", c.now()), AllPeers)
	assert.Equal(t, trust.Silent("c", c.now()), OnePeer)
	c.pass(strikeWindow + time.Millisecond)
	assert.Equal(t, trust.Silent("d", c.now()), OnePeer)
}

// TestAnswerOnOlderConnectionRestoresTrust: an answer on a connection that rested
// across the silence shows that others may be sound; one on a newer connection
// shows nothing.
func TestAnswerOnOlderConnectionRestoresTrust(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	before := c.now()
	c.pass(time.Millisecond)
	trust.Silent("a", c.now())
	c.pass(time.Millisecond)
	trust.Answered(c.now())
	assert.Equal(t, trust.Silent("b", c.now()), AllPeers)
	trust.Silent("a", c.now())
	trust.Answered(before)
	assert.Equal(t, trust.Silent("b", c.now()), OnePeer)
}

// TestAnswerOnAConnectionMadeDuringTheSilenceShowsNothing: one that was made after the
// silent one was taken up, and rested before that was noticed, works as all new ones do.
func TestAnswerOnAConnectionMadeDuringTheSilenceShowsNothing(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	taken := c.now()
	c.pass(100 * time.Millisecond)
	rested := c.now()
	c.pass(time.Second)
	assert.Equal(t, trust.Silent("a", taken), OnePeer)
	trust.Answered(rested)
	assert.Equal(t, trust.Silent("b", taken), AllPeers)
}

// TestOneSilenceIsNoticedOnce: connections that were taken up before others were
// dropped tell nothing new, however late they are noticed.
func TestOneSilenceIsNoticedOnce(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	taken := c.now()
	c.pass(time.Second)
	assert.Equal(t, trust.Silent("a", taken), OnePeer)
	assert.Equal(t, trust.Silent("a", taken), Nobody)
	c.pass(time.Second)
	assert.Equal(t, trust.Silent("b", taken), AllPeers)
	assert.Equal(t, trust.Silent("c", taken), Nobody)
	assert.Equal(t, trust.Silent("a", taken), Nobody)
	later := c.now()
	c.pass(time.Second)
	assert.Equal(t, trust.Silent("c", later), OnePeer)
}
