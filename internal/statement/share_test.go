package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNodesLearnOfLeavings: what a node was told of binds it as what it heard, for as long as the
// runner's own word does, and is not reported as its own.
func TestNodesLearnOfLeavings(t *testing.T) {
	book, now, news := testBook()
	book.Learn("node-2", []Heard{{Runner: "r1", Age: time.Minute}, {Runner: "r2", Age: time.Hour}, {Age: 0}})
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Assert(t, !book.Of("r2").Leaving, "an old word")
	assert.Equal(t, len(*news), 1)
	assert.DeepEqual(t, book.Leaving(), []Heard{{Runner: "r1", Age: time.Minute}})
	// The same word again, as others pass it on, is no younger.
	*now = now.Add(time.Minute)
	book.Learn("node-3", []Heard{{Runner: "r1", Age: 2 * time.Minute}})
	assert.DeepEqual(t, book.Leaving(), []Heard{{Runner: "r1", Age: 2 * time.Minute}})
	*now = now.Add(testLimits.LeavingFor - 2*time.Minute)
	assert.Assert(t, !book.Of("r1").Leaving)
}

// TestOwnWordStaysOwn: a node goes on telling what it heard itself, no younger for what others
// heard.
func TestOwnWordStaysOwn(t *testing.T) {
	book, now, news := testBook()
	book.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	*now = now.Add(time.Second)
	book.Learn("node-2", []Heard{{Runner: "r1"}, {Runner: "r2"}})
	assert.Equal(t, len(*news), 2)
	assert.DeepEqual(t, book.HeardLeaving(), []Heard{{Runner: "r1", Age: time.Second}})
	assert.DeepEqual(t, book.Leaving(), []Heard{{Runner: "r1"}, {Runner: "r2"}})
}

// TestRestsAreNotShared: a runner asked one node for rest.
func TestRestsAreNotShared(t *testing.T) {
	book, _, _ := testBook()
	book.Hear(Source{Runner: "r1"}, http.StatusServiceUnavailable, restHead("3"))
	assert.Equal(t, len(book.Leaving()), 0)
}
