package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNodesLearnOfLeavings: a leaving statement that another node passed on applies like one
// that this node read itself, for as long as counted from the runner's own statement, and is not
// passed on as this node's own.
func TestNodesLearnOfLeavings(t *testing.T) {
	book, now, changes := testBook()
	book.Learn("node-2", []Heard{{Runner: "r1", Age: time.Minute}, {Runner: "r2", Age: time.Hour}, {Age: 0}})
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Assert(t, !book.Of("r2").Leaving, "the report is too old")
	assert.Equal(t, len(*changes), 1)
	assert.DeepEqual(t, book.Leaving(), []Heard{{Runner: "r1", Age: time.Minute}})
	// The same statement passed on by another node is no more recent.
	*now = now.Add(time.Minute)
	book.Learn("node-3", []Heard{{Runner: "r1", Age: 2 * time.Minute}})
	assert.DeepEqual(t, book.Leaving(), []Heard{{Runner: "r1", Age: 2 * time.Minute}})
	*now = now.Add(testLimits.LeavingFor - 2*time.Minute)
	assert.Assert(t, !book.Of("r1").Leaving)
}

// TestOwnWordStaysOwn: a node keeps passing on what it read itself, with the age of its own
// reading, even if others read it more recently.
func TestOwnWordStaysOwn(t *testing.T) {
	book, now, changes := testBook()
	book.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	*now = now.Add(time.Second)
	book.Learn("node-2", []Heard{{Runner: "r1"}, {Runner: "r2"}})
	assert.Equal(t, len(*changes), 2)
	assert.DeepEqual(t, book.HeardLeaving(), []Heard{{Runner: "r1", Age: time.Second}})
	assert.DeepEqual(t, book.Leaving(), []Heard{{Runner: "r1"}, {Runner: "r2"}})
}

// TestRestsAreNotShared: a rest applies only to the node that was asked for it.
func TestRestsAreNotShared(t *testing.T) {
	book, _, _ := testBook()
	book.Hear(Source{Runner: "r1"}, http.StatusServiceUnavailable, restHead("3"))
	assert.Equal(t, len(book.Leaving()), 0)
}
