package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingFromPeers: a leaving statement that another node passed on applies like one
// that this node read itself, for as long as counted from the runner's own statement, and is not
// passed on as this node's own.
func TestLeavingFromPeers(t *testing.T) {
	registry, now, changes := testRegistry()
	registry.LearnLeaving("node-2", []LeavingReport{{Runner: "r1", Age: time.Minute}, {Runner: "r2", Age: time.Hour}, {Age: 0}})
	assert.Assert(t, registry.State("r1").Leaving)
	assert.Assert(t, !registry.State("r2").Leaving, "the report is too old")
	assert.Equal(t, len(*changes), 1)
	assert.DeepEqual(t, registry.Leaving(), []LeavingReport{{Runner: "r1", Age: time.Minute}})
	// The same statement passed on by another node is no more recent.
	*now = now.Add(time.Minute)
	registry.LearnLeaving("node-3", []LeavingReport{{Runner: "r1", Age: 2 * time.Minute}})
	assert.DeepEqual(t, registry.Leaving(), []LeavingReport{{Runner: "r1", Age: 2 * time.Minute}})
	*now = now.Add(testLimits.LeavingFor - 2*time.Minute)
	assert.Assert(t, !registry.State("r1").Leaving)
}

// TestOwnWordStaysOwn: a node keeps passing on what it read itself, with the age of its own
// reading, even if others read it more recently.
func TestOwnWordStaysOwn(t *testing.T) {
	registry, now, changes := testRegistry()
	registry.ReadHeader(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	*now = now.Add(time.Second)
	registry.LearnLeaving("node-2", []LeavingReport{{Runner: "r1"}, {Runner: "r2"}})
	assert.Equal(t, len(*changes), 2)
	assert.DeepEqual(t, registry.OwnLeaving(), []LeavingReport{{Runner: "r1", Age: time.Second}})
	assert.DeepEqual(t, registry.Leaving(), []LeavingReport{{Runner: "r1"}, {Runner: "r2"}})
}

// TestRestsAreNotShared: a rest applies only to the node that was asked for it.
func TestRestsAreNotShared(t *testing.T) {
	registry, _, _ := testRegistry()
	registry.ReadHeader(Source{Runner: "r1"}, http.StatusServiceUnavailable, restHead("3"))
	assert.Equal(t, len(registry.Leaving()), 0)
}
