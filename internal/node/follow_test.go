package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fleet"
)

// TestHolderGathersNoNews: a node of many that reads from a relay gathers news of runners, and
// none while it controls a service: with an older list than theirs the nodes that it tells of
// runners would not believe it.
func TestHolderGathersNoNews(t *testing.T) {
	const pace = 985 * time.Millisecond
	known := fleet.New("zone", time.Now, nil)
	known.SetBound("node", fleet.DefaultBound)
	at := func() time.Duration { return paceOf(known, func() time.Duration { return pace }) }
	assert.Equal(t, at(), pace)
	known.KeepAll(true)
	assert.Equal(t, at(), time.Duration(0))
	known.KeepAll(false)
	assert.Equal(t, at(), pace)
}
