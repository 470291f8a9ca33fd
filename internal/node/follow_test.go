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
	known := fleet.New("zone", time.Now, nil)
	known.SetBound("node", fleet.DefaultBound)
	at := func() time.Duration { return gatherInterval(known, func() time.Duration { return pace }) }
	assert.Equal(t, at(), pace)
	known.KeepAll(true)
	assert.Equal(t, at(), time.Duration(0))
	known.KeepAll(false)
	assert.Equal(t, at(), pace)
}
