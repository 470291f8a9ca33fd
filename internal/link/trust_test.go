package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clock is a clock that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

// TestOnePeerMayBeSilentAlone checks that others are trusted however often one peer is silent.
func TestOnePeerMayBeSilentAlone(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	for range 5 {
		assert.Equal(t, trust.Silent("a", c.now()), OnePeer)
		c.advance(100 * time.Millisecond)
	}
}

// TestTwoSilentPeersDistrustAll checks that two peers that are silent within the window
// stand for all. Two that are silent further apart do not, and the same two do not count twice.
func TestTwoSilentPeersDistrustAll(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	assert.Equal(t, trust.Silent("a", c.now()), OnePeer)
	c.advance(silenceWindow)
	assert.Equal(t, trust.Silent("b", c.now()), AllPeers)
	assert.Equal(t, trust.Silent("c", c.now()), OnePeer)
	c.advance(silenceWindow + time.Millisecond)
	assert.Equal(t, trust.Silent("d", c.now()), OnePeer)
}

// TestAnswerOnOlderConnectionRestoresTrust checks that an answer on a connection that was idle
// across the silence shows that others may work, and that one on a newer connection shows nothing.
func TestAnswerOnOlderConnectionRestoresTrust(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	before := c.now()
	c.advance(time.Millisecond)
	trust.Silent("a", c.now())
	c.advance(time.Millisecond)
	trust.Answered(c.now())
	assert.Equal(t, trust.Silent("b", c.now()), AllPeers)
	trust.Silent("a", c.now())
	trust.Answered(before)
	assert.Equal(t, trust.Silent("b", c.now()), OnePeer)
}

// TestAnswerOnNewerConnectionIsIgnored checks that an answer is ignored if its
// connection was made after the silent one was taken and became idle before the silence was
// detected: new connections work although all older ones may be silent.
func TestAnswerOnNewerConnectionIsIgnored(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	taken := c.now()
	c.advance(100 * time.Millisecond)
	idleSince := c.now()
	c.advance(time.Second)
	assert.Equal(t, trust.Silent("a", taken), OnePeer)
	trust.Answered(idleSince)
	assert.Equal(t, trust.Silent("b", taken), AllPeers)
}

// TestOneSilenceIsNoticedOnce checks that connections taken before others were dropped do not count
// again, however late they are found silent.
func TestOneSilenceIsNoticedOnce(t *testing.T) {
	c := newClock()
	trust := NewTrust(c.now)
	taken := c.now()
	c.advance(time.Second)
	assert.Equal(t, trust.Silent("a", taken), OnePeer)
	assert.Equal(t, trust.Silent("a", taken), NoPeer)
	c.advance(time.Second)
	assert.Equal(t, trust.Silent("b", taken), AllPeers)
	assert.Equal(t, trust.Silent("c", taken), NoPeer)
	assert.Equal(t, trust.Silent("a", taken), NoPeer)
	later := c.now()
	c.advance(time.Second)
	assert.Equal(t, trust.Silent("c", later), OnePeer)
}
