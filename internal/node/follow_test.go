package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fleet"
)

// A node that reads runners from a relay batches changes, except while it controls a service. With
// an older list than theirs, other nodes would not trust what it reports about runners.
func TestLeaseHolderReadsRunnersWithoutDelay(t *testing.T) {
	const pace = 985 * time.Millisecond
	runners := fleet.New("zone", time.Now, nil)
	runners.SetBound("node", fleet.DefaultBound)
	interval := func() time.Duration { return batchInterval(runners, func() time.Duration { return pace }) }
	assert.Equal(t, interval(), pace)
	runners.SetTrackAll(true)
	assert.Equal(t, interval(), time.Duration(0))
	runners.SetTrackAll(false)
	assert.Equal(t, interval(), pace)
}
