package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A peer that does not answer is tried after longer and longer pauses, by one caller each time, and
// again at once after it has answered.
func TestPeerBackoff(t *testing.T) {
	now := time.Unix(0, 0)
	m := newPeerBackoff(time.Second, 8*time.Second, func() time.Time { return now })
	assert.Assert(t, !m.blocked("p"))
	for _, pause := range []time.Duration{1, 2, 4, 8, 8} {
		m.recordFailure("p")
		m.recordFailure("p")
		now = now.Add(pause*time.Second - time.Millisecond)
		assert.Assert(t, m.blocked("p"), "%d", pause)
		now = now.Add(time.Millisecond)
		assert.Assert(t, !m.blocked("p"), "%d", pause)
		assert.Assert(t, m.blocked("p"), "only one caller may probe")
		now = now.Add(100 * time.Millisecond)
	}
	m.clear("p")
	for range 2 {
		assert.Assert(t, !m.blocked("p"), "peer still blocked after an answer")
	}
}
