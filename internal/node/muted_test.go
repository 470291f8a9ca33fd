package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMutePeersAreAskedLessAndLess: a peer that does not answer is asked after longer and
// longer pauses, by one caller each time, and at once again when it has answered.
func TestMutePeersAreAskedLessAndLess(t *testing.T) {
	now := time.Unix(0, 0)
	m := newMuted(time.Second, 8*time.Second, func() time.Time { return now })
	assert.Assert(t, !m.holds("p"))
	for _, pause := range []time.Duration{1, 2, 4, 8, 8} {
		m.add("p")
		m.add("p")
		now = now.Add(pause*time.Second - time.Millisecond)
		assert.Assert(t, m.holds("p"), "%d", pause)
		now = now.Add(time.Millisecond)
		assert.Assert(t, !m.holds("p"), "%d", pause)
		assert.Assert(t, m.holds("p"), "a second caller")
		now = now.Add(100 * time.Millisecond)
	}
	m.clear("p")
	for range 2 {
		assert.Assert(t, !m.holds("p"), "a peer that answered")
	}
}
